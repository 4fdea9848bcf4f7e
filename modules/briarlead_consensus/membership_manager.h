#ifndef BRIARLEAD_CONSENSUS_MEMBERSHIP_MANAGER_H_
#define BRIARLEAD_CONSENSUS_MEMBERSHIP_MANAGER_H_

#include <chrono>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "briarlead_consensus/consensus_types.h"
#include "briarlead_consensus/replica.h"
#include "briarlead_core/identifiers.h"
#include "briarlead_core/time.h"

namespace briarlead::consensus {

/// Decides on a leader which membership change to propose next. Replicas that
/// ask to join become learners. Once a learner has caught up, it replaces the
/// former replica of its host, whose disk is lost. What is decided depends only
/// on the members and on when they last answered this leader, so that the next
/// leader decides the same.
class MembershipManager {
 public:
  /// A voter that has not answered for this long is replaced by a learner that
  /// has caught up. If it still runs, it joins again.
  static constexpr Duration kReplaceAfterSilence = std::chrono::seconds(1);
  /// While a voter's answer is overdue for this long, or has never come, no
  /// replica of a new host is promoted: the voter either answers soon or is
  /// replaced. Promoted beside a dead voter, it would enlarge the majority.
  static constexpr Duration kAnswerOverdue = std::chrono::milliseconds(400);
  /// A join request expires when it isn't repeated for this long.
  static constexpr Duration kJoinRequestTtl = std::chrono::seconds(10);

  /// Where any host may join, a voter that has not answered for this long is
  /// removed even without a replacement, down to the minimum number of voters.
  /// The others tolerate at least as many failures without it.
  static constexpr Duration kRemoveAfterSilence = std::chrono::seconds(3);

  /// Admits only replicas on `hosts`.
  explicit MembershipManager(std::vector<HostId> hosts);

  /// Admits replicas on any host. A replica on a new host that has caught up
  /// replaces a silent voter, if there is one. Voters that stay silent are
  /// removed as long as more than `min_voters` are there, so that failed voters
  /// don't add up until the majority is lost.
  static MembershipManager ForAnyHost(std::size_t min_voters);

  /// Records a JoinRequested command of the leader.
  void OnJoinRequested(const ReplicaId& replica, TimePoint now);

  /// Returns the next change to propose to the leader `replica`; nullopt when
  /// there is none or `replica` is not the leader. Call this after each change
  /// and at least every second; a change whose proposal failed is returned
  /// again.
  std::optional<MembershipChange> NextChange(const Replica& replica,
                                             TimePoint now);

 private:
  MembershipManager() = default;

  /// Returns the voter to remove where any host may join: the one that has been
  /// silent for longest. `has_replacement` tells whether a learner is ready to
  /// replace it.
  [[nodiscard]] std::optional<ReplicaId> VoterToRemove(
      std::span<const MemberStatus> members,
      bool has_replacement,
      TimePoint now) const;

  /// Returns whether a voter may soon have to be replaced.
  [[nodiscard]] bool AnyVoterOverdue(std::span<const MemberStatus> members,
                                     TimePoint now) const;

  /// Sets the contact time of members that never answered this leader to the
  /// time of the first call that found them so, so that their silence is
  /// counted from there.
  void FillMissingContacts(std::vector<MemberStatus>& members, TimePoint now);

  /// When members that never answered this leader were first found so.
  std::map<ReplicaId, TimePoint> no_contact_since_;
  bool any_host_ = false;
  std::size_t min_voters_ = 0;
  std::vector<HostId> hosts_;
  /// Time of each replica's latest join request.
  std::map<ReplicaId, TimePoint> join_requests_;
};

}  // namespace briarlead::consensus

#endif  // BRIARLEAD_CONSENSUS_MEMBERSHIP_MANAGER_H_
