#include "briarlead_gateway/relay_service.h"

#include <algorithm>
#include <utility>

#include "briarlead_gateway/server_call_options.h"
#include "briarlead_net/loop_clock.h"

namespace briarlead {

namespace {

constexpr int kUnavailable = 503;
constexpr int kForbidden = 403;
/// Room in a head for the fields that hosts add.
constexpr std::uint32_t kFieldsBytes = 2048;
constexpr std::size_t kFields = 16;
/// Connections of other hosts; more than requests, as hosts keep idle ones.
constexpr std::size_t kMaxConnections = 512;
/// How long the other host may keep a connection idle.
constexpr std::string_view kKeepAlive = "timeout=10";

}  // namespace

Result<std::unique_ptr<RelayService>> RelayService::Listen(
    const Endpoint& endpoint,
    const RelayCodec& codec,
    Environment environment) {
  std::unique_ptr<RelayService> service(new RelayService(codec, environment));
  RelayService* self = service.get();
  HttpListener::Handlers handlers;
  handlers.on_request = [self](const CallerRequestId& id, RequestHead& head,
                               std::string& body) {
    self->OnRequest(id, head, body);
  };
  handlers.on_gone = [self](const CallerRequestId& id) { self->End(id); };
  handlers.on_drained = [self](const CallerRequestId& id) {
    self->SetReading(id, true);
  };
  BOOST_OUTCOME_TRY(service->hosts_,
                    HttpListener::Listen(endpoint, std::move(handlers)));
  service->hosts_->SetMaxConnections(kMaxConnections);
  service->SetLimits({});
  return service;
}

RelayService::RelayService(const RelayCodec& codec, Environment environment)
    : codec_(codec), environment_(environment) {}

void RelayService::SetLimits(const MessageLimits& limits) {
  CallerLimits of_hosts;
  of_hosts.message = limits;
  of_hosts.message.max_head_bytes += kFieldsBytes;
  of_hosts.message.max_fields += kFields;
  hosts_->SetLimits(of_hosts);
}

void RelayService::SetMemoryLimits(MemoryBudget& budget,
                                   std::size_t max_connections) {
  hosts_->SetMemoryBudget(budget);
  hosts_->SetMaxConnections(std::min(kMaxConnections, max_connections));
}

void RelayService::Stop() {
  stopping_ = true;
  hosts_->SetKeeping(false);
}

void RelayService::OnRequest(const CallerRequestId& id,
                             RequestHead& head,
                             std::string& body) {
  const TimePoint now = LoopNow();
  Request request;
  const std::optional<RelayOrder> order =
      codec_.ReadRequest(head, body, request.tag);
  if (!order.has_value()) {
    environment_.logger.Warning(now, "relay_not_authentic",
                                {{"peer", hosts_->CallerAddress(id)}});
    hosts_->Respond(id, kForbidden, {}, "");
    return;
  }
  request.id = environment_.codec.read_request(head).id;
  const std::optional<RelayRefusal> refusal =
      CheckOrder(*order, body.size(), now);
  if (refusal.has_value()) {
    Refuse(id, *refusal, request.id, request.tag);
    return;
  }
  request.server = environment_.directory.Find(order->server.id)->record;
  request.body_bytes = body.size();
  Send(id, std::move(request), head, std::move(body),
       order->needs_fresh_connection);
}

std::optional<RelayRefusal> RelayService::CheckOrder(const RelayOrder& order,
                                                     std::size_t body_bytes,
                                                     TimePoint now) const {
  if (stopping_)
    return RelayRefusal::kStopping;
  if (requests_.size() >= kMaxRequests ||
      body_bytes_ + body_bytes > kMaxBodyBytes) {
    return RelayRefusal::kBusy;
  }
  if (order.account.has_value() &&
      !environment_.gate.MayRelay(order.account->id, order.account->key, now)) {
    environment_.logger.Info(
        now, "relay_key_refused",
        {{"account", order.account->id.value()},
         {"lease_age_ms", environment_.gate.LeaseAgeMs(now)}});
    return RelayRefusal::kNoLease;
  }
  if (environment_.pool.IsCutOff())
    return RelayRefusal::kCutOff;
  const ServerDirectory::Entry* entry =
      environment_.directory.Find(order.server.id);
  const bool may_send = entry != nullptr &&
                        IncarnationOf(entry->record) == order.server &&
                        environment_.pool.Accepts(entry->record, now) &&
                        !environment_.pool.IsDown(order.server);
  if (!may_send)
    return RelayRefusal::kNoServer;
  return std::nullopt;
}

void RelayService::Refuse(const CallerRequestId& id,
                          RelayRefusal why,
                          const std::string& request,
                          const std::string& tag) {
  environment_.logger.Info(LoopNow(), "relay_refused",
                           {{"request", request},
                            {"for_host", hosts_->CallerAddress(id)},
                            {"why", ToString(why)}});
  HeaderFields fields = codec_.WriteRefusal(why, tag);
  fields.Add("Keep-Alive", kKeepAlive);
  hosts_->Respond(id, kUnavailable, fields, "");
}

void RelayService::Send(const CallerRequestId& id,
                        Request request,
                        const RequestHead& head,
                        std::string body,
                        bool needs_fresh_connection) {
  const TimePoint now = LoopNow();
  environment_.logger.Info(now, "relay_sent",
                           {{"request", request.id},
                            {"for_host", hosts_->CallerAddress(id)},
                            {"server", request.server.id.value()}});
  UpstreamHandlers handlers;
  handlers.on_connected = [this] { environment_.pool.OnContact(LoopNow()); };
  handlers.match = [this, name = request.id](const ResponseHead& response) {
    return environment_.codec.match_response(response, name);
  };
  handlers.on_dropped = environment_.notices.RecorderOf(
      IncarnationOf(request.server), request.id, TimePoint());
  handlers.on_head = [this, id](ResponseHead& response) {
    OnHead(id, response);
  };
  handlers.on_body = [this, id](std::string_view it) { OnBody(id, it); };
  handlers.on_complete = [this, id] { OnComplete(id); };
  handlers.on_failure = [this, id](UpstreamFailure it) { OnFailure(id, it); };
  std::string first = WriteRequestHead(head, body.size());
  request.sent_at = now;
  ++passed_on_;
  body_bytes_ += request.body_bytes;
  Request& added = requests_[id] = std::move(request);
  added.call =
      StartCall(environment_.servers, added.server.address, std::move(first),
                std::make_shared<const std::string>(std::move(body)),
                OptionsOfCall(added.id, needs_fresh_connection),
                std::move(handlers), now);
}

void RelayService::SendHead(const CallerRequestId& id,
                            Request& request,
                            std::optional<std::uint64_t> length) {
  request.head_sent = true;
  HeaderFields fields = std::move(request.head.fields);
  codec_.SignResponse(fields, request.tag);
  fields.Add("Keep-Alive", kKeepAlive);
  hosts_->SendHead(id, request.head.status, request.head.reason, fields,
                   length);
}

void RelayService::OnHead(const CallerRequestId& id, ResponseHead& head) {
  const TimePoint now = LoopNow();
  Request& request = requests_.at(id);
  environment_.pool.OnContact(now);
  environment_.notices.Record(IncarnationOf(request.server), head, request.id,
                              request.sent_at, now);
  request.head = std::move(head);
}

void RelayService::OnBody(const CallerRequestId& id, std::string_view bytes) {
  Request& request = requests_.at(id);
  if (!request.head_sent)
    SendHead(id, request, request.head.content_length);
  hosts_->SendBody(id, bytes);
  if (hosts_->WaitingBytes(id) > kMaxWaitingBytes)
    SetReading(id, false);
}

void RelayService::OnComplete(const CallerRequestId& id) {
  Request& request = requests_.at(id);
  if (!request.head_sent)
    SendHead(id, request, 0);
  hosts_->Finish(id);
  // The connection to the server may serve another call.
  request.call->SetReading(true);
  End(id);
}

void RelayService::OnFailure(const CallerRequestId& id,
                             UpstreamFailure failure) {
  const Request& request = requests_.at(id);
  environment_.logger.Info(LoopNow(), "relay_failed",
                           {{"request", request.id},
                            {"server", request.server.id.value()},
                            {"failure", ToString(failure)}});
  // The other host has chosen the server; whether it is up is seen here.
  environment_.checker.Check(request.server, LoopNow());
  if (failure == UpstreamFailure::kNotConnected)
    Refuse(id, RelayRefusal::kNoServer, request.id, request.tag);
  else
    hosts_->Abort(id);
  End(id);
}

void RelayService::SetReading(const CallerRequestId& id, bool reading) {
  const auto found = requests_.find(id);
  if (found != requests_.end() && found->second.call)
    found->second.call->SetReading(reading);
}

void RelayService::End(const CallerRequestId& id) {
  const auto found = requests_.find(id);
  if (found == requests_.end())
    return;
  body_bytes_ -= found->second.body_bytes;
  Request& request = found->second;
  if (request.call) {
    request.call->Withdraw(environment_.notices.RecorderOf(
        IncarnationOf(request.server), request.id, request.sent_at));
  }
  finished_.push_back(std::move(found->second.call));
  requests_.erase(found);
  // Not again while it is due: under load it would never fire.
  if (!cleanup_timer_.active())
    cleanup_timer_.StartTimer(0, [this] { finished_.clear(); });
}

}  // namespace briarlead
