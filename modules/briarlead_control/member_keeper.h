#ifndef BRIARLEAD_CONTROL_MEMBER_KEEPER_H_
#define BRIARLEAD_CONTROL_MEMBER_KEEPER_H_

#include <map>
#include <optional>
#include <span>
#include <vector>

#include "briarlead_consensus/briarlead_consensus.h"
#include "briarlead_core/identifiers.h"

namespace briarlead {

/// Decides, on the leader, which change of the replicas comes next, so that
/// every configured control host ends as one voter under its newest identity.
/// A replica that joins is a learner first; when it has caught up, the identity
/// that its host had before is removed, and then it is promoted.
class MemberKeeper {
 public:
  /// Entries by which a learner may lag and still count as caught up.
  static constexpr consensus::LogIndex kMaxLag = 64;

  /// @param hosts configured control hosts; replicas of others are not added
  explicit MemberKeeper(std::vector<HostId> hosts);

  /// A replica asked to be added.
  void OnJoinRequested(const consensus::ReplicaId& replica);

  /// Returns the next change; nullopt when there is none to make now.
  /// @param last_index newest entry of the leader's log
  [[nodiscard]] std::optional<consensus::MembershipChange> NextChange(
      const consensus::Membership& members,
      std::span<const consensus::MemberStatus> statuses,
      consensus::LogIndex last_index) const;

 private:
  [[nodiscard]] std::optional<consensus::MembershipChange> ChangeFor(
      const consensus::ReplicaId& joining,
      const consensus::Membership& members,
      std::span<const consensus::MemberStatus> statuses,
      consensus::LogIndex last_index) const;

  std::vector<HostId> hosts_;
  /// Newest identity of each host that asked to join.
  std::map<HostId, consensus::ReplicaId> joining_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_CONTROL_MEMBER_KEEPER_H_
