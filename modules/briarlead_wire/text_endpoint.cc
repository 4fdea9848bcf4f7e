#include "briarlead_wire/text_endpoint.h"

#include <utility>

namespace briarlead {

Result<void> TextEndpoint::Serve(const Endpoint& endpoint, Render render) {
  if (endpoint.port == 0)
    return outcome::success();
  render_ = std::move(render);
  HttpListener::Handlers handlers;
  handlers.on_request = [this](const CallerRequestId& id, RequestHead&,
                               std::string&) {
    HeaderFields fields;
    fields.Add("Content-Type", "text/plain; version=0.0.4");
    listener_->Respond(id, 200, fields, render_());
  };
  handlers.on_gone = [](const CallerRequestId&) {};
  BOOST_OUTCOME_TRY(listener_,
                    HttpListener::Listen(endpoint, std::move(handlers)));
  listener_->SetLimits(LimitsWithoutBody());
  return outcome::success();
}

void TextEndpoint::SetLimits(MemoryBudget& budget,
                             std::size_t max_connections) {
  if (!listener_)
    return;
  listener_->SetMemoryBudget(budget);
  listener_->SetMaxConnections(max_connections);
}

}  // namespace briarlead
