#include "briarlead_entry/dispatch_adapter.h"

#include <utility>
#include <variant>

#include "briarlead_entry/engine_protocol.h"
#include "briarlead_membership/briarlead_membership.h"

namespace briarlead {

namespace {

/// Retry-After of a request whose shard has no owner.
constexpr Duration kRetryAfterNoOwner = std::chrono::seconds(1);
/// A stream whose caller reads nothing for this long loses its decode slot and
/// is resumed later. A stalled engine is detected earlier, by the time limits
/// of CompletionFlow.
constexpr Duration kDecodeStallLimit = std::chrono::seconds(60);

DispatcherOptions MakeOptions() {
  DispatcherOptions options;
  options.decode_stall_limit = kDecodeStallLimit;
  return options;
}

}  // namespace

DispatchAdapter::DispatchAdapter(const EntryContext& context,
                                 PeerTransport& transport,
                                 Handlers handlers)
    : context_(context),
      transport_(transport),
      handlers_(std::move(handlers)),
      shards_(context.settings.data_centre, context.blackboard, MakeOptions()),
      directory_(context.settings.data_centre),
      random_(transport.self().incarnation) {}

void DispatchAdapter::RequestPlacement(const PlacementRequest& placement,
                                       TimePoint now) {
  shards_tried_[placement.request] = 1;
  const std::optional<ShardOwnerAddress> remote_owner =
      directory_.ChooseRemoteShard(placement.model, placement.rank,
                                   std::nullopt, random_, now);
  if (remote_owner.has_value()) {
    context_.logger.Info(now, "sent_elsewhere",
                         {{"request", ToString(placement.request)},
                          {"data_centre", remote_owner->data_centre.value()},
                          {"reason", "its shard at home has a wait"}});
    client_.RequestRemotePlacement(placement, *remote_owner, now);
  } else {
    client_.RequestPlacement(placement, now);
  }
  RunCommands(now);
}

void DispatchAdapter::Forget(const RequestId& request) {
  client_.Forget(request);
  shards_tried_.erase(request);
}

std::optional<Endpoint> DispatchAdapter::AddressOf(
    const BackendServerId& server) const {
  if (const BackendServerRecord* it = context_.blackboard.servers.Find(server))
    return it->address;
  const auto it = remote_servers_.find(server);
  if (it == remote_servers_.end())
    return std::nullopt;
  return it->second;
}

void DispatchAdapter::Report(const RequestId& request,
                             const DispatchMessage& event,
                             TimePoint now) {
  client_.Report(request, event);
  RunCommands(now);
}

void DispatchAdapter::OnMessage(const PeerName& sender,
                                const DispatchMessage& message,
                                TimePoint now) {
  const HostRecord* host = context_.blackboard.hosts.Find(sender.host);
  const bool is_remote =
      host == nullptr || host->data_centre != context_.settings.data_centre;
  if (is_remote)
    remote_hosts_[sender.host] = sender.peers;
  if (const auto* grant = std::get_if<PlacementGrant>(&message)) {
    AcceptGrant(*grant, std::nullopt, now);
  } else if (const auto* remote = std::get_if<RemoteGrantMessage>(&message)) {
    remote_servers_[remote->grant.prefill_server] = remote->prefill_address;
    remote_servers_[remote->grant.decode_server] = remote->decode_address;
    AcceptGrant(remote->grant, sender.peers, now);
  } else if (const auto* refusal = std::get_if<PlacementRefusal>(&message)) {
    HandleRefusal(*refusal, now);
  } else if (const auto* it = std::get_if<ShardSummaryMessage>(&message)) {
    directory_.OnSummary(it->summary, sender, now);
  } else {
    shards_.OnMessage(message, now);
  }
  RunCommands(now);
}

void DispatchAdapter::HandleRefusal(const PlacementRefusal& refusal,
                                    TimePoint now) {
  const std::optional<PlacementRequest> queued =
      client_.FindQueued(refusal.request, now);
  if (!queued.has_value())
    return;
  const ShardOwnerAddress* remote = client_.RemoteOwnerOf(refusal.request);
  const DataCentreId refused_by =
      remote == nullptr ? context_.settings.data_centre : remote->data_centre;
  std::uint32_t& shards_tried = shards_tried_[refusal.request];
  std::optional<ShardOwnerAddress> remote_owner;
  if (shards_tried < kMaxShardsTried) {
    remote_owner = directory_.ChooseRemoteShard(queued->model, queued->rank,
                                                refused_by, random_, now);
  }
  if (!remote_owner.has_value()) {
    handlers_.on_refusal(refusal, now);
    return;
  }
  ++shards_tried;
  context_.logger.Info(now, "sent_elsewhere",
                       {{"request", ToString(refusal.request)},
                        {"data_centre", remote_owner->data_centre.value()},
                        {"reason", refusal.reason}});
  client_.RequestRemotePlacement(*queued, *remote_owner, now);
}

void DispatchAdapter::OnLinkFailure(const Endpoint& peer, TimePoint now) {
  for (const auto& [id, host] : context_.blackboard.hosts.items()) {
    if (host.peers == peer)
      client_.ReRegisterWith(id, now);
  }
  RequeueAtHome([&](const ShardOwnerAddress& owner,
                    const ModelId&) { return owner.peers == peer; },
                "the link to its owner elsewhere broke", now);
  RunCommands(now);
}

void DispatchAdapter::ReRegisterAll(TimePoint now) {
  for (const auto& [id, host] : context_.blackboard.hosts.items())
    client_.ReRegisterWith(id, now);
  RunCommands(now);
}

void DispatchAdapter::OnHostsChanged(TimePoint now) {
  const EntrySettings& settings = context_.settings;
  for (const ModelSettings& it : settings.models) {
    const std::optional<HostId> owner = ShardOwner::OwnerOf(
        settings.data_centre, it.model, context_.blackboard.hosts);
    shards_.SetOwned(it.model, owner == settings.host, now);
    client_.SetOwner(it.model, owner, now);
  }
  RunCommands(now);
}

void DispatchAdapter::OnHostDead(const HostId& host,
                                 std::uint64_t incarnation,
                                 TimePoint now) {
  shards_.OnHostDead(host, incarnation, now);
  RunCommands(now);
}

void DispatchAdapter::OnServersChanged(TimePoint now) {
  shards_.OnServersChanged(now);
  RunCommands(now);
}

void DispatchAdapter::OnEngineReport(const BackendServerRecord& engine,
                                     std::span<const HeldAttempt> held,
                                     TimePoint now) {
  shards_.OnEngineReport(engine.model, engine.id, held, now);
  RunCommands(now);
}

void DispatchAdapter::Tick(TimePoint now) {
  shards_.Tick(now);
  SendSummaries(now);
  RequeueLost(now);
  RunCommands(now);
}

void DispatchAdapter::RunCommands(TimePoint now) {
  // Handlers may call this function again; the outer call carries out what they
  // added.
  if (running_commands_)
    return;
  running_commands_ = true;
  while (SendToOwners(now) || RunShardCommands(now)) {
  }
  running_commands_ = false;
}

void DispatchAdapter::SendSummaries(TimePoint now) {
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

void DispatchAdapter::RequeueLost(TimePoint now) {
  RequeueAtHome(
      [&](const ShardOwnerAddress& owner, const ModelId& model) {
        return !directory_.StillOwns(owner, model, now);
      },
      "its owner elsewhere fell silent or was replaced", now);
}

void DispatchAdapter::RequeueAtHome(
    const std::function<bool(const ShardOwnerAddress& owner,
                             const ModelId& model)>& is_lost,
    std::string_view reason,
    TimePoint now) {
  for (const PlacementRequest& it : client_.QueuedAtLostOwners(is_lost, now)) {
    context_.logger.Info(
        now, "brought_back",
        {{"request", ToString(it.request)}, {"reason", reason}});
    client_.RequestPlacement(it, now);
  }
}

bool DispatchAdapter::SendToOwners(TimePoint now) {
  RefuseOwnerless(now);
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

void DispatchAdapter::RefuseOwnerless(TimePoint now) {
  for (const OwnerlessRequest& it : client_.TakeOwnerless()) {
    handlers_.on_refusal(
        {it.request, kRetryAfterNoOwner, "no host owns the pool shard"}, now);
  }
}

bool DispatchAdapter::RunShardCommands(TimePoint now) {
  const std::vector<DispatchCommand> commands = shards_.TakeCommands();
  for (const DispatchCommand& it : commands)
    std::visit([&](const auto& command) { Run(command, now); }, it);
  return !commands.empty();
}

void DispatchAdapter::SendToHost(const HostId& host,
                                 const DispatchMessage& message) {
  if (const HostRecord* record = context_.blackboard.hosts.Find(host)) {
    Send(record->peers, message);
    return;
  }
  const auto it = remote_hosts_.find(host);
  if (it != remote_hosts_.end())
    Send(it->second, message);
}

void DispatchAdapter::Send(const Endpoint& peer,
                           const DispatchMessage& message) {
  Result<std::string> payload = EncodeDispatchMessage(message);
  if (payload)
    transport_.Send(peer, Channel::kDispatch, std::move(payload).value());
}

void DispatchAdapter::Run(const PlacementGrant& grant, TimePoint now) {
  context_.logger.Info(now, "placed",
                       {{"request", ToString(grant.request)},
                        {"attempt", grant.attempt},
                        {"prefill", grant.prefill_server.value()},
                        {"decode", grant.decode_server.value()},
                        {"reason", grant.reason}});
  const HostId& host = grant.request.host;
  if (host == context_.settings.host) {
    AcceptGrant(grant, std::nullopt, now);
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

void DispatchAdapter::Run(const PlacementRefusal& refusal, TimePoint now) {
  context_.logger.Info(now, "refused",
                       {{"request", ToString(refusal.request)},
                        {"retry_after_ms", refusal.retry_after.count() / 1000},
                        {"reason", refusal.reason}});
  if (refusal.request.host == context_.settings.host)
    HandleRefusal(refusal, now);
  else
    SendToHost(refusal.request.host, refusal);
}

void DispatchAdapter::Run(const CancelOnEngine& command, TimePoint now) {
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
  const std::uint64_t number = ++last_cancel_number_;
  HttpCallHandler handler;
  handler.on_done = [this, number](const HttpCallEnd&) {
    cancel_calls_.erase(number);
  };
  cancel_calls_[number] =
      context_.http.Send(std::move(call), std::move(handler));
}

void DispatchAdapter::AcceptGrant(const PlacementGrant& grant,
                                  const std::optional<Endpoint>& remote,
                                  TimePoint now) {
  if (client_.OnGrant(grant, remote))
    handlers_.on_grant(grant, now);
}

}  // namespace briarlead
