#ifndef BRIARLEAD_CONSENSUS_CONSENSUS_TYPES_H_
#define BRIARLEAD_CONSENSUS_CONSENSUS_TYPES_H_

#include <algorithm>
#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "briarlead_core/identifiers.h"

namespace briarlead::consensus {

/// Election term; increases with each election and has at most one leader.
using Term = std::uint64_t;
/// Position in the replicated log; the first entry has index 1.
using LogIndex = std::uint64_t;
/// Identifies one replicated log. Replicas drop messages of other clusters.
using ClusterId = Identifier<struct ClusterTag>;

/// Identifies a replica by its host and a random incarnation number that is
/// drawn when its data folder is created. A host that lost its disk comes back
/// with another incarnation and is therefore a different replica.
struct ReplicaId {
  HostId host;
  std::uint64_t incarnation = 0;

  /// Returns whether this is the default-constructed id, which identifies no
  /// replica.
  [[nodiscard]] bool empty() const { return host.empty(); }

  friend auto operator<=>(const ReplicaId&, const ReplicaId&) = default;
};

/// Returns "host/incarnation", the form used in log lines.
inline std::string ToString(const ReplicaId& id) {
  return id.host.value() + "/" + std::to_string(id.incarnation);
}

/// Identifies a replica and the cluster to which it belongs.
struct Identity {
  ClusterId cluster;
  ReplicaId replica;

  friend bool operator==(const Identity&, const Identity&) = default;
};

/// The member replicas of a cluster. Learners receive the log but don't vote
/// and don't count towards a majority.
struct Membership {
  std::vector<ReplicaId> voters;
  std::vector<ReplicaId> learners;

  [[nodiscard]] bool IsVoter(const ReplicaId& id) const {
    return std::find(voters.begin(), voters.end(), id) != voters.end();
  }
  [[nodiscard]] bool IsLearner(const ReplicaId& id) const {
    return std::find(learners.begin(), learners.end(), id) != learners.end();
  }
  [[nodiscard]] bool Contains(const ReplicaId& id) const {
    return IsVoter(id) || IsLearner(id);
  }

  friend bool operator==(const Membership&, const Membership&) = default;
};

/// The content type of a log entry.
enum class EntryKind : std::uint8_t {
  kNoOp,        ///< No content; the first entry that a new leader appends.
  kCommand,     ///< A payload for the state machine.
  kMembership,  ///< The membership in effect from this entry on.
};

/// One entry of the replicated log.
struct LogEntry {
  LogIndex index = 0;
  Term term = 0;
  EntryKind kind = EntryKind::kNoOp;
  std::string payload;    ///< Set for kCommand.
  Membership membership;  ///< Set for kMembership.

  friend bool operator==(const LogEntry&, const LogEntry&) = default;
};

/// What a replica must never lose besides its log: its current term and vote.
struct HardState {
  Term term = 0;
  ReplicaId voted_for;  ///< Empty until this replica votes in `term`.

  friend bool operator==(const HardState&, const HardState&) = default;
};

/// The state machine's state after applying all entries up to and including
/// `index`, whose term is `term`.
struct Snapshot {
  LogIndex index = 0;
  Term term = 0;
  Membership membership;
  std::string data;

  friend bool operator==(const Snapshot&, const Snapshot&) = default;
};

/// The durable state that a store read when it was opened; a replica starts
/// from it.
struct RecoveredState {
  Identity identity;
  HardState hard_state;
  std::shared_ptr<const Snapshot> snapshot;  ///< Null when there is none.
  std::vector<LogEntry> entries;             ///< Entries after the snapshot.
};

/// The current Raft role of a replica.
enum class Role {
  kFollower,
  kPreCandidate,  ///< Asks the voters whether it could win an election.
  kCandidate,
  kLeader,
};

}  // namespace briarlead::consensus

#endif  // BRIARLEAD_CONSENSUS_CONSENSUS_TYPES_H_
