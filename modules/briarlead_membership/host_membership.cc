#include "briarlead_membership/host_membership.h"

#include <algorithm>
#include <tuple>

namespace briarlead {

namespace {

/// A dead host is remembered for this long, so that delayed messages can't
/// revive it.
constexpr Duration kForgetDeadTimeout = std::chrono::hours(1);
/// After a longer gap between two ticks, this process was paused itself, and
/// missing answers don't indicate that other hosts failed.
constexpr Duration kLongestTickGap = std::chrono::seconds(1);

constexpr std::size_t kMaxContacts = 4;

/// Returns whether `entry` takes precedence over the `known` entry of the same
/// host. A host that knows of an incarnation's death considers it final. The
/// death does not spread to hosts that know a later version, so that a host
/// that missed a refutation can't make the others declare the refuting host
/// dead.
bool Supersedes(const HostEntry& entry, const HostEntry& known) {
  if (entry.incarnation != known.incarnation)
    return entry.incarnation > known.incarnation;
  if (known.health == HostHealth::kDead)
    return false;
  return std::tie(entry.version, entry.health) >
         std::tie(known.version, known.health);
}

HostState StateOf(const HostEntry& entry) {
  if (entry.health == HostHealth::kDead)
    return HostState::kDead;
  if (entry.leaving)
    return HostState::kLeaving;
  if (entry.health == HostHealth::kSuspect)
    return HostState::kSuspect;
  return HostState::kAlive;
}

template <typename T>
void Shuffle(std::vector<T>& items, RandomSource& random) {
  for (std::size_t i = items.size(); i > 1; --i)
    std::swap(items[i - 1], items[random.Below(i)]);
}

}  // namespace

HostMembership::HostMembership(const MembershipSettings& settings,
                               const HostEntry& self,
                               HostTable& hosts,
                               RandomSource& random,
                               MembershipCommands& commands)
    : settings_(settings),
      self_(self),
      hosts_(hosts),
      random_(random),
      commands_(commands) {
  PublishSelf();
  updates_.AddLocal(self_.id);
}

void HostMembership::SetListsRevision(std::uint64_t revision) {
  self_.lists_revision = revision;
  PublishSelf();
}

void HostMembership::StartLeaving() {
  self_.leaving = true;
  ++self_.version;
  ++epoch_;
  PublishSelf();
  updates_.AddLocal(self_.id);
}

void HostMembership::PublishSelf() {
  HostRecord record;
  if (const HostRecord* known = hosts_.Find(self_.id))
    record = *known;
  record.id = self_.id;
  record.data_centre = self_.data_centre;
  record.callers = self_.callers;
  record.peers = self_.peers;
  record.incarnation = self_.incarnation;
  record.state = StateOf(self_);
  record.lists_revision = self_.lists_revision;
  hosts_.Put(record);
}

void HostMembership::Publish(const Peer& peer) {
  HostRecord record;
  record.id = peer.entry.id;
  record.data_centre = peer.entry.data_centre;
  record.callers = peer.entry.callers;
  record.peers = peer.entry.peers;
  record.incarnation = peer.entry.incarnation;
  record.state = StateOf(peer.entry);
  record.last_heard = peer.last_heard;
  record.lists_revision = peer.entry.lists_revision;
  hosts_.Put(record);
}

void HostMembership::MergeSelf(const HostEntry& entry) {
  if (entry.incarnation < self_.incarnation)
    return;
  const bool called_dead = entry.health == HostHealth::kDead;
  if (entry.incarnation > self_.incarnation || called_dead) {
    // Hosts that consider this incarnation dead have given up its work, so a
    // refutation within the incarnation is not enough.
    self_.incarnation = entry.incarnation + 1;
    self_.version = 0;
    commands_.emplace_back(OwnIncarnationChanged{self_.incarnation});
  } else if (entry.health == HostHealth::kSuspect &&
             entry.version >= self_.version) {
    self_.version = entry.version + 1;
  } else {
    return;
  }
  PublishSelf();
  updates_.AddLocal(self_.id);
}

void HostMembership::Merge(const HostEntry& entry, TimePoint now) {
  if (entry.id == self_.id) {
    MergeSelf(entry);
    return;
  }
  if (entry.data_centre != self_.data_centre)
    return;
  const auto it = peers_.find(entry.id);
  if (it == peers_.end()) {
    if (entry.health == HostHealth::kDead)
      return;
    Apply(peers_[entry.id], entry, now);
    return;
  }
  Peer& peer = it->second;
  if (Supersedes(entry, peer.entry)) {
    Apply(peer, entry, now);
    return;
  }
  if (entry.incarnation == peer.entry.incarnation &&
      entry.lists_revision > peer.entry.lists_revision) {
    peer.entry.lists_revision = entry.lists_revision;
    Publish(peer);
  }
}

void HostMembership::Apply(Peer& peer, const HostEntry& entry, TimePoint now) {
  const bool is_new = peer.entry.id.empty();
  const HostState old_state = StateOf(peer.entry);
  const bool has_restarted = peer.entry.incarnation != entry.incarnation;
  const bool was_suspect = peer.entry.health == HostHealth::kSuspect;
  peer.entry = entry;
  if (entry.health == HostHealth::kSuspect && !was_suspect) {
    peer.suspect_since = now;
    peer.next_ping = now + settings_.suspect_ping_interval;
  }
  if (entry.health == HostHealth::kDead)
    peer.dead_since = now;
  Publish(peer);
  updates_.AddRemote(entry.id);
  ++epoch_;
  const HostState state = StateOf(entry);
  if (is_new || has_restarted || state != old_state)
    commands_.emplace_back(
        HostStateChanged{entry.id, entry.incarnation, state});
}

void HostMembership::OnMessageFrom(const HostEntry& sender, TimePoint now) {
  Merge(sender, now);
  const auto it = peers_.find(sender.id);
  if (it == peers_.end() || it->second.entry.incarnation != sender.incarnation)
    return;
  it->second.last_heard = now;
  if (HostRecord* record = hosts_.Find(sender.id))
    record->last_heard = now;
}

void HostMembership::AddContact(const Endpoint& endpoint) {
  if (std::ranges::find(contacts_, endpoint) != contacts_.end())
    return;
  contacts_.push_back(endpoint);
  if (contacts_.size() > kMaxContacts)
    contacts_.erase(contacts_.begin());
}

void HostMembership::OnAck(std::uint64_t sequence, const HostId& answered_by) {
  if (probe_ && probe_->sequence == sequence && probe_->target == answered_by)
    probe_->answered = true;
}

std::vector<DueProbe> HostMembership::Tick(TimePoint now) {
  if (!has_ticked_) {
    has_ticked_ = true;
    // Jitter keeps hosts that start together from probing in lockstep.
    next_probe_ = now + random_.Between({}, settings_.probe_interval);
    next_rejoin_ = now;
    last_tick_ = now;
  }
  if (now - last_tick_ > kLongestTickGap)
    RestartSuspicionsAfterPause(now);
  last_tick_ = now;
  std::vector<DueProbe> due;
  SendIndirectProbes(now, due);
  PingSuspects(now, due);
  if (now >= next_probe_) {
    FinishProbe(now);
    StartProbe(now, due);
    next_probe_ = now + settings_.probe_interval;
  }
  ExpireSuspicions(now);
  ForgetDead(now);
  Rejoin(now, due);
  return due;
}

void HostMembership::RestartSuspicionsAfterPause(TimePoint now) {
  probe_.reset();
  for (auto& [id, peer] : peers_) {
    if (peer.entry.health == HostHealth::kSuspect)
      peer.suspect_since = now;
  }
}

void HostMembership::Suspect(const HostId& id, TimePoint now) {
  const auto it = peers_.find(id);
  if (it == peers_.end() || it->second.entry.health != HostHealth::kAlive)
    return;
  HostEntry entry = it->second.entry;
  entry.health = HostHealth::kSuspect;
  Apply(it->second, entry, now);
  updates_.AddLocal(id);
}

void HostMembership::ExpireSuspicions(TimePoint now) {
  for (auto& [id, peer] : peers_) {
    if (peer.entry.health != HostHealth::kSuspect ||
        now - peer.suspect_since < settings_.suspicion_timeout) {
      continue;
    }
    if (peer.last_heard > peer.suspect_since) {
      // The host still sends messages, so its refutation is expected soon.
      peer.suspect_since = now;
      continue;
    }
    HostEntry entry = peer.entry;
    entry.health = HostHealth::kDead;
    Apply(peer, entry, now);
    updates_.AddLocal(id);
  }
}

void HostMembership::ForgetDead(TimePoint now) {
  std::erase_if(peers_, [&](const auto& item) {
    const Peer& peer = item.second;
    const bool expired = peer.entry.health == HostHealth::kDead &&
                         now - peer.dead_since >= kForgetDeadTimeout;
    if (expired)
      hosts_.Erase(peer.entry.id);
    return expired;
  });
}

void HostMembership::FinishProbe(TimePoint now) {
  if (probe_ && !probe_->answered)
    Suspect(probe_->target, now);
  probe_.reset();
}

std::optional<HostId> HostMembership::NextProbeTarget() {
  if (probe_order_.empty()) {
    for (const auto& [id, peer] : peers_)
      probe_order_.push_back(id);
    Shuffle(probe_order_, random_);
  }
  while (!probe_order_.empty()) {
    const HostId id = probe_order_.back();
    probe_order_.pop_back();
    const auto it = peers_.find(id);
    if (it != peers_.end() && it->second.entry.health != HostHealth::kDead)
      return id;
  }
  return std::nullopt;
}

void HostMembership::StartProbe(TimePoint now, std::vector<DueProbe>& due) {
  const auto target = NextProbeTarget();
  if (!target)
    return;
  probe_ = Probe{*target, next_sequence_++, now};
  due.push_back({GossipKind::kPing, peers_[*target].entry.peers, *target,
                 probe_->sequence});
}

void HostMembership::SendIndirectProbes(TimePoint now,
                                        std::vector<DueProbe>& due) {
  if (!probe_ || probe_->answered || probe_->sent_indirect ||
      now - probe_->sent < settings_.probe_timeout) {
    return;
  }
  probe_->sent_indirect = true;
  std::vector<HostEntry> others = Reachable();
  std::erase_if(others, [&](const HostEntry& it) {
    return it.id == probe_->target || it.health != HostHealth::kAlive;
  });
  Shuffle(others, random_);
  others.resize(std::min(others.size(), settings_.indirect_probes));
  for (const HostEntry& it : others) {
    due.push_back({GossipKind::kPingRequest, it.peers, it.id, probe_->sequence,
                   probe_->target, peers_[probe_->target].entry.peers});
  }
}

void HostMembership::PingSuspects(TimePoint now, std::vector<DueProbe>& due) {
  for (auto& [id, peer] : peers_) {
    if (peer.entry.health != HostHealth::kSuspect || now < peer.next_ping)
      continue;
    peer.next_ping = now + settings_.suspect_ping_interval;
    due.push_back({GossipKind::kPing, peer.entry.peers, id});
  }
}

void HostMembership::Rejoin(TimePoint now, std::vector<DueProbe>& due) {
  if (now < next_rejoin_)
    return;
  next_rejoin_ = now + settings_.rejoin_interval;
  std::vector<DueProbe> candidates;
  for (const auto& [id, peer] : peers_) {
    if (peer.entry.health == HostHealth::kDead)
      candidates.push_back({GossipKind::kPing, peer.entry.peers, id});
  }
  const auto add_unknown = [&](const Endpoint& endpoint) {
    const bool is_known = std::ranges::any_of(
        hosts_.items(),
        [&](const auto& it) { return it.second.peers == endpoint; });
    if (!is_known)
      candidates.push_back({GossipKind::kPing, endpoint, {}});
  };
  std::ranges::for_each(settings_.seeds, add_unknown);
  std::ranges::for_each(contacts_, add_unknown);
  if (!candidates.empty())
    due.push_back(candidates[random_.Below(candidates.size())]);
}

const HostEntry* HostMembership::Find(const HostId& id) const {
  if (id == self_.id)
    return &self_;
  const auto it = peers_.find(id);
  return it == peers_.end() ? nullptr : &it->second.entry;
}

std::vector<HostEntry> HostMembership::Reachable() const {
  std::vector<HostEntry> found;
  for (const auto& [id, peer] : peers_) {
    if (peer.entry.health != HostHealth::kDead)
      found.push_back(peer.entry);
  }
  return found;
}

const HostEntry* HostMembership::NextRoundRobin() {
  if (peers_.empty())
    return nullptr;
  auto it = peers_.upper_bound(round_robin_position_);
  if (it == peers_.end())
    it = peers_.begin();
  round_robin_position_ = it->first;
  return &it->second.entry;
}

}  // namespace briarlead
