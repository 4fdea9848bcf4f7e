#ifndef BRIARLEAD_CONSENSUS_BATCH_FORMAT_H_
#define BRIARLEAD_CONSENSUS_BATCH_FORMAT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "briarlead_core/error.h"

namespace briarlead::consensus {

/// Bytes before the payload of each batch in a file: magic, payload length,
/// sequence, CRC-32C of the payload, CRC-32C of the header.
inline constexpr std::size_t kBatchHeaderBytes = 24;

/// Unit in which a disk writes: whole or not at all.
inline constexpr std::size_t kSectorBytes = 512;

/// Returns the bytes of one batch, ready to be written.
std::string FrameBatch(std::uint64_t sequence, std::string_view payload);

/// The readable part of a file of batches.
struct BatchScan {
  std::vector<std::string_view> payloads;
  std::size_t valid_bytes = 0;  ///< Less than the file when a tail is torn.
};

/// Reads batches with sequences `first_sequence` and on. What can't be read at
/// the end is a torn tail, if `may_be_torn` and if it can be what a write that
/// was never synced leaves behind: it ends early, or whole sectors are zero,
/// and no later batch follows, as each write waits for the sync of the one
/// before. Anything else was damaged after its sync. Error: kCorrupt.
Result<BatchScan> ScanBatches(std::string_view bytes,
                              std::uint64_t first_sequence,
                              bool may_be_torn);

}  // namespace briarlead::consensus

#endif  // BRIARLEAD_CONSENSUS_BATCH_FORMAT_H_
