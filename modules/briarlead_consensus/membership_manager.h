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
/// former replica of its host, whose disk is lost.
class MembershipManager {
 public:
  /// A member is replaced only after it has not answered for this long; before
  /// that it may still be running.
  static constexpr Duration kReplaceAfterSilence = std::chrono::seconds(3);
  /// A join request expires when it isn't repeated for this long.
  static constexpr Duration kJoinRequestTtl = std::chrono::seconds(10);

  /// Where any host may join, a voter that has not answered for this long is
  /// removed even without a replacement, if enough other voters answer.
  static constexpr Duration kRemoveAfterSilence = std::chrono::seconds(12);
  /// Number of answering voters that is needed to remove a voter without a
  /// replacement.
  static constexpr std::size_t kMinAnsweringVoters = 3;
  /// A voter counts as answering if it answered within this time.
  static constexpr Duration kAnsweringWithin = std::chrono::seconds(1);

  /// Admits only replicas on `hosts`.
  explicit MembershipManager(std::vector<HostId> hosts);

  /// Admits replicas on any host. A replica on a new host that has caught up
  /// replaces a silent voter, if there is one. Voters that stay silent are
  /// removed, so that failed voters don't add up until the majority is lost.
  static MembershipManager ForAnyHost();

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

  /// A voter on a new host that this leader has promoted.
  struct Promotion {
    TimePoint at;
    /// The silent voter that it replaces, once that is known.
    std::optional<ReplicaId> replaced;
  };

  /// Returns the voter to remove where any host may join: the one that has been
  /// silent for longest. `has_replacement` tells whether a learner is ready to
  /// replace it.
  std::optional<ReplicaId> VoterToRemove(std::span<const MemberStatus> members,
                                         bool has_replacement,
                                         TimePoint now);

  /// Returns whether a voter was promoted after `silent` was last heard of. The
  /// promotion then counts as the replacement of that voter only.
  bool HasPromotedReplacement(const MemberStatus& silent);

  /// Sets the contact time of members that never answered this leader to the
  /// time of the first call that found them so, so that their silence is
  /// counted from there.
  void FillMissingContacts(std::vector<MemberStatus>& members, TimePoint now);

  /// When members that never answered this leader were first found so.
  std::map<ReplicaId, TimePoint> no_contact_since_;
  std::map<ReplicaId, Promotion> promotions_;
  bool any_host_ = false;
  std::vector<HostId> hosts_;
  /// Time of each replica's latest join request.
  std::map<ReplicaId, TimePoint> join_requests_;
};

}  // namespace briarlead::consensus

#endif  // BRIARLEAD_CONSENSUS_MEMBERSHIP_MANAGER_H_
