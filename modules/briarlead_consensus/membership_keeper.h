#ifndef BRIARLEAD_CONSENSUS_MEMBERSHIP_KEEPER_H_
#define BRIARLEAD_CONSENSUS_MEMBERSHIP_KEEPER_H_

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
class MembershipKeeper {
 public:
  /// A host's former replica that answered within this time is still running
  /// and is not replaced.
  static constexpr Duration kReplacedOnlyAfterSilence = std::chrono::seconds(3);
  /// A join request is forgotten when it isn't repeated for this long.
  static constexpr Duration kJoinRequestLife = std::chrono::seconds(10);

  /// Admits only replicas on `hosts`.
  explicit MembershipKeeper(std::vector<HostId> hosts);

  /// Notes a Replica's JoinRequested.
  void OnJoinRequested(const ReplicaId& replica, TimePoint now);

  /// Returns the next change to propose to the leader `replica`; nullopt when
  /// there is none or it doesn't lead. Ask again after each change and at least
  /// every second; a proposal that fails is returned again.
  std::optional<MembershipChange> NextChange(const Replica& replica,
                                             TimePoint now);

 private:
  std::vector<HostId> hosts_;
  std::map<ReplicaId, TimePoint> joining_;  ///< When each asked last.
};

}  // namespace briarlead::consensus

#endif  // BRIARLEAD_CONSENSUS_MEMBERSHIP_KEEPER_H_
