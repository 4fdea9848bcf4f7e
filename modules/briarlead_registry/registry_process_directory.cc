// The part of RegistryProcess that distributes routes, servers and entry hosts.

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

#include "briarlead_net/loop_clock.h"
#include "briarlead_registry/registry_process.h"

namespace briarlead {

namespace {

/// Every how many heartbeats the whole directory is sent to control hosts of an
/// earlier build, even if the digest matches: they need the times of
/// announcements.
constexpr std::uint64_t kHeartbeatsPerDirectory = 3;
/// The leader sends a list of routes to the entry hosts at once. The other
/// control hosts send a large one, one after the other, to hosts that still
/// lack it: six copies at a time would fill the link of an entry host.
constexpr Duration kFirstFallbackDelay = std::chrono::milliseconds(400);
constexpr Duration kFallbackStep = std::chrono::milliseconds(250);
/// Time after a DirectoryRequest in which a HostHeartbeat of the same process
/// is not answered. A host sends both until it has an answer; it repeats
/// requests at least every 5 s.
constexpr Duration kAnsweredTime = std::chrono::seconds(6);
/// Time after which an entry host without the list in force is logged, and the
/// interval of these lines.
constexpr Duration kLateListTime = std::chrono::milliseconds(1000);
constexpr Duration kBehindLogInterval = std::chrono::seconds(1);
/// Interval at which hosts are told which control hosts there are; they forget
/// one after 30 s.
constexpr Duration kControlHostsInterval = std::chrono::seconds(4);

}  // namespace

void RegistryProcess::LogHostsBehind(TimePoint now) {
  if (now < next_behind_log_)
    return;
  const KnownHosts::HostsBehind behind = hosts_.FindHostsBehind(now);
  if (behind.longest < kLateListTime)
    return;
  next_behind_log_ = now + kBehindLogInterval;
  logger_.Warning(
      now, "routes_late",
      {{"version", state_->routes().version()},
       {"hosts", behind.count},
       {"slowest", ToString(behind.slowest)},
       {"behind_ms",
        std::chrono::duration_cast<std::chrono::milliseconds>(behind.longest)
            .count()}});
}

void RegistryProcess::SendHeartbeats(TimePoint now) {
  ++heartbeat_count_;
  hosts_.Expire(now);
  LogHostsBehind(now);
  directory_.Expire(now);
  directory_.UpdateSilence(now);
  stream_origins_.Expire(now);
  HostHeartbeat heartbeat;
  heartbeat.role = HostRole::kControl;
  heartbeat.data_centre = settings_.data_centre;
  heartbeat.routes_version = state_->routes().version();
  heartbeat.servers_digest = directory_.Digest();
  const std::vector<Endpoint> peers = ControlPeers();
  follower_.SetSources(peers, now);
  const std::optional<DirectoryUpdate> heard = push_.TakeHeard(now);
  std::vector<HostId> seed_hosts;
  for (const Endpoint& it : peers) {
    seed_hosts.emplace_back(it.address);
    if (const auto request = follower_.TakeRequest(it, heartbeat, now))
      Send(it, *request);
    if (follower_.WantsHeartbeat(it, now))
      Send(it, heartbeat);
    if (heard.has_value() && follower_.Answers(it, now))
      Send(it, *heard);
  }
  state_->SetSeedHosts(std::move(seed_hosts));
}

std::vector<Endpoint> RegistryProcess::ControlPeers() const {
  std::set<Endpoint> peers;
  for (const Endpoint& it : settings_.seeds)
    peers.insert({it.address, settings_.control_peer_port});
  for (const HostId& it : state_->MemberHosts())
    peers.insert({it.value(), settings_.control_peer_port});
  for (const Endpoint& it : hosts_.EndpointsWithRole(HostRole::kControl))
    peers.insert(it);
  peers.erase({settings_.address, settings_.control_peer_port});
  return {peers.begin(), peers.end()};
}

void RegistryProcess::NoteHeartbeat(const Endpoint& peer,
                                    const HostHeartbeat& heartbeat,
                                    TimePoint now) {
  if (hosts_.OnHeartbeat(peer, heartbeat, now)) {
    logger_.Info(now, "host_found",
                 {{"peer", ToString(peer)},
                  {"entry", heartbeat.role == HostRole::kEntry}});
  }
  if (const auto capacities = hosts_.TakeCapacitiesFor(peer, now))
    Send(peer, *capacities);
}

void RegistryProcess::OnDirectoryRequest(const PeerName& sender,
                                         const DirectoryRequest& request,
                                         TimePoint now) {
  const Endpoint& peer = sender.peers;
  NoteHeartbeat(peer, request.heartbeat, now);
  // What was on its way to an earlier process of the host is lost.
  if (!hosts_.HasRequested(peer, sender.incarnation, TimePoint()))
    feed_->OnLinkFailure(peer);
  hosts_.OnDirectoryRequest(peer, sender.incarnation, now);
  // The list first: on a slow link it would wait behind thousands of servers.
  if (request.heartbeat.role == HostRole::kEntry)
    SendNewsTo(peer, request.follows, now);
  for (const std::string& it :
       feed_->Answer(peer, request, hosts_.EntryHostsDigest(), now)) {
    SendEncoded(peer, MessageKind::kDirectoryUpdate, it);
  }
}

void RegistryProcess::SendNewsTo(const Endpoint& peer,
                                 bool follows,
                                 TimePoint now) {
  RoutingUpdate update;
  AddRoutesFor(peer, update, now);
  if (hosts_.TakeHostsTurn(peer, follows, now)) {
    update.hosts_digest = hosts_.EntryHostsDigest();
    update.entry_hosts = hosts_.EntryHosts();
  }
  const bool has_news = update.routes.has_value() || update.hosts_digest != 0;
  if (!hosts_.TakeControlHostsTurn(peer, kControlHostsInterval, now) &&
      !has_news) {
    return;
  }
  update.control_hosts = AllControlHosts();
  Send(peer, std::move(update));
}

std::vector<Endpoint> RegistryProcess::AllControlHosts() const {
  std::vector<Endpoint> hosts = ControlPeers();
  hosts.push_back({settings_.address, settings_.control_peer_port});
  return hosts;
}

void RegistryProcess::OnHostHeartbeat(const PeerName& sender,
                                      const HostHeartbeat& heartbeat,
                                      TimePoint now) {
  const Endpoint& peer = sender.peers;
  NoteHeartbeat(peer, heartbeat, now);
  if (hosts_.HasRequested(peer, sender.incarnation, now - kAnsweredTime))
    return;
  RoutingUpdate update;
  update.control_hosts = AllControlHosts();
  const bool same = heartbeat.servers_digest == directory_.Digest();
  const bool is_entry = heartbeat.role == HostRole::kEntry;
  if (same)
    feed_->OnSameDigest(peer);
  if (!same || (!is_entry && heartbeat_count_ % kHeartbeatsPerDirectory == 0)) {
    auto servers = feed_->AnswerDigest(peer, now);
    // An answer would mean that the host has all servers.
    if (!servers.has_value())
      return;
    update.servers = std::move(*servers);
  } else if (is_entry) {
    // The host has the same servers; only the ones that have fallen silent are
    // named, so that the answer stays small.
    update.others_heard = true;
    for (const auto& [id, entry] : directory_.entries()) {
      if (now - entry.last_heard >= AnnouncedServer::kRecentAge)
        update.servers.push_back({entry.record, now - entry.last_heard});
    }
  }
  if (is_entry) {
    update.hosts_digest = hosts_.EntryHostsDigest();
    if (hosts_.TakeHostsTurn(peer, true, now))
      update.entry_hosts = hosts_.EntryHosts();
    AddRoutesFor(peer, update, now);
  }
  for (const auto& [version, former] : directory_.former_versions())
    update.former_versions.push_back({version, now - former.last_heard});
  Send(peer, std::move(update));
}

void RegistryProcess::AddRoutesFor(const Endpoint& peer,
                                   RoutingUpdate& update,
                                   TimePoint now) {
  const RouteStore& routes = state_->routes();
  const std::size_t size = routes.text().size();
  const bool is_turn = state_->leads() ||
                       size <= KnownHosts::kSmallRouteBytes ||
                       now - hosts_.BehindSince(peer, now) >= FallbackDelay();
  if (!is_turn || !hosts_.MaySendRoutes(peer, routes.version(), size, now))
    return;
  update.routes = routes.text();
  hosts_.OnRoutesSent(peer, routes.version(), size, now);
}

Duration RegistryProcess::FallbackDelay() const {
  std::vector<HostId> members = state_->MemberHosts();
  std::sort(members.begin(), members.end());
  const auto self =
      std::find(members.begin(), members.end(), HostId(settings_.address));
  const auto place = static_cast<int>(self - members.begin());
  return kFirstFallbackDelay + place * kFallbackStep;
}

void RegistryProcess::OnRoutingUpdate(const RoutingUpdate& update,
                                      TimePoint now) {
  // Entry hosts that the sender can't reach ask for the changes with their next
  // requests.
  for (const FormerVersion& it : update.former_versions)
    directory_.OnFormerVersion(it.version, now - it.age);
  for (const AnnouncedServer& it : update.servers) {
    if (it.age < ServerDirectory::kRecordLife)
      directory_.Merge(it.record, now - it.age);
  }
}

void RegistryProcess::AnswerAfterPush(const CallerRequestId& id, int status) {
  if (!push_.has_changes() && answers_after_push_.empty()) {
    Answer(id, status, "{}");
    return;
  }
  answers_after_push_.push_back({id, status, std::nullopt});
  SchedulePush();
}

void RegistryProcess::ConfirmAfterPush(const CallerRequestId& id,
                                       const BackendServerId& leaving) {
  // A server that leaves must be known to leave on every host. A control host
  // without contact to a majority can't guarantee that.
  if (!state_->HasMajorityContact(LoopNow())) {
    logger_.Warning(LoopNow(), "leaving_not_confirmed",
                    {{"server", leaving.value()}, {"why", "no majority"}});
    metrics_.Increment(leavings_not_confirmed_);
    AnswerAfterPush(id, 503);
    return;
  }
  answers_after_push_.push_back({id, 0, leaving});
  SchedulePush();
}

void RegistryProcess::SchedulePush() {
  if (push_timer_.active())
    return;
  const auto delay = std::chrono::ceil<std::chrono::milliseconds>(
      push_.DelayFor(hosts_.EntryHosts().size(), LoopNow()));
  push_timer_.StartTimer(static_cast<guint>(delay.count()),
                         [this] { PushServers(); });
}

void RegistryProcess::PushServers() {
  const std::vector<Endpoint> entry_hosts =
      hosts_.EndpointsWithRole(HostRole::kEntry);
  DirectoryPush::Changes changes =
      push_.TakeChanges(entry_hosts.size(), LoopNow());
  RoutingUpdate update;
  update.servers = std::move(changes.all);
  if (!update.servers.empty()) {
    const std::string message = EncodeRoutingMessage(update);
    for (const Endpoint& it : ControlPeers())
      SendEncoded(it, MessageKind::kServerPush, message);
  }
  update.servers.resize(changes.for_entry_hosts);
  if (!update.servers.empty()) {
    const std::string message = EncodeRoutingMessage(update);
    for (const Endpoint& it : entry_hosts)
      SendEncoded(it, MessageKind::kServerPush, message);
  }
  AnswerAnnouncements();
}

void RegistryProcess::AnswerAnnouncements() {
  const TimePoint now = LoopNow();
  for (const PendingAnswer& it : std::exchange(answers_after_push_, {})) {
    if (it.leaving.has_value())
      persistence_.ConfirmLeaving(it.id, *it.leaving, now);
    else
      Answer(it.id, it.status, "{}");
  }
  RunPersistence(now);
}

void RegistryProcess::PushRoutes() {
  // Followers send the list only to hosts that report an older version in their
  // heartbeat. If all replicas pushed, each host would get it several times.
  if (!state_->leads())
    return;
  const TimePoint now = LoopNow();
  const RouteStore& routes = state_->routes();
  RoutingUpdate update;
  update.routes = routes.text();
  const std::string message = EncodeRoutingMessage(update);
  for (const Endpoint& it : hosts_.EndpointsWithRole(HostRole::kEntry)) {
    if (!hosts_.MaySendRoutes(it, routes.version(), message.size(), now))
      continue;
    SendEncoded(it, MessageKind::kRoutingUpdate, message);
    hosts_.OnRoutesSent(it, routes.version(), message.size(), now);
  }
}

void RegistryProcess::Send(const Endpoint& peer,
                           const RoutingMessage& message) {
  SendEncoded(peer, MessageKindOf(message), EncodeRoutingMessage(message));
}

void RegistryProcess::SendEncoded(const Endpoint& peer,
                                  MessageKind kind,
                                  std::string message) {
  sent_.OnSent(kind, message.size());
  transport_->Send(peer, Channel::kRouting, std::move(message));
}

void RegistryProcess::SendDatagram(const Endpoint& peer,
                                   const RoutingMessage& message) {
  std::string bytes = EncodeRoutingMessage(message);
  sent_.OnSent(MessageKindOf(message), bytes.size());
  transport_->SendDatagram(peer, Channel::kRouting, std::move(bytes));
}

}  // namespace briarlead
