#include "briarlead_consensus/snapshot_receiver.h"

#include <utility>

namespace briarlead::consensus {

std::shared_ptr<const Snapshot> SnapshotReceiver::OnChunk(
    const SnapshotChunk& chunk) {
  if (chunk.total_size > max_bytes_ || chunk.offset > chunk.total_size)
    return nullptr;
  if (chunk.index != partial_.index || chunk.snapshot_term != partial_.term) {
    partial_ = {};
    partial_.index = chunk.index;
    partial_.term = chunk.snapshot_term;
    partial_.membership = chunk.membership;
  }
  if (chunk.offset != partial_.data.size() ||
      chunk.data.size() > chunk.total_size - chunk.offset) {
    return nullptr;
  }
  partial_.data += chunk.data;
  if (partial_.data.size() < chunk.total_size)
    return nullptr;
  return std::make_shared<const Snapshot>(std::exchange(partial_, {}));
}

}  // namespace briarlead::consensus
