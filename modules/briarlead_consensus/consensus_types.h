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

/// Number of a leadership; grows with each election.
using Term = std::uint64_t;
/// Position in the replicated log; the first entry has index 1.
using LogIndex = std::uint64_t;
/// Names one replicated log, so that hosts of two clusters can't mix.
using ClusterId = Identifier<struct ClusterTag>;

/// One replica: its host and a random number that is drawn when its data folder
/// is made. A host that lost its disk comes back with another incarnation and
/// so is another replica.
struct ReplicaId {
  HostId host;
  std::uint64_t incarnation = 0;

  /// Returns true for the default-made id, which names no replica.
  [[nodiscard]] bool empty() const { return host.empty(); }

  friend auto operator<=>(const ReplicaId&, const ReplicaId&) = default;
};

/// Returns "host/incarnation", the form used in logs.
inline std::string ToString(const ReplicaId& id) {
  return id.host.value() + "/" + std::to_string(id.incarnation);
}

/// What a replica is, and of which cluster.
struct Identity {
  ClusterId cluster;
  ReplicaId replica;

  friend bool operator==(const Identity&, const Identity&) = default;
};

/// The replicas of a cluster. Learners receive the log but don't count towards
/// a majority.
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

/// What a log entry carries.
enum class EntryKind : std::uint8_t {
  kNoOp,        ///< Nothing; a leader's first entry of its term.
  kCommand,     ///< A payload for the state machine.
  kMembership,  ///< The members from this entry on.
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

/// What a replica must never forget besides its log.
struct HardState {
  Term term = 0;
  ReplicaId voted_for;  ///< Empty while no vote was given in `term`.

  friend bool operator==(const HardState&, const HardState&) = default;
};

/// The state machine's state after every entry up to `index`.
struct Snapshot {
  LogIndex index = 0;
  Term term = 0;
  Membership membership;
  std::string data;

  friend bool operator==(const Snapshot&, const Snapshot&) = default;
};

/// What a store found at its opening; a replica starts from it.
struct RecoveredState {
  Identity identity;
  HardState hard_state;
  std::shared_ptr<const Snapshot> snapshot;  ///< Null when there is none.
  std::vector<LogEntry> entries;             ///< Entries after the snapshot.
};

/// What a replica does at present.
enum class Role {
  kFollower,
  kPreCandidate,  ///< Asks whether an election could be won.
  kCandidate,
  kLeader,
};

}  // namespace briarlead::consensus

#endif  // BRIARLEAD_CONSENSUS_CONSENSUS_TYPES_H_
