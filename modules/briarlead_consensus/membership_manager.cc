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

/// Returns whether the member has not answered for `silence`.
bool IsSilent(const MemberStatus& member, Duration silence, TimePoint now) {
  return !member.contact || now - *member.contact >= silence;
}

}  // namespace

MembershipManager::MembershipManager(std::vector<HostId> hosts)
    : hosts_(std::move(hosts)) {}

MembershipManager MembershipManager::ForAnyHost(std::size_t min_voters) {
  MembershipManager manager;
  manager.any_host_ = true;
  manager.min_voters_ = min_voters;
  return manager;
}

std::optional<ReplicaId> MembershipManager::VoterToRemove(
    std::span<const MemberStatus> members,
    bool has_replacement,
    TimePoint now) const {
  const Duration silence =
      has_replacement ? kReplaceAfterSilence : kRemoveAfterSilence;
  const MemberStatus* longest_silent = nullptr;
  std::size_t voters = 0;
  for (const MemberStatus& it : members) {
    if (!it.voter)
      continue;
    ++voters;
    if (IsSilent(it, silence, now) &&
        (longest_silent == nullptr || it.contact < longest_silent->contact))
      longest_silent = &it;
  }
  if (longest_silent == nullptr || (!has_replacement && voters <= min_voters_))
    return std::nullopt;
  return longest_silent->replica;
}

bool MembershipManager::AnyVoterOverdue(std::span<const MemberStatus> members,
                                        TimePoint now) const {
  return std::any_of(
      members.begin(), members.end(), [&](const MemberStatus& it) {
        return it.voter && (no_contact_since_.contains(it.replica) ||
                            IsSilent(it, kAnswerOverdue, now));
      });
}

void MembershipManager::FillMissingContacts(std::vector<MemberStatus>& members,
                                            TimePoint now) {
  std::map<ReplicaId, TimePoint> no_contact_since;
  for (MemberStatus& it : members) {
    if (it.contact)
      continue;
    const auto found = no_contact_since_.find(it.replica);
    it.contact = found == no_contact_since_.end() ? now : found->second;
    no_contact_since[it.replica] = *it.contact;
  }
  no_contact_since_ = std::move(no_contact_since);
}

void MembershipManager::OnJoinRequested(const ReplicaId& replica,
                                        TimePoint now) {
  if (any_host_ ||
      std::find(hosts_.begin(), hosts_.end(), replica.host) != hosts_.end()) {
    join_requests_[replica] = now;
  }
}

std::optional<MembershipChange> MembershipManager::NextChange(
    const Replica& replica,
    TimePoint now) {
  std::erase_if(join_requests_, [&](const auto& it) {
    return now - it.second >= kJoinRequestTtl ||
           replica.members().Contains(it.first);
  });
  std::vector<MemberStatus> members = replica.MemberStatuses();
  FillMissingContacts(members, now);
  for (const MemberStatus& it : members) {
    const bool caught_up = it.synced_index >= replica.commit_index() &&
                           !IsSilent(it, kAnswerOverdue, now);
    if (it.voter || !caught_up)
      continue;
    const MemberStatus* former = FormerReplica(members, it.replica);
    if (former == nullptr) {
      const std::optional<ReplicaId> voter_to_remove =
          any_host_ ? VoterToRemove(members, true, now) : std::nullopt;
      if (voter_to_remove.has_value())
        return MembershipChange{Kind::kRemove, *voter_to_remove};
      if (any_host_ && AnyVoterOverdue(members, now))
        continue;
      return MembershipChange{Kind::kPromote, it.replica};
    }
    if (IsSilent(*former, kReplaceAfterSilence, now))
      return MembershipChange{Kind::kRemove, former->replica};
  }
  if (members.empty())
    return std::nullopt;
  if (any_host_) {
    const std::optional<ReplicaId> voter_to_remove =
        VoterToRemove(members, false, now);
    if (voter_to_remove.has_value())
      return MembershipChange{Kind::kRemove, *voter_to_remove};
  }
  for (const auto& [id, requested_at] : join_requests_) {
    const MemberStatus* former = FormerReplica(members, id);
    if (former == nullptr ||
        (former->voter && IsSilent(*former, kReplaceAfterSilence, now)))
      return MembershipChange{Kind::kAddLearner, id};
    if (!former->voter && IsSilent(*former, kReplaceAfterSilence, now))
      return MembershipChange{Kind::kRemove, former->replica};
  }
  return std::nullopt;
}

}  // namespace briarlead::consensus
