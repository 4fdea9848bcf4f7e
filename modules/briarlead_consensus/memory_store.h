#ifndef BRIARLEAD_CONSENSUS_MEMORY_STORE_H_
#define BRIARLEAD_CONSENSUS_MEMORY_STORE_H_

#include <optional>

#include "briarlead_consensus/command.h"
#include "briarlead_consensus/consensus_types.h"

namespace briarlead::consensus {

/// Keeps what a FileStore would; what isn't synced may be lost.
class MemoryStore {
 public:
  MemoryStore(Identity identity, const Membership& first_members);

  [[nodiscard]] const RecoveredState& durable() const { return durable_; }
  void Begin(Persist persist) { unsynced_ = std::move(persist); }
  /// Makes the write under way durable.
  void Sync();
  void LoseUnsynced() { unsynced_.reset(); }
  /// Returns whether the entry is durable here, or was when it was compacted.
  [[nodiscard]] bool Holds(LogIndex index, Term term) const;

 private:
  RecoveredState durable_;
  std::optional<Persist> unsynced_;
};

}  // namespace briarlead::consensus

#endif  // BRIARLEAD_CONSENSUS_MEMORY_STORE_H_
