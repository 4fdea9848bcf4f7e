#include "briarlead_control/member_keeper.h"

#include <algorithm>
#include <utility>

namespace briarlead {

namespace {

using consensus::Membership;
using consensus::MembershipChange;
using consensus::MemberStatus;
using consensus::ReplicaId;

/// Returns another identity of the host of `replica` among `ids`.
std::optional<ReplicaId> EarlierIdentity(std::span<const ReplicaId> ids,
                                         const ReplicaId& replica) {
  for (const ReplicaId& it : ids) {
    if (it.host == replica.host && it != replica)
      return it;
  }
  return std::nullopt;
}

bool HasCaughtUp(std::span<const MemberStatus> statuses,
                 const ReplicaId& replica,
                 consensus::LogIndex last_index) {
  for (const MemberStatus& it : statuses) {
    if (it.replica == replica)
      return it.synced_index + MemberKeeper::kMaxLag >= last_index;
  }
  return false;
}

}  // namespace

MemberKeeper::MemberKeeper(std::vector<HostId> hosts)
    : hosts_(std::move(hosts)) {}

void MemberKeeper::OnJoinRequested(const ReplicaId& replica) {
  if (std::find(hosts_.begin(), hosts_.end(), replica.host) != hosts_.end())
    joining_[replica.host] = replica;
}

std::optional<MembershipChange> MemberKeeper::NextChange(
    const Membership& members,
    std::span<const MemberStatus> statuses,
    consensus::LogIndex last_index) const {
  // A learner found here joined under an earlier leader, which this one may
  // not have heard of.
  for (const ReplicaId& it : members.learners) {
    if (joining_.contains(it.host))
      continue;
    auto change = ChangeFor(it, members, statuses, last_index);
    if (change.has_value())
      return change;
  }
  for (const auto& [host, replica] : joining_) {
    auto change = ChangeFor(replica, members, statuses, last_index);
    if (change.has_value())
      return change;
  }
  return std::nullopt;
}

std::optional<MembershipChange> MemberKeeper::ChangeFor(
    const ReplicaId& joining,
    const Membership& members,
    std::span<const MemberStatus> statuses,
    consensus::LogIndex last_index) const {
  using Kind = MembershipChange::Kind;
  if (members.IsVoter(joining))
    return std::nullopt;
  const auto old_learner = EarlierIdentity(members.learners, joining);
  if (old_learner.has_value())
    return MembershipChange{Kind::kRemove, *old_learner};
  if (!members.IsLearner(joining))
    return MembershipChange{Kind::kAddLearner, joining};
  if (!HasCaughtUp(statuses, joining, last_index))
    return std::nullopt;
  const auto old_voter = EarlierIdentity(members.voters, joining);
  if (old_voter.has_value())
    return MembershipChange{Kind::kRemove, *old_voter};
  return MembershipChange{Kind::kPromote, joining};
}

}  // namespace briarlead
