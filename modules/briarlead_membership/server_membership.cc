#include "briarlead_membership/server_membership.h"

#include <algorithm>
#include <boost/container_hash/hash.hpp>
#include <tuple>

#include "briarlead_membership/shard_owner.h"

namespace briarlead {

namespace {

constexpr std::size_t kWatchers = 2;
/// After a longer gap between two ticks, this process was paused itself, and
/// missing announcements don't indicate that servers fell silent.
constexpr Duration kLongestTickGap = std::chrono::seconds(1);
constexpr Duration kForgetInterval = std::chrono::seconds(1);

/// Ranks the states that one version of a server's entry can have. The state
/// that is reached later has the higher rank and takes precedence.
int StateRank(BackendServerState state) {
  switch (state) {
    case BackendServerState::kServing:
      return 0;
    case BackendServerState::kLeaving:
      return 1;
    case BackendServerState::kSilent:
      return 2;
  }
  return 0;
}

auto Precedence(const ServerEntry& entry) {
  return std::tuple(entry.record.incarnation, entry.version,
                    StateRank(entry.record.state));
}

/// Returns whether two announcements of one incarnation agree in everything
/// but state and load.
bool HasSameContent(const BackendServerRecord& left,
                    const BackendServerRecord& right) {
  const auto content = [](const BackendServerRecord& it) {
    return std::tie(it.role, it.model, it.service, it.address, it.slots,
                    it.kv_capacity_bytes, it.link_bytes_per_second,
                    it.checks_fencing);
  };
  return content(left) == content(right);
}

std::size_t HashOf(const BackendServerId& id) {
  return boost::hash_range(id.value().begin(), id.value().end());
}

std::size_t DigestGroupOf(std::size_t id_hash) {
  return id_hash % kDigestGroups;
}

std::size_t WatchGroupOf(std::size_t id_hash) {
  return id_hash / kDigestGroups % ServerMembership::kWatchGroups;
}

std::uint16_t HashOf(const ServerEntry& entry,
                     std::size_t id_hash,
                     std::uint64_t salt) {
  std::size_t seed = id_hash;
  boost::hash_combine(seed, salt);
  boost::hash_combine(seed, entry.record.incarnation);
  boost::hash_combine(seed, entry.version);
  boost::hash_combine(seed, StateRank(entry.record.state));
  return static_cast<std::uint16_t>(seed >> 48);
}

}  // namespace

ServerMembership::ServerMembership(const MembershipSettings& settings,
                                   const HostId& self,
                                   const DataCentreId& data_centre,
                                   Blackboard& blackboard,
                                   MembershipCommands& commands)
    : settings_(settings),
      self_(self),
      data_centre_(data_centre),
      blackboard_(blackboard),
      commands_(commands) {}

void ServerMembership::OnAnnouncement(const BackendServerRecord& record,
                                      std::uint64_t version,
                                      TimePoint now) {
  ServerEntry entry{record, version};
  entry.record.data_centre = data_centre_;
  Tracked& tracked = servers_[record.id];
  const BackendServerRecord& known = tracked.entry.record;
  const bool is_new =
      known.id.empty() || record.incarnation > known.incarnation;
  if (!is_new && (record.incarnation < known.incarnation ||
                  version <= tracked.last_heard_version)) {
    return;
  }
  recent_announcements_[record.id] = {
      {record.id, record.incarnation, version, {}, record.load}, now};
  if (is_new || record.state != known.state || !HasSameContent(record, known)) {
    Apply(tracked, entry, now, now);
    updates_.AddLocal(record.id);
  }
  UpdateLastHeard(tracked, version, now);
  tracked.announced_state = record.state;
  tracked.entry.record.load = record.load;
  Publish(tracked);
}

void ServerMembership::UpdateLastHeard(Tracked& tracked,
                                       std::uint64_t version,
                                       TimePoint at) {
  tracked.last_heard_version = std::max(tracked.last_heard_version, version);
  tracked.last_heard = std::max(tracked.last_heard, at);
}

void ServerMembership::Apply(Tracked& tracked,
                             const ServerEntry& entry,
                             TimePoint last_heard,
                             TimePoint now) {
  const BackendServerRecord old = tracked.entry.record;
  if (old.incarnation != entry.record.incarnation || old.id.empty()) {
    tracked.last_heard_version = 0;
    tracked.last_heard = last_heard;
  }
  tracked.entry = entry;
  tracked.id_hash = HashOf(entry.record.id);
  tracked.entry.record.load = old.load;
  UpdateLastHeard(tracked, entry.version, last_heard);
  if (entry.record.state == BackendServerState::kSilent)
    tracked.silent_since = now;
  else
    tracked.announced_state = entry.record.state;
  Publish(tracked);
  if (old.id.empty() || old.state != entry.record.state ||
      old.incarnation != entry.record.incarnation) {
    commands_.emplace_back(BackendServerStateChanged{
        entry.record.id, entry.record.incarnation, entry.record.state});
  }
}

void ServerMembership::Publish(const Tracked& tracked) {
  BackendServerRecord record = tracked.entry.record;
  record.last_heard = tracked.last_heard;
  blackboard_.servers.Put(record);
}

void ServerMembership::Merge(const ServerEntry& entry, TimePoint now) {
  const bool is_silent = entry.record.state == BackendServerState::kSilent;
  const auto it = servers_.find(entry.record.id);
  if (it == servers_.end() && is_silent)
    return;
  if (entry.record.data_centre != data_centre_)
    return;
  Tracked& tracked = servers_[entry.record.id];
  if (!tracked.entry.record.id.empty() &&
      Precedence(entry) <= Precedence(tracked.entry)) {
    return;
  }
  const bool is_refuted =
      is_silent &&
      entry.record.incarnation == tracked.entry.record.incarnation &&
      tracked.last_heard_version > entry.version &&
      now - tracked.last_heard < settings_.silence_timeout;
  if (is_refuted) {
    RefuteSilence(tracked, now);
    return;
  }
  Apply(tracked, entry, now - entry.age, now);
  updates_.AddRemote(entry.record.id);
}

void ServerMembership::RefuteSilence(Tracked& tracked, TimePoint now) {
  ServerEntry entry = tracked.entry;
  entry.version = tracked.last_heard_version;
  entry.record.state = tracked.announced_state;
  Apply(tracked, entry, tracked.last_heard, now);
  updates_.AddLocal(entry.record.id);
}

void ServerMembership::Merge(const RelayedAnnouncement& announcement,
                             TimePoint now) {
  const auto it = servers_.find(announcement.id);
  if (it == servers_.end())
    return;
  Tracked& tracked = it->second;
  if (tracked.entry.record.incarnation != announcement.incarnation ||
      announcement.version <= tracked.last_heard_version) {
    return;
  }
  UpdateLastHeard(tracked, announcement.version, now - announcement.age);
  tracked.entry.record.load = announcement.load;
  if (tracked.entry.record.state == BackendServerState::kSilent &&
      now - tracked.last_heard < settings_.silence_timeout) {
    RefuteSilence(tracked, now);
  }
  Publish(tracked);
}

std::vector<RelayBatch> ServerMembership::Tick(std::uint64_t hosts_epoch,
                                               TimePoint now) {
  const bool has_paused = !has_ticked_ || now - last_tick_ > kLongestTickGap;
  has_ticked_ = true;
  last_tick_ = now;
  if (watchers_epoch_ != hosts_epoch) {
    watchers_epoch_ = hosts_epoch;
    UpdateWatchers(now);
  }
  if (has_paused) {
    for (WatchGroup& it : watch_groups_)
      it.watched_since = now;
  }
  MarkSilent(now);
  ForgetSilent(now);
  if (now < next_relay_)
    return {};
  next_relay_ = now + settings_.relay_interval;
  return CollectRelays(now);
}

void ServerMembership::UpdateWatchers(TimePoint now) {
  owners_.clear();
  for (std::size_t i = 0; i < kWatchGroups; ++i) {
    WatchGroup& group = watch_groups_[i];
    group.watchers = ShardOwner::RankHostsByKey(
        data_centre_, "watch-group-" + std::to_string(i), blackboard_.hosts,
        kWatchers);
    const bool is_watched_here =
        std::ranges::find(group.watchers, self_) != group.watchers.end();
    if (is_watched_here && !group.is_watched_here)
      group.watched_since = now;
    group.is_watched_here = is_watched_here;
  }
}

const std::optional<HostId>& ServerMembership::OwnerOf(const ModelId& model) {
  const auto it = owners_.find(model);
  if (it != owners_.end())
    return it->second;
  return owners_[model] =
             ShardOwner::OwnerOf(data_centre_, model, blackboard_.hosts);
}

void ServerMembership::MarkSilent(TimePoint now) {
  for (auto& [id, tracked] : servers_) {
    const WatchGroup& group = watch_groups_[WatchGroupOf(tracked.id_hash)];
    if (!group.is_watched_here ||
        tracked.entry.record.state == BackendServerState::kSilent) {
      continue;
    }
    const TimePoint since = std::max(tracked.last_heard, group.watched_since);
    if (now - since < settings_.silence_timeout)
      continue;
    ServerEntry entry = tracked.entry;
    entry.version = std::max(entry.version, tracked.last_heard_version);
    entry.record.state = BackendServerState::kSilent;
    Apply(tracked, entry, tracked.last_heard, now);
    updates_.AddLocal(id);
  }
}

void ServerMembership::ForgetSilent(TimePoint now) {
  if (now < next_forget_)
    return;
  next_forget_ = now + kForgetInterval;
  std::erase_if(servers_, [&](const auto& item) {
    const Tracked& tracked = item.second;
    const bool expired =
        tracked.entry.record.state == BackendServerState::kSilent &&
        now - tracked.silent_since >= settings_.forget_timeout;
    if (expired)
      blackboard_.servers.Erase(item.first);
    return expired;
  });
}

std::vector<RelayBatch> ServerMembership::CollectRelays(TimePoint now) {
  std::erase_if(recent_announcements_, [&](const auto& item) {
    return now - item.second.received_at > settings_.relay_window;
  });
  std::map<HostId, std::vector<RelayedAnnouncement>> by_host;
  for (auto& [id, recent] : recent_announcements_) {
    const Tracked& tracked = servers_.at(id);
    std::vector<HostId> receivers =
        watch_groups_[WatchGroupOf(tracked.id_hash)].watchers;
    // An announcement is relayed to the watchers more than once, so that a lost
    // datagram is not mistaken for silence. The owner needs only its load, and
    // gets it once.
    const auto& owner = OwnerOf(tracked.entry.record.model);
    const bool is_for_owner =
        owner && !recent.was_relayed &&
        std::ranges::find(receivers, *owner) == receivers.end();
    if (is_for_owner)
      receivers.push_back(*owner);
    recent.was_relayed = true;
    RelayedAnnouncement announcement = recent.announcement;
    announcement.age = now - recent.received_at;
    for (const HostId& receiver : receivers) {
      if (receiver != self_)
        by_host[receiver].push_back(announcement);
    }
  }
  std::vector<RelayBatch> relays;
  relays.reserve(by_host.size());
  for (auto& [host, announcements] : by_host)
    relays.push_back({host, std::move(announcements)});
  return relays;
}

ServerEntry ServerMembership::EntryOf(const BackendServerId& id,
                                      TimePoint now) const {
  const auto it = servers_.find(id);
  if (it == servers_.end())
    return {};
  ServerEntry entry = it->second.entry;
  entry.age = std::max(Duration::zero(), now - it->second.last_heard);
  return entry;
}

std::span<const HostId> ServerMembership::WatchersOf(
    const BackendServerId& id) const {
  return watch_groups_[WatchGroupOf(HashOf(id))].watchers;
}

ServerDigest ServerMembership::Digest(std::uint64_t salt) const {
  ServerDigest digest;
  digest.salt = salt;
  for (const auto& [id, tracked] : servers_) {
    // Silent servers are left out, since hosts forget them at different times
    // and the digests would differ.
    if (tracked.entry.record.state != BackendServerState::kSilent)
      digest.groups[DigestGroupOf(tracked.id_hash)] ^=
          HashOf(tracked.entry, tracked.id_hash, salt);
  }
  return digest;
}

std::vector<BackendServerId> ServerMembership::NextDifferingServers(
    const ServerDigest& digest,
    std::size_t count) {
  const ServerDigest own = Digest(digest.salt);
  std::vector<BackendServerId> found;
  if (own == digest)
    return found;
  auto it = servers_.upper_bound(sync_position_);
  for (std::size_t n = 0; n < servers_.size() && found.size() < count; ++n) {
    if (it == servers_.end())
      it = servers_.begin();
    const std::size_t group = DigestGroupOf(it->second.id_hash);
    if (own.groups[group] != digest.groups[group])
      found.push_back(it->first);
    sync_position_ = it->first;
    ++it;
  }
  return found;
}

}  // namespace briarlead
