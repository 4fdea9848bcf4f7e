#include "briarlead_membership/membership_controller.h"

#include <algorithm>
#include <bit>

#include "briarlead_membership/gossip_codec.h"
#include "briarlead_membership/message_filler.h"

namespace briarlead {

namespace {

/// Most updates of each kind that are considered for one message or kept for
/// the next broadcast. With a longer queue, each update is piggybacked once.
constexpr std::size_t kUpdateBacklogLimit = 64;
/// Delegates per data centre.
constexpr std::size_t kDelegates = 2;
/// Most summaries of other data centres that one message forwards.
constexpr std::size_t kSummariesPerMessage = 5;
/// Most servers sent in reply to one digest that differs.
constexpr std::size_t kServersPerDigestReply = 32;
/// Bytes that the IP and UDP headers (28) and the frame (64) add to a message.
constexpr double kOverheadBytes = 28 + 64;
/// On average, one in this many summaries is sent together with the receiving
/// data centre's own summary; see WithSummaryOf().
constexpr std::uint64_t kSummariesBetweenIntroductions = 4;
/// Number of different salts for digests.
constexpr std::uint64_t kDigestSalts = 1 << 14;
constexpr Duration kIndirectProbeTimeout = std::chrono::seconds(1);
constexpr std::size_t kMaxIndirectProbes = 256;

}  // namespace

MembershipController::MembershipController(MembershipSettings settings,
                                           const HostEntry& self,
                                           std::uint64_t random_seed,
                                           Blackboard& blackboard)
    : settings_(std::move(settings)),
      random_(random_seed),
      hosts_(settings_, self, blackboard.hosts, random_, commands_),
      servers_(settings_, self.id, self.data_centre, blackboard, commands_),
      remotes_(settings_, self.data_centre, blackboard.hosts, commands_),
      host_table_(blackboard.hosts),
      broadcast_budget_bytes_(settings_.broadcast_burst_bytes) {}

void MembershipController::OnAnnouncement(const BackendServerRecord& record,
                                          std::uint64_t version,
                                          TimePoint now) {
  servers_.OnAnnouncement(record, version, now);
  BroadcastIfBudgetAllows(now);
}

Result<void> MembershipController::OnGossip(std::string_view bytes,
                                            TimePoint now) {
  BOOST_OUTCOME_TRY(const GossipMessage message, DecodeGossip(bytes));
  MergeContents(message, now);
  switch (message.kind) {
    case GossipKind::kUpdate:
    case GossipKind::kRelay:
      break;
    case GossipKind::kPing:
      OnPing(message, now);
      break;
    case GossipKind::kAck:
      OnAck(message, now);
      break;
    case GossipKind::kPingRequest:
      OnPingRequest(message, now);
      break;
  }
  BroadcastIfBudgetAllows(now);
  return outcome::success();
}

void MembershipController::MergeContents(const GossipMessage& message,
                                         TimePoint now) {
  if (message.kind == GossipKind::kRelay) {
    for (const RelayedAnnouncement& it : message.announcements)
      servers_.Merge(it, now);
    return;
  }
  highest_lists_revision_ =
      std::max(highest_lists_revision_, message.highest_lists_revision);
  for (const DataCentreSummary& it : message.summaries)
    MergeSummary(it, now);
  if (message.sender.data_centre != hosts_.self().data_centre) {
    remotes_.OnMessageFrom(message.sender, now);
    return;
  }
  hosts_.OnMessageFrom(message.sender, now);
  for (const HostEntry& it : message.hosts)
    hosts_.Merge(it, now);
  for (const ServerEntry& it : message.servers)
    servers_.Merge(it, now);
}

void MembershipController::MergeSummary(const DataCentreSummary& summary,
                                        TimePoint now) {
  if (summary.data_centre != hosts_.self().data_centre) {
    remotes_.Merge(summary, now);
    return;
  }
  // Another data centre has returned its summary of this one. The delegates in
  // it may be hosts that this host does not know.
  for (const Delegate& it : summary.delegates)
    hosts_.AddContact(it.peers);
}

void MembershipController::OnPing(const GossipMessage& message, TimePoint now) {
  GossipMessage ack = NewMessage(GossipKind::kAck);
  ack.sequence = message.sequence;
  ack.target = hosts_.self().id;
  ack.digest = servers_.Digest(random_.Below(kDigestSalts));
  FillAndSend(std::move(ack), message.sender.peers, message.sender.id, now);
  if (message.sender.data_centre == hosts_.self().data_centre)
    SendDifferingServers(message.sender.peers, message.digest, now);
}

void MembershipController::OnPingRequest(const GossipMessage& message,
                                         TimePoint now) {
  if (indirect_probes_.size() >= kMaxIndirectProbes)
    return;
  GossipMessage ping = NewMessage(GossipKind::kPing);
  // The top bit distinguishes these sequence numbers from those of this host's
  // own probes.
  ping.sequence = next_indirect_sequence_++ | (std::uint64_t{1} << 63);
  ping.digest = servers_.Digest(random_.Below(kDigestSalts));
  indirect_probes_[ping.sequence] = {message.sender.peers, message.sequence,
                                     message.target, now};
  FillAndSend(std::move(ping), message.target_endpoint, message.target, now);
}

void MembershipController::OnAck(const GossipMessage& message, TimePoint now) {
  const auto it = indirect_probes_.find(message.sequence);
  if (it != indirect_probes_.end()) {
    if (it->second.target == message.target) {
      GossipMessage ack = NewMessage(GossipKind::kAck);
      ack.sequence = it->second.sequence;
      ack.target = message.target;
      ack.digest = servers_.Digest(random_.Below(kDigestSalts));
      Send(ack, it->second.requester);
      indirect_probes_.erase(it);
    }
    return;
  }
  hosts_.OnAck(message.sequence, message.target);
  if (message.sender.data_centre == hosts_.self().data_centre)
    SendDifferingServers(message.sender.peers, message.digest, now);
}

void MembershipController::Tick(TimePoint now) {
  RefillBroadcastBudget(now);
  std::erase_if(indirect_probes_, [&](const auto& it) {
    return now - it.second.sent > kIndirectProbeTimeout;
  });
  for (const DueProbe& it : hosts_.Tick(now))
    SendProbe(it, now);
  for (const RelayBatch& it : servers_.Tick(hosts_.epoch(), now))
    SendRelay(it);
  remotes_.Tick(now);
  SendSummary(now);
  Broadcast(now);
}

void MembershipController::SetListsRevision(std::uint64_t revision) {
  hosts_.SetListsRevision(revision);
  highest_lists_revision_ = std::max(highest_lists_revision_, revision);
}

void MembershipController::SetModelSummaries(std::vector<ModelSummary> models) {
  models_ = std::move(models);
}

void MembershipController::StartLeaving(TimePoint now) {
  hosts_.StartLeaving();
  Broadcast(now);
}

GossipMessage MembershipController::NewMessage(GossipKind kind) const {
  GossipMessage message;
  message.kind = kind;
  message.sender = hosts_.self();
  message.highest_lists_revision = highest_lists_revision_;
  return message;
}

void MembershipController::SendProbe(const DueProbe& probe, TimePoint now) {
  GossipMessage message = NewMessage(probe.kind);
  message.sequence = probe.sequence;
  message.target = probe.target;
  message.target_endpoint = probe.target_endpoint;
  message.digest = servers_.Digest(random_.Below(kDigestSalts));
  FillAndSend(std::move(message), probe.to, probe.to_id, now);
}

void MembershipController::SendRelay(const RelayBatch& relay) {
  const HostEntry* to = hosts_.Find(relay.to);
  if (to == nullptr)
    return;
  std::size_t sent = 0;
  while (sent < relay.announcements.size()) {
    GossipMessage message;
    message.kind = GossipKind::kRelay;
    MessageFiller filler(message);
    const std::size_t before = sent;
    while (sent < relay.announcements.size() &&
           filler.Add(relay.announcements[sent]))
      ++sent;
    if (sent == before)
      return;
    Send(message, to->peers);
  }
}

GossipMessage MembershipController::WithSummaryOf(const DataCentreId& id,
                                                  GossipMessage message,
                                                  TimePoint now) const {
  if (const auto summary = remotes_.Find(id, now))
    MessageFiller(message).Add(*summary);
  return message;
}

std::optional<DataCentreSummary> MembershipController::OwnSummary() const {
  const HostEntry& self = hosts_.self();
  DataCentreSummary summary;
  summary.data_centre = self.data_centre;
  summary.models = models_;
  bool is_delegate = false;
  for (const HostRecord* it :
       host_table_.InDataCentre(self.data_centre, HostState::kAlive)) {
    summary.lists_revision =
        summary.alive_hosts == 0
            ? it->lists_revision
            : std::min(summary.lists_revision, it->lists_revision);
    ++summary.alive_hosts;
    if (summary.delegates.size() >= kDelegates)
      continue;
    summary.delegates.push_back(
        {it->id, it->incarnation, it->callers, it->peers});
    is_delegate = is_delegate || it->id == self.id;
  }
  if (!is_delegate)
    return std::nullopt;
  return summary;
}

void MembershipController::SendSummary(TimePoint now) {
  if (now < next_summary_)
    return;
  // Jitter keeps delegates from sending in lockstep.
  next_summary_ = now + random_.Between(settings_.summary_interval / 2,
                                        settings_.summary_interval * 3 / 2);
  const auto summary = OwnSummary();
  if (!summary)
    return;
  GossipMessage message = NewMessage(GossipKind::kUpdate);
  if (!MessageFiller(message).Add(*summary))
    return;
  const bool introduces_receivers =
      random_.Below(kSummariesBetweenIntroductions) == 0;
  for (const RemoteContact& it : remotes_.Contacts(random_)) {
    if (introduces_receivers)
      Send(WithSummaryOf(it.data_centre, message, now), it.endpoint);
    else
      Send(message, it.endpoint);
  }
}

void MembershipController::SendDifferingServers(const Endpoint& to,
                                                const ServerDigest& digest,
                                                TimePoint now) {
  const auto different =
      servers_.NextDifferingServers(digest, kServersPerDigestReply);
  std::size_t sent = 0;
  while (sent < different.size()) {
    GossipMessage message = NewMessage(GossipKind::kUpdate);
    MessageFiller filler(message);
    const std::size_t before = sent;
    while (sent < different.size() &&
           filler.Add(servers_.EntryOf(different[sent], now))) {
      ++sent;
    }
    const double bytes = static_cast<double>(filler.bytes()) + kOverheadBytes;
    if (sent == before || !SpendBroadcastBudget(bytes))
      return;
    Send(message, to);
  }
}

void MembershipController::BroadcastIfBudgetAllows(TimePoint now) {
  // Many updates in a short time are batched into the next tick's broadcast.
  if (broadcast_budget_bytes_ >= settings_.broadcast_burst_bytes / 2)
    Broadcast(now);
}

void MembershipController::Broadcast(TimePoint now) {
  const auto hosts = hosts_.updates().TakePendingBroadcasts();
  const auto servers = servers_.updates().TakePendingBroadcasts();
  if (hosts.empty() && servers.empty())
    return;
  std::vector<HostEntry> receivers = hosts_.Reachable();
  // Also tell hosts that were just declared dead: one that is in fact running
  // can then refute.
  for (const HostId& it : hosts) {
    const HostEntry* entry = hosts_.Find(it);
    if (entry != nullptr && entry->health == HostHealth::kDead)
      receivers.push_back(*entry);
  }
  std::span<const HostId> hosts_left = hosts;
  std::span<const BackendServerId> servers_left = servers;
  while (!hosts_left.empty() || !servers_left.empty()) {
    if (!BroadcastOne(receivers, hosts_left, servers_left, now))
      break;
  }
  hosts_.updates().PutBack(hosts_left, kUpdateBacklogLimit);
  servers_.updates().PutBack(servers_left, kUpdateBacklogLimit);
}

bool MembershipController::BroadcastOne(
    std::span<const HostEntry> receivers,
    std::span<const HostId>& hosts,
    std::span<const BackendServerId>& servers,
    TimePoint now) {
  GossipMessage message = NewMessage(GossipKind::kUpdate);
  MessageFiller filler(message);
  auto hosts_left = hosts;
  auto servers_left = servers;
  while (!hosts_left.empty()) {
    const HostEntry* entry = hosts_.Find(hosts_left.front());
    if (entry != nullptr && !filler.Add(*entry))
      break;
    hosts_left = hosts_left.subspan(1);
  }
  while (!servers_left.empty() &&
         filler.Add(servers_.EntryOf(servers_left.front(), now))) {
    servers_left = servers_left.subspan(1);
  }
  const double bytes = static_cast<double>(filler.bytes()) + kOverheadBytes;
  if (!SpendBroadcastBudget(bytes * static_cast<double>(receivers.size())))
    return false;
  hosts = hosts_left;
  servers = servers_left;
  for (const HostEntry& it : receivers)
    Send(message, it.peers);
  return true;
}

std::size_t MembershipController::MaxSends(std::size_t queued) const {
  // When many updates are queued, each is sent only once: the exchange of
  // digests repairs what gets lost.
  if (queued > kUpdateBacklogLimit)
    return 1;
  return static_cast<std::size_t>(std::bit_width(host_table_.items().size()));
}

void MembershipController::FillAndSend(GossipMessage message,
                                       const Endpoint& to,
                                       const HostId& to_id,
                                       TimePoint now) {
  MessageFiller filler(message);
  // The receiver's own entry goes first, so that the receiver can refute a
  // suspicion or its death.
  const HostEntry* receiver = hosts_.Find(to_id);
  if (receiver != nullptr && receiver->health != HostHealth::kAlive)
    filler.Add(*receiver);
  const bool is_own_data_centre = receiver != nullptr;
  if (is_own_data_centre) {
    const std::size_t host_sends = MaxSends(hosts_.updates().size());
    for (const HostId& it : hosts_.updates().LeastSent(kUpdateBacklogLimit)) {
      const HostEntry* entry = hosts_.Find(it);
      if (entry == nullptr || filler.Add(*entry))
        hosts_.updates().RecordSend(it, host_sends);
    }
    const std::size_t server_sends = MaxSends(servers_.updates().size());
    for (const BackendServerId& it :
         servers_.updates().LeastSent(kUpdateBacklogLimit)) {
      if (!filler.Add(servers_.EntryOf(it, now)))
        break;
      servers_.updates().RecordSend(it, server_sends);
    }
    // Each message also carries one known host in turn, which repairs updates
    // that were lost.
    if (const HostEntry* entry = hosts_.NextRoundRobin())
      filler.Add(*entry);
  }
  if (const auto summary = OwnSummary(); summary && !is_own_data_centre)
    filler.Add(*summary);
  for (const auto& it : remotes_.NextSummaries(kSummariesPerMessage, now))
    filler.Add(it);
  Send(message, to);
}

void MembershipController::Send(const GossipMessage& message,
                                const Endpoint& to) {
  commands_.emplace_back(SendGossip{to, EncodeGossip(message)});
}

void MembershipController::RefillBroadcastBudget(TimePoint now) {
  const double earned =
      ToSeconds(now - last_refill_) * settings_.broadcast_bytes_per_second;
  last_refill_ = now;
  broadcast_budget_bytes_ =
      std::min(settings_.broadcast_burst_bytes,
               broadcast_budget_bytes_ + std::max(0.0, earned));
}

bool MembershipController::SpendBroadcastBudget(double bytes) {
  if (broadcast_budget_bytes_ < bytes)
    return false;
  broadcast_budget_bytes_ -= bytes;
  return true;
}

}  // namespace briarlead
