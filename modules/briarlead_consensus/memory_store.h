#ifndef BRIARLEAD_CONSENSUS_MEMORY_STORE_H_
#define BRIARLEAD_CONSENSUS_MEMORY_STORE_H_

#include <optional>

#include "briarlead_consensus/command.h"
#include "briarlead_consensus/consensus_types.h"

namespace briarlead::consensus {

/// Test replacement for FileStore that keeps its state in memory. A write that
/// isn't synced can be discarded.
class MemoryStore {
 public:
  MemoryStore(Identity identity, const Membership& initial_members);

  [[nodiscard]] const RecoveredState& durable() const { return durable_; }
  /// Starts a write, which becomes durable with Sync().
  void BeginWrite(Persist persist) { unsynced_ = std::move(persist); }
  /// Makes the started write durable.
  void Sync();
  void DiscardUnsynced() { unsynced_.reset(); }
  /// Returns whether the entry is durable in this store. Every entry that a
  /// snapshot covers counts as durable.
  [[nodiscard]] bool IsDurable(LogIndex index, Term term) const;

 private:
  RecoveredState durable_;
  std::optional<Persist> unsynced_;
};

}  // namespace briarlead::consensus

#endif  // BRIARLEAD_CONSENSUS_MEMORY_STORE_H_
