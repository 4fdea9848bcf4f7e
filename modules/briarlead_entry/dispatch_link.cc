#include "briarlead_entry/dispatch_link.h"

#include <utility>
#include <variant>

#include "briarlead_entry/engine_protocol.h"
#include "briarlead_membership/briarlead_membership.h"

namespace briarlead {

namespace {

/// When a caller may come back that found no owner of its shard.
constexpr Duration kRetryWithoutOwner = std::chrono::seconds(1);

}  // namespace

DispatchLink::DispatchLink(const EntryContext& context,
                           PeerTransport& transport,
                           Handlers handlers)
    : context_(context),
      transport_(transport),
      handlers_(std::move(handlers)),
      shards_(context.settings.data_centre,
              context.blackboard,
              DispatcherOptions{}) {}

void DispatchLink::Ask(const PlacementRequest& placement, TimePoint now) {
  client_.Ask(placement, now);
  Pump(now);
}

void DispatchLink::Report(const RequestId& request,
                          const DispatchMessage& event,
                          TimePoint now) {
  client_.Report(request, event);
  Pump(now);
}

void DispatchLink::OnMessage(const DispatchMessage& message, TimePoint now) {
  if (const auto* grant = std::get_if<PlacementGrant>(&message))
    TakeGrant(*grant, now);
  else if (const auto* refusal = std::get_if<PlacementRefusal>(&message))
    handlers_.on_refusal(*refusal, now);
  else
    shards_.OnMessage(message, now);
  Pump(now);
}

void DispatchLink::OnLinkFailure(const Endpoint& peer, TimePoint now) {
  for (const auto& [id, host] : context_.blackboard.hosts.items()) {
    if (host.peers == peer)
      client_.OnOwnerUnsure(id, now);
  }
  Pump(now);
}

void DispatchLink::RegisterAll(TimePoint now) {
  for (const auto& [id, host] : context_.blackboard.hosts.items())
    client_.OnOwnerUnsure(id, now);
  Pump(now);
}

void DispatchLink::OnHostsChanged(TimePoint now) {
  const EntrySettings& settings = context_.settings;
  for (const ModelSettings& it : settings.models) {
    const std::optional<HostId> owner = ShardOwner::OwnerOf(
        settings.data_centre, it.model, context_.blackboard.hosts);
    shards_.SetOwned(it.model, owner == settings.host, now);
    client_.SetOwner(it.model, owner, now);
  }
  Pump(now);
}

void DispatchLink::OnHostDead(const HostId& host,
                              std::uint64_t incarnation,
                              TimePoint now) {
  shards_.OnHostDead(host, incarnation, now);
  Pump(now);
}

void DispatchLink::OnServersChanged(TimePoint now) {
  shards_.OnServersChanged(now);
  Pump(now);
}

void DispatchLink::OnEngineReport(const BackendServerRecord& engine,
                                  std::span<const HeldRequest> held,
                                  TimePoint now) {
  shards_.OnEngineReport(engine.model, engine.id, held, now);
  Pump(now);
}

void DispatchLink::Tick(TimePoint now) {
  shards_.Tick(now);
  Pump(now);
}

void DispatchLink::Pump(TimePoint now) {
  // Handlers come back here; the outer call goes on with what they added.
  if (pumping_)
    return;
  pumping_ = true;
  while (SendToOwners(now) || RunShardCommands(now)) {
  }
  pumping_ = false;
}

bool DispatchLink::SendToOwners(TimePoint now) {
  AnswerOwnerless(now);
  const std::vector<OwnerMessage> messages = client_.TakeMessages();
  for (const OwnerMessage& it : messages) {
    if (it.owner == context_.settings.host)
      shards_.OnMessage(it.message, now);
    else
      SendToHost(it.owner, it.message);
  }
  return !messages.empty();
}

void DispatchLink::AnswerOwnerless(TimePoint now) {
  for (const NoOwner& it : client_.TakeOwnerless()) {
    handlers_.on_refusal(
        {it.request, kRetryWithoutOwner, "no host owns the pool shard"}, now);
  }
}

bool DispatchLink::RunShardCommands(TimePoint now) {
  const std::vector<DispatchCommand> commands = shards_.TakeCommands();
  for (const DispatchCommand& it : commands)
    std::visit([&](const auto& command) { Run(command, now); }, it);
  return !commands.empty();
}

void DispatchLink::SendToHost(const HostId& host,
                              const DispatchMessage& message) {
  const HostRecord* record = context_.blackboard.hosts.Find(host);
  if (record == nullptr)
    return;
  Result<std::string> payload = EncodeDispatchMessage(message);
  if (payload)
    transport_.Send(record->peers, Channel::kDispatch,
                    std::move(payload).value());
}

void DispatchLink::Run(const PlacementGrant& grant, TimePoint now) {
  context_.logger.Info(now, "placed",
                       {{"request", ToString(grant.request)},
                        {"attempt", grant.attempt},
                        {"prefill", grant.prefill_server.value()},
                        {"decode", grant.decode_server.value()},
                        {"reason", grant.reason}});
  if (grant.request.host == context_.settings.host)
    TakeGrant(grant, now);
  else
    SendToHost(grant.request.host, grant);
}

void DispatchLink::Run(const PlacementRefusal& refusal, TimePoint now) {
  context_.logger.Info(now, "refused",
                       {{"request", ToString(refusal.request)},
                        {"retry_after_ms", refusal.retry_after.count() / 1000},
                        {"reason", refusal.reason}});
  if (refusal.request.host == context_.settings.host)
    handlers_.on_refusal(refusal, now);
  else
    SendToHost(refusal.request.host, refusal);
}

void DispatchLink::Run(const CancelOnEngine& command, TimePoint now) {
  context_.logger.Info(now, "cancel_on_engine",
                       {{"request", ToString(command.request)},
                        {"attempt", command.attempt},
                        {"server", command.server.value()}});
  const BackendServerRecord* server =
      context_.blackboard.servers.Find(command.server);
  if (server == nullptr)
    return;
  HttpRequest call =
      MakeCancelCall({command.request, command.attempt, server->address});
  const std::uint64_t number = ++last_cancel_;
  HttpCallHandler handler;
  handler.on_done = [this, number](const HttpCallEnd&) {
    cancels_.erase(number);
  };
  cancels_[number] = context_.http.Send(std::move(call), std::move(handler));
}

void DispatchLink::TakeGrant(const PlacementGrant& grant, TimePoint now) {
  if (client_.OnGrant(grant))
    handlers_.on_grant(grant, now);
}

}  // namespace briarlead
