#ifndef BRIARLEAD_CONSENSUS_SNAPSHOT_RECEIVER_H_
#define BRIARLEAD_CONSENSUS_SNAPSHOT_RECEIVER_H_

#include <cstdint>
#include <memory>

#include "briarlead_consensus/consensus_types.h"
#include "briarlead_consensus/message.h"

namespace briarlead::consensus {

/// Puts a snapshot together from chunks that may be lost, doubled or late.
class SnapshotReceiver {
 public:
  /// Refuses snapshots of more than `max_bytes`.
  explicit SnapshotReceiver(std::uint64_t max_bytes) : max_bytes_(max_bytes) {}

  /// Takes a chunk if it is the next one of its snapshot.
  /// Returns the snapshot when it is complete, else null.
  std::shared_ptr<const Snapshot> OnChunk(const SnapshotChunk& chunk);

  /// Forgets a snapshot that isn't complete. Needed when the leader changes:
  /// two leaders may encode the same state as different bytes.
  void Reset() { partial_ = {}; }

  /// Returns the first byte that is missing.
  [[nodiscard]] std::uint64_t next_offset() const {
    return partial_.data.size();
  }

 private:
  std::uint64_t max_bytes_;
  Snapshot partial_;
};

}  // namespace briarlead::consensus

#endif  // BRIARLEAD_CONSENSUS_SNAPSHOT_RECEIVER_H_
