#include "briarlead_entry/dispatch_link.h"

#include <utility>
#include <variant>

#include "briarlead_entry/engine_protocol.h"
#include "briarlead_membership/briarlead_membership.h"

namespace briarlead {

namespace {

/// When a caller may come back that found no owner of its shard.
constexpr Duration kRetryWithoutOwner = std::chrono::seconds(1);
/// A stream whose caller reads nothing for so long loses its decode slot and
/// is resumed. Engines that stall are found sooner, by the request's own flow.
constexpr Duration kDecodeStallLimit = std::chrono::seconds(60);

DispatcherOptions MakeOptions() {
  DispatcherOptions options;
  options.decode_stall_limit = kDecodeStallLimit;
  return options;
}

}  // namespace

DispatchLink::DispatchLink(const EntryContext& context,
                           PeerTransport& transport,
                           Handlers handlers)
    : context_(context),
      transport_(transport),
      handlers_(std::move(handlers)),
      shards_(context.settings.data_centre, context.blackboard, MakeOptions()),
      directory_(context.settings.data_centre),
      random_(transport.self().incarnation) {}

void DispatchLink::Ask(const PlacementRequest& placement, TimePoint now) {
  shards_tried_[placement.request] = 1;
  const std::optional<ShardOwnerAddress> elsewhere = directory_.ChooseElsewhere(
      placement.model, placement.rank, std::nullopt, random_, now);
  if (elsewhere.has_value()) {
    context_.logger.Info(now, "sent_elsewhere",
                         {{"request", ToString(placement.request)},
                          {"data_centre", elsewhere->data_centre.value()},
                          {"reason", "its shard at home has a wait"}});
    client_.AskElsewhere(placement, *elsewhere, now);
  } else {
    client_.Ask(placement, now);
  }
  Pump(now);
}

void DispatchLink::Forget(const RequestId& request) {
  client_.Forget(request);
  shards_tried_.erase(request);
}

std::optional<Endpoint> DispatchLink::AddressOf(
    const BackendServerId& server) const {
  if (const BackendServerRecord* it = context_.blackboard.servers.Find(server))
    return it->address;
  const auto it = remote_servers_.find(server);
  if (it == remote_servers_.end())
    return std::nullopt;
  return it->second;
}

void DispatchLink::Report(const RequestId& request,
                          const DispatchMessage& event,
                          TimePoint now) {
  client_.Report(request, event);
  Pump(now);
}

void DispatchLink::OnMessage(const PeerName& sender,
                             const DispatchMessage& message,
                             TimePoint now) {
  const HostRecord* host = context_.blackboard.hosts.Find(sender.host);
  const bool is_remote =
      host == nullptr || host->data_centre != context_.settings.data_centre;
  if (is_remote)
    remote_hosts_[sender.host] = sender.peers;
  if (const auto* grant = std::get_if<PlacementGrant>(&message)) {
    TakeGrant(*grant, std::nullopt, now);
  } else if (const auto* remote = std::get_if<RemoteGrantMessage>(&message)) {
    remote_servers_[remote->grant.prefill_server] = remote->prefill_address;
    remote_servers_[remote->grant.decode_server] = remote->decode_address;
    TakeGrant(remote->grant, sender.peers, now);
  } else if (const auto* refusal = std::get_if<PlacementRefusal>(&message)) {
    Refuse(*refusal, now);
  } else if (const auto* it = std::get_if<ShardSummaryMessage>(&message)) {
    directory_.OnSummary(it->summary, sender, now);
  } else {
    shards_.OnMessage(message, now);
  }
  Pump(now);
}

void DispatchLink::Refuse(const PlacementRefusal& refusal, TimePoint now) {
  const std::optional<PlacementRequest> queued =
      client_.FindQueued(refusal.request, now);
  if (!queued.has_value())
    return;
  const ShardOwnerAddress* remote = client_.RemoteOf(refusal.request);
  const DataCentreId tried =
      remote == nullptr ? context_.settings.data_centre : remote->data_centre;
  std::uint32_t& shards_tried = shards_tried_[refusal.request];
  std::optional<ShardOwnerAddress> elsewhere;
  if (shards_tried < kMaxShardsTried) {
    elsewhere = directory_.ChooseElsewhere(queued->model, queued->rank, tried,
                                           random_, now);
  }
  if (!elsewhere.has_value()) {
    handlers_.on_refusal(refusal, now);
    return;
  }
  ++shards_tried;
  context_.logger.Info(now, "sent_elsewhere",
                       {{"request", ToString(refusal.request)},
                        {"data_centre", elsewhere->data_centre.value()},
                        {"reason", refusal.reason}});
  client_.AskElsewhere(*queued, *elsewhere, now);
}

void DispatchLink::OnLinkFailure(const Endpoint& peer, TimePoint now) {
  for (const auto& [id, host] : context_.blackboard.hosts.items()) {
    if (host.peers == peer)
      client_.OnOwnerUnsure(id, now);
  }
  BringBack([&](const ShardOwnerAddress& owner,
                const ModelId&) { return owner.peers == peer; },
            "the link to its owner elsewhere broke", now);
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
                                  std::span<const HeldAttempt> held,
                                  TimePoint now) {
  shards_.OnEngineReport(engine.model, engine.id, held, now);
  Pump(now);
}

void DispatchLink::Tick(TimePoint now) {
  shards_.Tick(now);
  SendSummaries(now);
  BringBackLost(now);
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

void DispatchLink::SendSummaries(TimePoint now) {
  if (next_summaries_.has_value() && now < *next_summaries_)
    return;
  next_summaries_ = now + ShardDirectory::kSummaryInterval;
  for (const ShardSummary& summary : shards_.Summaries(now)) {
    directory_.OnSummary(summary, transport_.self(), now);
    const Result<std::string> payload =
        EncodeDispatchMessage(ShardSummaryMessage{summary});
    if (!payload)
      continue;
    for (const auto& [id, host] : context_.blackboard.hosts.items()) {
      if (id != context_.settings.host && host.state == HostState::kAlive)
        transport_.SendDatagram(host.peers, Channel::kDispatch,
                                payload.value());
    }
  }
}

void DispatchLink::BringBackLost(TimePoint now) {
  BringBack(
      [&](const ShardOwnerAddress& owner, const ModelId& model) {
        return !directory_.StillOwns(owner, model, now);
      },
      "its owner elsewhere fell silent or was replaced", now);
}

void DispatchLink::BringBack(
    const std::function<bool(const ShardOwnerAddress& owner,
                             const ModelId& model)>& is_lost,
    std::string_view reason,
    TimePoint now) {
  for (const PlacementRequest& it : client_.QueuedAt(is_lost, now)) {
    context_.logger.Info(
        now, "brought_back",
        {{"request", ToString(it.request)}, {"reason", reason}});
    client_.Ask(it, now);
  }
}

bool DispatchLink::SendToOwners(TimePoint now) {
  AnswerOwnerless(now);
  const std::vector<OwnerMessage> messages = client_.TakeMessages();
  for (const OwnerMessage& it : messages) {
    if (it.remote.has_value())
      Send(*it.remote, it.message);
    else if (it.owner == context_.settings.host)
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
  if (const HostRecord* record = context_.blackboard.hosts.Find(host)) {
    Send(record->peers, message);
    return;
  }
  const auto it = remote_hosts_.find(host);
  if (it != remote_hosts_.end())
    Send(it->second, message);
}

void DispatchLink::Send(const Endpoint& peer, const DispatchMessage& message) {
  Result<std::string> payload = EncodeDispatchMessage(message);
  if (payload)
    transport_.Send(peer, Channel::kDispatch, std::move(payload).value());
}

void DispatchLink::Run(const PlacementGrant& grant, TimePoint now) {
  context_.logger.Info(now, "placed",
                       {{"request", ToString(grant.request)},
                        {"attempt", grant.attempt},
                        {"prefill", grant.prefill_server.value()},
                        {"decode", grant.decode_server.value()},
                        {"reason", grant.reason}});
  const HostId& host = grant.request.host;
  if (host == context_.settings.host) {
    TakeGrant(grant, std::nullopt, now);
    return;
  }
  const HostRecord* record = context_.blackboard.hosts.Find(host);
  if (record != nullptr &&
      record->data_centre == context_.settings.data_centre) {
    SendToHost(host, grant);
    return;
  }
  const std::optional<Endpoint> prefill = AddressOf(grant.prefill_server);
  const std::optional<Endpoint> decode = AddressOf(grant.decode_server);
  if (prefill.has_value() && decode.has_value())
    SendToHost(host, RemoteGrantMessage{grant, *prefill, *decode});
}

void DispatchLink::Run(const PlacementRefusal& refusal, TimePoint now) {
  context_.logger.Info(now, "refused",
                       {{"request", ToString(refusal.request)},
                        {"retry_after_ms", refusal.retry_after.count() / 1000},
                        {"reason", refusal.reason}});
  if (refusal.request.host == context_.settings.host)
    Refuse(refusal, now);
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

void DispatchLink::TakeGrant(const PlacementGrant& grant,
                             const std::optional<Endpoint>& remote,
                             TimePoint now) {
  if (client_.OnGrant(grant, remote))
    handlers_.on_grant(grant, now);
}

}  // namespace briarlead
