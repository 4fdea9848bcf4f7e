#include "briarlead_consensus/leader_state.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace briarlead::consensus {

namespace {

/// Returns the greatest value that a majority of `values` equals or exceeds.
template <typename T>
T HighestReachedByMajority(std::vector<T> values) {
  std::sort(values.begin(), values.end(), std::greater<>());
  return values[values.size() / 2];
}

}  // namespace

LeaderState::LeaderState(ReplicaId self,
                         TimePoint now,
                         LogIndex term_start_index)
    : next_heartbeat(now),
      self_(std::move(self)),
      started_(now),
      term_start_index_(term_start_index) {}

void LeaderState::SetMembership(const Membership& membership,
                                LogIndex last_index) {
  voters_ = membership.voters;
  std::erase_if(peers_,
                [&](const auto& it) { return !membership.Contains(it.first); });
  const auto add = [&](const ReplicaId& id) {
    if (id != self_)
      peers_.try_emplace(id, last_index + 1);
  };
  std::for_each(membership.voters.begin(), membership.voters.end(), add);
  std::for_each(membership.learners.begin(), membership.learners.end(), add);
}

PeerProgress* LeaderState::Find(const ReplicaId& id) {
  const auto it = peers_.find(id);
  return it == peers_.end() ? nullptr : &it->second;
}

const PeerProgress* LeaderState::Find(const ReplicaId& id) const {
  const auto it = peers_.find(id);
  return it == peers_.end() ? nullptr : &it->second;
}

LogIndex LeaderState::MajorityIndex(LogIndex own_synced) const {
  std::vector<LogIndex> indexes;
  for (const ReplicaId& it : voters_)
    indexes.push_back(it == self_ ? own_synced : Find(it)->match());
  return indexes.empty() ? 0 : HighestReachedByMajority(std::move(indexes));
}

std::optional<TimePoint> LeaderState::MajorityContact(TimePoint now) const {
  std::vector<std::optional<TimePoint>> contacts;
  for (const ReplicaId& it : voters_)
    contacts.push_back(it == self_ ? now : Find(it)->contact());
  if (contacts.empty())
    return std::nullopt;
  return HighestReachedByMajority(std::move(contacts));
}

TimePoint LeaderState::MajorityContactOrStart(TimePoint now) const {
  return std::max(started_, MajorityContact(now).value_or(started_));
}

}  // namespace briarlead::consensus
