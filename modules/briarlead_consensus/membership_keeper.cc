#include "briarlead_consensus/membership_keeper.h"

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
         now - *member.contact >= MembershipKeeper::kReplacedOnlyAfterSilence;
}

}  // namespace

MembershipKeeper::MembershipKeeper(std::vector<HostId> hosts)
    : hosts_(std::move(hosts)) {}

void MembershipKeeper::OnJoinRequested(const ReplicaId& replica,
                                       TimePoint now) {
  if (std::find(hosts_.begin(), hosts_.end(), replica.host) != hosts_.end())
    joining_[replica] = now;
}

std::optional<MembershipChange> MembershipKeeper::NextChange(
    const Replica& replica,
    TimePoint now) {
  std::erase_if(joining_, [&](const auto& it) {
    return now - it.second >= kJoinRequestLife ||
           replica.members().Contains(it.first);
  });
  const std::vector<MemberStatus> members = replica.MemberStatuses();
  for (const MemberStatus& it : members) {
    if (it.voter || it.synced_index < replica.commit_index())
      continue;
    const MemberStatus* former = FormerReplica(members, it.replica);
    if (former == nullptr)
      return MembershipChange{Kind::kPromote, it.replica};
    if (IsSilent(*former, now))
      return MembershipChange{Kind::kRemove, former->replica};
  }
  if (members.empty())
    return std::nullopt;
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
