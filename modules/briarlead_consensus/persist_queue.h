#ifndef BRIARLEAD_CONSENSUS_PERSIST_QUEUE_H_
#define BRIARLEAD_CONSENSUS_PERSIST_QUEUE_H_

#include <deque>
#include <memory>
#include <optional>
#include <vector>

#include "briarlead_consensus/command.h"
#include "briarlead_consensus/consensus_types.h"
#include "briarlead_consensus/log_buffer.h"

namespace briarlead::consensus {

/// Combines changes to the durable state into one Persist command at a time
/// (group commit), and holds back messages until the changes that they depend
/// on are synced.
class PersistQueue {
 public:
  /// `synced_index` is the last log index in the store at the start.
  explicit PersistQueue(LogIndex synced_index) : synced_index_(synced_index) {}

  /// Records that the term or the vote changed; `term` is the current term.
  /// Drops held messages of older terms, because the state that they report may
  /// have been overwritten since.
  void OnHardStateChanged(Term term);

  /// Records that entries from `index` on were appended.
  void OnAppended(LogIndex index);

  /// Records that entries from `from` on were removed.
  void OnTruncated(LogIndex from);

  /// Records that `snapshot` replaces the log up to its index. `log_kept` tells
  /// whether the log already contained the snapshot's last entry.
  void OnSnapshot(std::shared_ptr<const Snapshot> snapshot, bool log_kept);

  /// Returns the token whose sync covers all recorded changes; 0 when all are
  /// synced.
  [[nodiscard]] PersistToken CoveringToken() const;

  /// Holds `message` until all changes recorded so far are synced.
  void HoldUntilSynced(Message message);

  /// Returns the next Persist command if there are changes to write and the
  /// previous command is synced.
  std::optional<Persist> TakePersist(const HardState& hard_state,
                                     const LogBuffer& log);

  /// Records that the command with `token` is synced.
  void OnPersisted(PersistToken token);

  /// Returns and removes the held messages whose changes are synced.
  std::vector<Message> TakeReleasedMessages();

  /// Returns the highest index up to which the log is synced.
  [[nodiscard]] LogIndex synced_index() const { return synced_index_; }
  /// Returns the highest token that is synced.
  [[nodiscard]] PersistToken synced_token() const { return synced_token_; }

 private:
  struct HeldMessage {
    PersistToken token = 0;
    Message message;
  };

  /// Returns whether there are changes that no Persist command contains yet.
  [[nodiscard]] bool IsDirty() const;

  PersistToken issued_token_ = 0;
  PersistToken synced_token_ = 0;
  LogIndex synced_index_ = 0;
  /// Last log index that the latest Persist command covers.
  LogIndex issued_last_index_ = 0;

  bool hard_state_dirty_ = false;
  LogIndex dirty_from_ = 0;     ///< First entry to write; 0 if none.
  LogIndex truncate_from_ = 0;  ///< First entry to remove; 0 if none.
  std::shared_ptr<const Snapshot> snapshot_;
  std::deque<HeldMessage> held_messages_;
};

}  // namespace briarlead::consensus

#endif  // BRIARLEAD_CONSENSUS_PERSIST_QUEUE_H_
