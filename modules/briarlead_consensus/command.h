#ifndef BRIARLEAD_CONSENSUS_COMMAND_H_
#define BRIARLEAD_CONSENSUS_COMMAND_H_

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "briarlead_consensus/consensus_types.h"
#include "briarlead_consensus/message.h"

namespace briarlead::consensus {

/// Numbers the Persist commands of a replica; grows by one.
using PersistToken = std::uint64_t;
/// Names one read barrier of a replica.
using ReadToken = std::uint64_t;

/// Send `message` to the host of `message.to`. May be lost.
struct SendMessage {
  Message message;
};

/// Write and sync, then call Replica::OnPersisted() with `token`. Persists are
/// written in the order of their tokens; a failed one ends the process.
struct Persist {
  PersistToken token = 0;
  HardState hard_state;
  /// When above 0: entries from here on are removed before `entries`.
  LogIndex truncate_from = 0;
  std::vector<LogEntry> entries;
  /// When set, the store keeps nothing but this snapshot, `hard_state` and
  /// `entries`, which then hold all that remains of the log.
  std::shared_ptr<const Snapshot> snapshot;
};

/// A committed entry for the state machine, in the order of the log. Every
/// index is given once, also of kinds without a payload.
struct Apply {
  LogIndex index = 0;
  Term term = 0;
  EntryKind kind = EntryKind::kNoOp;
  std::string payload;
};

/// Replace the state machine's state. Comes also at the start.
struct InstallSnapshot {
  std::shared_ptr<const Snapshot> snapshot;
};

/// Role, term or known leader changed.
struct RoleChanged {
  Role role = Role::kFollower;
  Term term = 0;
  ReplicaId leader;  ///< Empty while unknown.
};

/// Outcome of a read barrier: with `confirmed`, what is applied now is at least
/// as new as when the barrier was asked for; else ask again.
struct ReadBarrierDone {
  ReadToken token = 0;
  bool confirmed = false;
};

/// A replica that is no member asked this leader to be added.
struct JoinRequested {
  ReplicaId replica;
};

using Command = std::variant<SendMessage,
                             Persist,
                             Apply,
                             InstallSnapshot,
                             RoleChanged,
                             ReadBarrierDone,
                             JoinRequested>;

}  // namespace briarlead::consensus

#endif  // BRIARLEAD_CONSENSUS_COMMAND_H_
