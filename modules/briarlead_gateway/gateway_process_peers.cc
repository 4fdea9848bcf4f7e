// The part of GatewayProcess that exchanges messages with other hosts.

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <set>
#include <utility>
#include <variant>
#include <vector>

#include "briarlead_gateway/gateway_process.h"
#include "briarlead_net/loop_clock.h"

namespace briarlead {

namespace {

/// Maximum time between two load messages to the other entry hosts.
constexpr Duration kMaxLoadInterval = std::chrono::milliseconds(300);
/// Time without a load message after which an entry host may have restarted.
constexpr Duration kHostSilence = std::chrono::milliseconds(700);
/// Interval at which a host reports a weight other than 1; control hosts forget
/// it after KnownHosts::kHostTimeout.
constexpr Duration kCapacityInterval = std::chrono::milliseconds(1900);
/// Time after which a control host that is no longer listed gets no heartbeats.
constexpr Duration kControlHostLife = std::chrono::seconds(30);
/// Time without a response after which a control host counts as unreachable.
constexpr Duration kControlSilence = std::chrono::milliseconds(1300);
/// The same while the directory must be as new as theirs: one heartbeat, its
/// answer, and some delay.
constexpr Duration kDirectorySilence = std::chrono::milliseconds(700);

}  // namespace

void GatewayProcess::SendHeartbeats(TimePoint now) {
  for (const Endpoint& it : settings_.seeds)
    control_hosts_[{it.address, settings_.control_peer_port}].last_named = now;
  std::erase_if(control_hosts_, [now](const auto& it) {
    return now - it.second.last_named >= kControlHostLife;
  });
  HostHeartbeat heartbeat;
  heartbeat.data_centre = settings_.data_centre;
  heartbeat.routes_version = table_ ? table_->list().version : 0;
  heartbeat.servers_digest = directory_.Digest();
  std::vector<Endpoint> sources;
  for (const auto& [peer, host] : control_hosts_)
    sources.push_back(peer);
  follower_.SetSources(sources, now);
  for (const auto& [peer, host] : control_hosts_) {
    // The request first: the control host then doesn't answer the heartbeat.
    heartbeat.hosts_digest = entry_hosts_digest_;
    if (const auto request = follower_.TakeRequest(peer, heartbeat, now)) {
      transport_->Send(peer, Channel::kRouting, EncodeRoutingMessage(*request));
    }
    heartbeat.hosts_digest = host.hosts_digest;
    if (follower_.WantsHeartbeat(peer, now)) {
      transport_->Send(peer, Channel::kRouting,
                       EncodeRoutingMessage(heartbeat));
    }
  }
  const double weight = HostWeights::FromCpuShare(settings_.cpu_share);
  if (weight == 1 || now < next_capacity_report_)
    return;
  next_capacity_report_ = now + kCapacityInterval;
  for (const auto& [peer, host] : control_hosts_) {
    transport_->Send(peer, Channel::kRouting,
                     EncodeRoutingMessage(HostCapacityReport{weight}));
  }
}

void GatewayProcess::OnFrame(const Frame& frame) {
  if (frame.channel != Channel::kRouting)
    return;
  const TimePoint now = LoopNow();
  const Result<RoutingMessage> message = DecodeRoutingMessage(frame.payload);
  if (!message) {
    logger_.Warning(now, "frame_unreadable",
                    {{"peer", frame.sender.host.value()},
                     {"error", message.error().message}});
    return;
  }
  if (const auto* it = std::get_if<RoutingUpdate>(&message.value()))
    OnRoutingUpdate(*it, frame.sender, now);
  else if (const auto* news = std::get_if<DirectoryUpdate>(&message.value()))
    OnDirectoryUpdate(*news, frame.sender, now);
  else if (const auto* capacities =
               std::get_if<HostCapacities>(&message.value())) {
    control_hosts_[frame.sender.peers].capacities = *capacities;
    UpdateEntryHosts(now);
  } else if (const auto* load = std::get_if<HostLoad>(&message.value())) {
    TellReturnedHost(frame.sender.peers, now);
    relays_.OnReport(frame.sender.peers, load->report.down, now);
    OnHostLoad(frame.sender, *load, now);
  } else if (const auto* ask =
                 std::get_if<EnginePlacementRequest>(&message.value()))
    remote_placements_.OnRequest(frame.sender.host, frame.sender.peers, *ask,
                                 table_.get(), now);
  else if (const auto* reply =
               std::get_if<EnginePlacementReply>(&message.value()))
    OnPlacementReply(*reply, frame.sender.peers, now);
  else if (const auto* parts = std::get_if<CrashReport>(&message.value()))
    suspects_.OnReport(*parts, now);
  else if (const auto* speeds =
               std::get_if<EngineSpeedReport>(&message.value()))
    OnEngineSpeeds(*speeds, now);
  else if (const auto* limits =
               std::get_if<ServerLimitReport>(&message.value()))
    OnServerLimitReport(*limits, now);
  else if (const auto* wanted =
               std::get_if<SendPermitRequest>(&message.value()))
    transport_->SendDatagram(
        frame.sender.peers, Channel::kRouting,
        EncodeRoutingMessage(permit_issuer_.OnRequest(*wanted, now)));
  else if (const auto* permits = std::get_if<SendPermitReply>(&message.value()))
    OnSendPermitReply(*permits, frame.sender.peers, now);
  else if (const auto* leaving = std::get_if<LeavingReport>(&message.value()))
    std::for_each(
        leaving->servers.begin(), leaving->servers.end(),
        [this](const ServerIncarnation& it) { pool_.OnToldLeaving(it); });
  else if (const auto* origin =
               std::get_if<StreamOriginReply>(&message.value()))
    OnOriginReply(frame.sender.peers, *origin, now);
  else if (const auto* lease = std::get_if<KeyLeaseReply>(&message.value()))
    OnKeyLeaseReply(frame.sender.peers, *lease, now);
  else if (!OnSlotFrame(frame.sender.peers, message.value(), now))
    OnQuotaFrame(frame.sender.peers, message.value(), now);
  SendPlacementReplies();
  ScheduleLoadUpdate(now);
}

void GatewayProcess::OnRoutingUpdate(const RoutingUpdate& update,
                                     const PeerName& sender,
                                     TimePoint now) {
  ControlHost& control = control_hosts_[sender.peers];
  NoteIncarnation(control, sender.incarnation);
  follower_.OnProcess(sender.peers, sender.incarnation);
  control.last_heard = now;
  control.last_named = now;
  for (const Endpoint& it : update.control_hosts)
    control_hosts_[it].last_named = now;
  if (!update.entry_hosts.empty()) {
    control.hosts_digest = update.hosts_digest;
    control.entry_hosts = update.entry_hosts;
    UpdateEntryHosts(now);
  }
  OnServersTold(update, sender.peers, now);
  if (update.routes.has_value())
    ApplyRoutes(*update.routes, now);
}

void GatewayProcess::OnDirectoryUpdate(const DirectoryUpdate& update,
                                       const PeerName& sender,
                                       TimePoint now) {
  ControlHost& control = control_hosts_[sender.peers];
  NoteIncarnation(control, sender.incarnation);
  follower_.OnProcess(sender.peers, sender.incarnation);
  control.last_heard = now;
  control.last_named = now;
  if (update.hosts_digest == entry_hosts_digest_ &&
      control.hosts_digest != update.hosts_digest) {
    control.hosts_digest = update.hosts_digest;
    control.entry_hosts = entry_hosts_;
  }
  const std::uint64_t before = directory_.revision();
  LogChangedServers(follower_.OnUpdate(sender.peers, update, now), sender.peers,
                    now);
  if (directory_.revision() != before)
    suspects_.OnDirectoryChanged(directory_, now);
  directory_received_ = directory_received_ || !update.servers.empty();
}

void GatewayProcess::LogChangedServers(std::span<const AnnouncedServer> servers,
                                       const Endpoint& peer,
                                       TimePoint now) {
  for (const AnnouncedServer& it : servers) {
    logger_.Info(now, "server_changed",
                 {{"server", it.record.id.value()},
                  {"service", it.record.service.value()},
                  {"software", it.record.software.value()},
                  {"address", ToString(it.record.address)},
                  {"state", ToString(it.record.state)},
                  {"stage", ToString(it.record.stage)},
                  {"told_by", peer.address}});
  }
}

void GatewayProcess::OnServersTold(const RoutingUpdate& update,
                                   const Endpoint& peer,
                                   TimePoint now) {
  if (update.others_heard) {
    std::set<BackendServerId> silent;
    for (const AnnouncedServer& it : update.servers)
      silent.insert(it.record.id);
    directory_.OnOthersHeard(silent, now - AnnouncedServer::kRecentAge);
  }
  for (const FormerVersion& it : update.former_versions)
    directory_.OnFormerVersion(it.version, now - it.age);
  std::vector<AnnouncedServer> changed;
  for (const AnnouncedServer& it : update.servers) {
    if (directory_.Merge(it.record, now - it.age))
      changed.push_back(it);
  }
  LogChangedServers(changed, peer, now);
  suspects_.OnDirectoryChanged(directory_, now);
  directory_received_ = directory_received_ || !update.servers.empty();
}

void GatewayProcess::UpdateEntryHosts(TimePoint now) {
  std::set<EntryHost> hosts;
  for (const auto& [peer, control] : control_hosts_) {
    // A control host that has ended knows hosts that no longer exist.
    if (now - control.last_heard < kControlHostLife)
      hosts.insert(control.entry_hosts.begin(), control.entry_hosts.end());
  }
  std::vector<EntryHost> sorted(hosts.begin(), hosts.end());
  HostWeights weights;
  for (const auto& [peer, control] : control_hosts_)
    weights.Add(control.capacities);
  if (sorted == entry_hosts_ && weights == weights_)
    return;
  weights_ = std::move(weights);
  const std::vector<EntryHost> hosts_before =
      std::exchange(entry_hosts_, std::move(sorted));
  entry_hosts_digest_ = DigestOf(entry_hosts_);
  permit_owners_.SetHosts(entry_hosts_, weights_);
  TellNewHosts(hosts_before, now);
  std::erase_if(hosts_heard_, [this](const auto& it) {
    return std::none_of(
        entry_hosts_.begin(), entry_hosts_.end(),
        [&](const EntryHost& host) { return host.peers == it.first; });
  });
  budget_.SetHostCount(static_cast<std::uint32_t>(entry_hosts_.size()), now);
  const std::vector<Endpoint> before = owners_.owners();
  owners_.SetHosts(entry_hosts_, weights_);
  suspects_.SetHosts(entry_hosts_);
  relays_.SetHosts(entry_hosts_, weights_);
  quota_issuer_.SetHosts(entry_hosts_, now);
  quota_client_.SetHosts(entry_hosts_);
  if (owners_.owners() != before) {
    logger_.Info(now, "placement_owners",
                 {{"entry_hosts", entry_hosts_.size()},
                  {"first", owners_.owners().empty()
                                ? std::string()
                                : ToString(owners_.owners().front())},
                  {"owns_engines", owners_.owns_engines()}});
  }
  owner_client_.SetOwners(owners_.owners());
  remote_placements_.SetOwner(owners_.owns_engines(), now);
}

bool GatewayProcess::Responds(const ControlHost& host, TimePoint now) {
  return now - host.last_heard < kControlSilence;
}

bool GatewayProcess::HearsControlMajority(TimePoint now) const {
  return HearsMajorityWithin(kControlSilence, now);
}

bool GatewayProcess::HearsLatestAnswers(TimePoint now) const {
  const auto confirmed = std::count_if(
      control_hosts_.begin(), control_hosts_.end(), [&](const auto& it) {
        // An answer of an earlier build brings all servers that were missing.
        const TimePoint last = follower_.Answers(it.first, now)
                                   ? follower_.LastConfirmed(it.first)
                                   : it.second.last_heard;
        return now - last < kDirectorySilence;
      });
  return 2 * static_cast<std::size_t>(confirmed) > control_hosts_.size();
}

bool GatewayProcess::HearsMajorityWithin(Duration silence,
                                         TimePoint now) const {
  const auto responding = std::count_if(
      control_hosts_.begin(), control_hosts_.end(),
      [&](const auto& it) { return now - it.second.last_heard < silence; });
  return 2 * static_cast<std::size_t>(responding) > control_hosts_.size();
}

void GatewayProcess::UpdateIsolation(TimePoint now) {
  // Each condition alone may have another cause: stopped servers or stopped
  // control hosts.
  const bool isolated = pool_.SeemsIsolated() && !HearsControlMajority(now);
  if (isolated == isolated_)
    return;
  isolated_ = isolated;
  logger_.Info(
      now, isolated ? "cut_off" : "back_in_touch",
      {{"servers_down", pool_.Down().size()}, {"requests", requests_.size()}});
  // Callers that reconnect may reach a host of another data centre.
  callers_->SetKeeping(!isolated && !shutdown_.begun());
}

void GatewayProcess::ScheduleLoadUpdate(TimePoint now) {
  const bool settled = load_tracker_.revision() == handled_revision_ &&
                       LocalRevision() == sent_revision_;
  if (settled && now < next_load_broadcast_)
    return;
  if (load_timer_.active())
    return;
  // Deferred to the main loop: requests may be on the call stack, and
  // simultaneous changes are sent in one message.
  load_timer_.StartTimer(0, [this] {
    const TimePoint later = LoopNow();
    if (load_tracker_.revision() != handled_revision_) {
      handled_revision_ = load_tracker_.revision();
      ForEachRequest([](ActiveRequest& it) { it.OnEnginesChanged(); });
      PlaceWaitingSoon(later);
    }
    if (LocalRevision() != sent_revision_ || later >= next_load_broadcast_)
      BroadcastLoad(later);
  });
}

std::uint64_t GatewayProcess::LocalRevision() const {
  const std::uint64_t engines = load_tracker_.local_revision() +
                                pool_.down_revision() + suspects_.revision() +
                                pool_.leaving_revision() +
                                server_limits_.revision();
  return owners_.all_place() ? engines + budget_.local_revision() : engines;
}

HostReport GatewayProcess::LocalReport(TimePoint now) const {
  HostReport report;
  // What a host that is cut off finds down says nothing of the servers.
  const std::vector<ServerRecord> down =
      pool_.IsCutOff() ? std::vector<ServerRecord>() : pool_.Down();
  for (const ServerRecord& it : down) {
    if (report.down.size() < HostReport::kMaxServers)
      report.down.push_back(IncarnationOf(it));
  }
  // In a large fleet each host keeps to its even part of the retry budget.
  if (owners_.all_place())
    report.retry_usage = budget_.Usage(now);
  if (report.retry_usage.size() > HostReport::kMaxServices)
    report.retry_usage.resize(HostReport::kMaxServices);
  return report;
}

void GatewayProcess::BroadcastLoad(TimePoint now) {
  sent_revision_ = LocalRevision();
  next_load_broadcast_ = now + kMaxLoadInterval;
  SendCrashReport(owners_.load_receivers(), now);
  SendEngineSpeeds(now);
  SendServerLimits(owners_.load_receivers(), server_limits_.OwnNotices(now));
  SendLeavingServers(owners_.load_receivers());
  if (!owners_.all_place())
    SendNewLimitsToOwners(now);
  HostLoad load = load_tracker_.LocalLoad(now);
  load.report = LocalReport(now);
  const bool empty = load.streams.empty() && load.prefills.empty() &&
                     load.waiting.empty() && load.report.down.empty();
  // Nobody needs to hear again that an idle host of a large fleet is idle.
  if (std::exchange(sent_load_was_empty_, empty) && empty &&
      !owners_.all_place()) {
    return;
  }
  const std::string message = EncodeRoutingMessage(std::move(load));
  const bool fits = message.size() <= PeerTransport::kMaxDatagramPayloadBytes;
  for (const Endpoint& it : owners_.load_receivers()) {
    if (fits)
      transport_->SendDatagram(it, Channel::kRouting, message);
    else
      transport_->Send(it, Channel::kRouting, message);
  }
}

void GatewayProcess::AskOwner(RequestKey key, const AskForPlacement& ask) {
  owner_client_.Ask(key, ask, LoopNow());
  RunOwnerClient();
}

void GatewayProcess::RunOwnerClient() {
  for (const OwnerClientCommand& command : owner_client_.TakeCommands()) {
    if (const auto* send = std::get_if<SendPlacementRequest>(&command)) {
      transport_->SendDatagram(send->owner, Channel::kRouting,
                               EncodeRoutingMessage(send->request));
      continue;
    }
    ActiveRequest* request = FindRequest(std::get<NoOwnerAnswers>(command).key);
    if (request != nullptr)
      request->OnNoOwner();
  }
  const TimePoint due = owner_client_.NextWake();
  if (due == TimePoint::max()) {
    owner_timer_.Reset();
    return;
  }
  const auto wait = std::chrono::ceil<std::chrono::milliseconds>(
      std::max(due - LoopNow(), Duration::zero()));
  owner_timer_.StartTimer(static_cast<guint>(wait.count()), [this] {
    owner_client_.OnWake(LoopNow());
    RunOwnerClient();
  });
}

void GatewayProcess::OnPlacementReply(const EnginePlacementReply& reply,
                                      const Endpoint& owner,
                                      TimePoint now) {
  const bool is_answer = owner_client_.OnReply(owner, reply, now);
  ActiveRequest* request = is_answer ? FindRequest(reply.key) : nullptr;
  if (request != nullptr) {
    const std::optional<ModelPlacer::Answer> answer =
        AnswerOf(reply, directory_);
    if (answer.has_value())
      request->OnPlacement(*answer);
    else
      request->OnNoOwner();
  }
  RunOwnerClient();
}

void GatewayProcess::PlaceWaitingSoon(TimePoint now) {
  if (remote_placements_.waiting_count() == 0 || place_timer_.active())
    return;
  const Duration wait = last_placed_ + RemotePlacements::kPlaceInterval - now;
  const auto wait_ms =
      std::chrono::ceil<std::chrono::milliseconds>(std::max(wait, Duration()));
  place_timer_.StartTimer(static_cast<guint>(wait_ms.count()), [this] {
    last_placed_ = LoopNow();
    remote_placements_.PlaceWaiting(table_.get(), last_placed_);
    SendPlacementReplies();
  });
}

void GatewayProcess::SendPlacementReplies() {
  AskForSendPermits(LoopNow());
  for (const OutgoingPlacementReply& it : remote_placements_.TakeReplies()) {
    // First, so that the host knows them when it sends the request.
    SendCrashReport({&it.host, 1}, LoopNow());
    transport_->SendDatagram(it.host, Channel::kRouting,
                             EncodeRoutingMessage(it.reply));
  }
}

ActiveRequest* GatewayProcess::FindRequest(RequestKey key) const {
  const auto id = request_ids_.find(key);
  if (id == request_ids_.end())
    return nullptr;
  const auto found = requests_.find(id->second);
  return found == requests_.end() ? nullptr : found->second.get();
}

void GatewayProcess::TellReturnedHost(const Endpoint& host, TimePoint now) {
  const TimePoint heard = std::exchange(hosts_heard_[host], now);
  if (now - heard < kHostSilence)
    return;
  SendCrashReport({&host, 1}, now);
  SendServerLimits({&host, 1}, server_limits_.Limits(now));
  SendLeavingServers({&host, 1});
}

void GatewayProcess::OnHostLoad(const PeerName& sender,
                                const HostLoad& load,
                                TimePoint now) {
  load_tracker_.OnHostLoad(sender.host, load, now);
  budget_.OnPeerUsage(sender.host, sender.incarnation, load.report.retry_usage,
                      now);
  for (const ServerIncarnation& it : load.report.down) {
    const std::optional<ServerRecord> server = pool_.OnReportedDown(it, now);
    if (server.has_value())
      checker_.Check(*server, now);
  }
}

}  // namespace briarlead
