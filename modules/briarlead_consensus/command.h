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

/// Sequence number of a replica's Persist command; increases by one each time.
using PersistToken = std::uint64_t;
/// Identifies one read barrier of a replica.
using ReadToken = std::uint64_t;

/// Asks the caller to send `message` to the host of `message.to`. The message
/// may be lost.
struct SendMessage {
  Message message;
};

/// Asks the caller to write and sync this state, then to call
/// Replica::OnPersisted() with `token`. Persist commands must be written in the
/// order of their tokens. When one fails, the process must end.
struct Persist {
  PersistToken token = 0;
  HardState hard_state;
  /// When not 0, entries from this index on are removed before `entries` are
  /// appended.
  LogIndex truncate_from = 0;
  std::vector<LogEntry> entries;
  /// When set, this snapshot replaces the stored snapshot and log, and
  /// `entries` holds every log entry after it.
  std::shared_ptr<const Snapshot> snapshot;
};

/// Asks the caller to apply a committed entry to the state machine. Entries
/// come in log order and each index comes once, including the kinds without a
/// payload.
struct Apply {
  LogIndex index = 0;
  Term term = 0;
  EntryKind kind = EntryKind::kNoOp;
  std::string payload;
};

/// Asks the caller to replace the state machine's state. A replica that
/// recovered a snapshot also issues this command when it starts.
struct InstallSnapshot {
  std::shared_ptr<const Snapshot> snapshot;
};

/// Reports that the role, the term or the known leader changed.
struct RoleChanged {
  Role role = Role::kFollower;
  Term term = 0;
  ReplicaId leader;  ///< Empty while no leader is known.
};

/// Reports the outcome of a read barrier. With `confirmed`, the applied state
/// includes every entry that was committed when the barrier was requested.
/// Otherwise the caller must request another barrier.
struct ReadBarrierDone {
  ReadToken token = 0;
  bool confirmed = false;
};

/// Reports that a replica that is not a member asked this leader to add it.
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
