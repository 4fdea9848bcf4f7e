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

/// Gathers what has to be written into one Persist at a time (group commit),
/// and holds back the messages that promise what isn't synced yet.
class PersistQueue {
 public:
  /// `synced_index` is the last index that the store had at the start.
  explicit PersistQueue(LogIndex synced_index) : synced_index_(synced_index) {}

  /// Notes that term or vote changed. Answers given in an older term are
  /// dropped: what they promised may since have been overwritten.
  void OnHardStateChanged(Term term);

  /// Notes new entries from `index` on.
  void OnAppended(LogIndex index);

  /// Notes that entries from `from` on were removed.
  void OnTruncated(LogIndex from);

  /// Notes that `snapshot` replaces the log up to its index. With `log_kept`
  /// the replica had all of it already.
  void OnSnapshot(std::shared_ptr<const Snapshot> snapshot, bool log_kept);

  /// Returns the token whose sync covers everything noted so far; 0 when all
  /// is synced.
  [[nodiscard]] PersistToken CoveringToken() const;

  /// Holds `message` until everything noted so far is synced.
  void HoldUntilSynced(Message message);

  /// Returns the next Persist if something is to be written and none is under
  /// way.
  std::optional<Persist> TakePersist(const HardState& hard_state,
                                     const LogBuffer& log);

  /// Notes that `token` is synced.
  void OnPersisted(PersistToken token);

  /// Returns the messages whose condition is fulfilled.
  std::vector<Message> TakeReleased();

  /// Returns the highest index up to which the log is synced.
  [[nodiscard]] LogIndex synced_index() const { return synced_index_; }
  /// Returns the highest token that is synced.
  [[nodiscard]] PersistToken synced_token() const { return synced_token_; }

 private:
  struct HeldMessage {
    PersistToken token = 0;
    Message message;
  };

  [[nodiscard]] bool Dirty() const;

  PersistToken issued_token_ = 0;
  PersistToken synced_token_ = 0;
  LogIndex synced_index_ = 0;
  LogIndex issued_last_index_ = 0;  ///< Last index of the Persist under way.

  bool hard_state_dirty_ = false;
  LogIndex dirty_from_ = 0;     ///< First entry to write; 0 when none.
  LogIndex truncate_from_ = 0;  ///< First entry to remove; 0 when none.
  std::shared_ptr<const Snapshot> snapshot_;
  std::deque<HeldMessage> held_;
};

}  // namespace briarlead::consensus

#endif  // BRIARLEAD_CONSENSUS_PERSIST_QUEUE_H_
