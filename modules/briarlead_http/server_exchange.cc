#include "briarlead_http/server_exchange.h"

#include <utility>

namespace briarlead {

namespace {

constexpr int kInternalError = 500;

/// Returns the fields that may be written, and the type of the content.
HeaderFields WritableFields(const HeaderFields& fields,
                            std::string_view content_type) {
  HeaderFields writable;
  for (const HeaderField& it : fields.items()) {
    if (IsWritableField(it))
      writable.Add(it.name, it.value);
  }
  if (!content_type.empty())
    writable.Add("Content-Type", content_type);
  return writable;
}

}  // namespace

ServerExchange::ServerExchange(const std::shared_ptr<ServerExchanges>& all,
                               const CallerRequestId& id,
                               RequestHead head,
                               std::string body)
    : all_(all), id_(id), head_(std::move(head)), body_(std::move(body)) {}

ServerExchange::~ServerExchange() {
  gone_handler_ = nullptr;
  if (state_ == State::kWaiting)
    Respond({.status = kInternalError});
  else if (state_ == State::kStreaming)
    Abort();
}

HttpListener* ServerExchange::listener() const {
  const std::shared_ptr<ServerExchanges> all = all_.lock();
  return all ? all->listener.get() : nullptr;
}

HttpListener* ServerExchange::End() {
  state_ = State::kOver;
  const std::shared_ptr<ServerExchanges> all = all_.lock();
  if (!all)
    return nullptr;
  all->open.erase(id_);
  return all->listener.get();
}

void ServerExchange::Respond(HttpResponse response) {
  if (state_ != State::kWaiting)
    return;
  if (HttpListener* it = End()) {
    it->Respond(id_, response.status,
                WritableFields(response.headers, response.content_type),
                response.body);
  }
}

void ServerExchange::StartStream(int status,
                                 HeaderFields headers,
                                 std::string_view content_type) {
  if (state_ != State::kWaiting)
    return;
  state_ = State::kStreaming;
  if (HttpListener* it = listener()) {
    it->SendHead(id_, status, ReasonOf(status),
                 WritableFields(headers, content_type), std::nullopt);
  }
}

void ServerExchange::Write(std::string_view data) {
  if (state_ != State::kStreaming || data.empty())
    return;
  if (HttpListener* it = listener())
    it->SendBody(id_, data);
}

void ServerExchange::FinishStream() {
  if (state_ != State::kStreaming)
    return;
  if (HttpListener* it = End())
    it->Finish(id_);
}

void ServerExchange::Abort() {
  if (state_ == State::kOver)
    return;
  if (HttpListener* it = End())
    it->Abort(id_);
}

std::size_t ServerExchange::pending_bytes() const {
  const HttpListener* it = listener();
  return it == nullptr ? 0 : it->WaitingBytes(id_);
}

void ServerExchange::OnGone() {
  const auto self = shared_from_this();
  End();
  gone_ = true;
  if (const auto handler = std::exchange(gone_handler_, nullptr))
    handler();
}

void ServerExchange::OnDrained() {
  const auto self = shared_from_this();
  const auto handler = drained_handler_;
  if (handler)
    handler();
}

void ServerExchange::SetGoneHandler(std::function<void()> handler) {
  gone_handler_ = std::move(handler);
  if (!gone_ || !gone_handler_)
    return;
  // From the loop, so that no caller is called back from within.
  late_report_.StartTimer(0, [self = shared_from_this()] {
    if (const auto call = std::exchange(self->gone_handler_, nullptr))
      call();
  });
}

void ServerExchange::SetDrainedHandler(std::function<void()> handler) {
  drained_handler_ = std::move(handler);
}

}  // namespace briarlead
