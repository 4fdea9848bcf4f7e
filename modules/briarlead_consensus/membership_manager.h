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

/// Decides the next change of members on a leader: replicas that ask to join
/// become learners, and once caught up take the place of their host's former
/// replica, whose disk is lost.
class MembershipManager {
 public:
  /// A host's former replica that answered within this time is still running
  /// and is not replaced.
  static constexpr Duration kReplacedOnlyAfterSilence = std::chrono::seconds(3);
  /// A join request is forgotten when it isn't repeated for this long.
  static constexpr Duration kJoinRequestLife = std::chrono::seconds(10);

  /// A voter that is silent for this long is dropped where any host may join
  /// and enough others answer.
  static constexpr Duration kDroppedAfterSilence = std::chrono::seconds(12);
  /// Voters that answer without which none is dropped.
  static constexpr std::size_t kLeastVoters = 3;
  /// A voter that answered within this time counts as answering.
  static constexpr Duration kAnswersWithin = std::chrono::seconds(1);

  /// Admits only replicas on `hosts`.
  explicit MembershipManager(std::vector<HostId> hosts);

  /// Admits replicas on any host. A replica on a new host that has caught up
  /// takes the place of a silent voter, if there is one; voters that stay
  /// silent are dropped, so that the majority doesn't rot.
  static MembershipManager ForAnyHost();

  /// Notes a Replica's JoinRequested.
  void OnJoinRequested(const ReplicaId& replica, TimePoint now);

  /// Returns the next change to propose to the leader `replica`; nullopt when
  /// there is none or it doesn't lead. Ask again after each change and at least
  /// every second; a proposal that fails is returned again.
  std::optional<MembershipChange> NextChange(const Replica& replica,
                                             TimePoint now);

 private:
  MembershipManager() = default;

  /// Returns the silent voter to remove where any host may join.
  static std::optional<ReplicaId> VoterToDrop(
      std::span<const MemberStatus> members,
      bool has_successor,
      TimePoint now);

  /// Counts the silence of members that this leader hasn't heard yet from the
  /// time at which it was first asked about them.
  void FillContacts(std::vector<MemberStatus>& members, TimePoint now);

  std::map<ReplicaId, TimePoint> unheard_since_;
  bool any_host_ = false;
  std::vector<HostId> hosts_;
  std::map<ReplicaId, TimePoint> joining_;  ///< When each asked last.
};

}  // namespace briarlead::consensus

#endif  // BRIARLEAD_CONSENSUS_MEMBERSHIP_MANAGER_H_
