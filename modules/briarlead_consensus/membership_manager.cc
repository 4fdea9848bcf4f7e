#include "briarlead_consensus/membership_manager.h"

#include <algorithm>
#include <utility>

namespace briarlead::consensus {

namespace {

using Kind = MembershipChange::Kind;

/// Returns the other member on the host of `id`; null when there is none.
const MemberStatus* FormerReplica(std::span<const MemberStatus> members,
                                  const ReplicaId& id) {
  const auto it = std::find_if(
      members.begin(), members.end(), [&](const MemberStatus& member) {
        return member.replica.host == id.host && member.replica != id;
      });
  return it == members.end() ? nullptr : &*it;
}

bool IsSilent(const MemberStatus& member, TimePoint now) {
  return !member.contact ||
         now - *member.contact >= MembershipManager::kReplacedOnlyAfterSilence;
}

}  // namespace

MembershipManager::MembershipManager(std::vector<HostId> hosts)
    : hosts_(std::move(hosts)) {}

MembershipManager MembershipManager::ForAnyHost() {
  MembershipManager keeper;
  keeper.any_host_ = true;
  return keeper;
}

std::optional<ReplicaId> MembershipManager::VoterToDrop(
    std::span<const MemberStatus> members,
    bool has_successor,
    TimePoint now) {
  const MemberStatus* quietest = nullptr;
  std::size_t answering = 0;
  for (const MemberStatus& it : members) {
    if (!it.voter)
      continue;
    if (it.contact && now - *it.contact < kAnswersWithin)
      ++answering;
    else if (IsSilent(it, now) &&
             (quietest == nullptr || it.contact < quietest->contact))
      quietest = &it;
  }
  if (quietest == nullptr)
    return std::nullopt;
  if (has_successor)
    return quietest->replica;
  const bool stays_silent =
      quietest->contact && now - *quietest->contact >= kDroppedAfterSilence;
  const std::size_t voters = static_cast<std::size_t>(
      std::count_if(members.begin(), members.end(),
                    [](const MemberStatus& it) { return it.voter; }));
  // An even number of voters bears no more losses than one fewer.
  if (stays_silent && answering >= kLeastVoters && voters > kLeastVoters + 1)
    return quietest->replica;
  return std::nullopt;
}

void MembershipManager::FillContacts(std::vector<MemberStatus>& members,
                                     TimePoint now) {
  std::map<ReplicaId, TimePoint> unheard;
  for (MemberStatus& it : members) {
    if (it.contact)
      continue;
    const auto found = unheard_since_.find(it.replica);
    it.contact = found == unheard_since_.end() ? now : found->second;
    unheard[it.replica] = *it.contact;
  }
  unheard_since_ = std::move(unheard);
}

void MembershipManager::OnJoinRequested(const ReplicaId& replica,
                                        TimePoint now) {
  if (any_host_ ||
      std::find(hosts_.begin(), hosts_.end(), replica.host) != hosts_.end()) {
    joining_[replica] = now;
  }
}

std::optional<MembershipChange> MembershipManager::NextChange(
    const Replica& replica,
    TimePoint now) {
  std::erase_if(joining_, [&](const auto& it) {
    return now - it.second >= kJoinRequestLife ||
           replica.members().Contains(it.first);
  });
  std::vector<MemberStatus> members = replica.MemberStatuses();
  FillContacts(members, now);
  for (const MemberStatus& it : members) {
    if (it.voter || it.synced_index < replica.commit_index())
      continue;
    const MemberStatus* former = FormerReplica(members, it.replica);
    if (former == nullptr) {
      const std::optional<ReplicaId> dropped =
          any_host_ ? VoterToDrop(members, true, now) : std::nullopt;
      if (dropped.has_value())
        return MembershipChange{Kind::kRemove, *dropped};
      return MembershipChange{Kind::kPromote, it.replica};
    }
    if (IsSilent(*former, now))
      return MembershipChange{Kind::kRemove, former->replica};
  }
  if (members.empty())
    return std::nullopt;
  if (any_host_) {
    const std::optional<ReplicaId> dropped = VoterToDrop(members, false, now);
    if (dropped.has_value())
      return MembershipChange{Kind::kRemove, *dropped};
  }
  for (const auto& [id, asked_at] : joining_) {
    const MemberStatus* former = FormerReplica(members, id);
    if (former == nullptr || (former->voter && IsSilent(*former, now)))
      return MembershipChange{Kind::kAddLearner, id};
    if (!former->voter && IsSilent(*former, now))
      return MembershipChange{Kind::kRemove, former->replica};
  }
  return std::nullopt;
}

}  // namespace briarlead::consensus
