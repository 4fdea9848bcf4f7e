#ifndef BRIARLEAD_CONSENSUS_SNAPSHOT_RECEIVER_H_
#define BRIARLEAD_CONSENSUS_SNAPSHOT_RECEIVER_H_

#include <cstdint>
#include <memory>

#include "briarlead_consensus/consensus_types.h"
#include "briarlead_consensus/message.h"

namespace briarlead::consensus {

/// Assembles a snapshot from chunks that may be lost, duplicated or reordered.
class SnapshotReceiver {
 public:
  /// Ignores snapshots of more than `max_bytes`.
  explicit SnapshotReceiver(std::uint64_t max_bytes) : max_bytes_(max_bytes) {}

  /// Appends `chunk` if it is the next one of its snapshot; a chunk of another
  /// snapshot discards the partial one. Returns the snapshot once it is
  /// complete, otherwise null.
  std::shared_ptr<const Snapshot> OnChunk(const SnapshotChunk& chunk);

  /// Discards the partial snapshot. Must be called when the leader changes,
  /// because two leaders may encode the same state as different bytes.
  void Reset() { partial_ = {}; }

  /// Returns the offset of the first missing byte.
  [[nodiscard]] std::uint64_t next_offset() const {
    return partial_.data.size();
  }

 private:
  std::uint64_t max_bytes_;
  Snapshot partial_;
};

}  // namespace briarlead::consensus

#endif  // BRIARLEAD_CONSENSUS_SNAPSHOT_RECEIVER_H_
