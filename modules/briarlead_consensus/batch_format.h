#ifndef BRIARLEAD_CONSENSUS_BATCH_FORMAT_H_
#define BRIARLEAD_CONSENSUS_BATCH_FORMAT_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "briarlead_core/error.h"

namespace briarlead::consensus {

/// Size of the header before each batch's payload: magic number, payload
/// length, sequence number, CRC-32C of the payload, CRC-32C of the preceding
/// header fields.
inline constexpr std::size_t kBatchHeaderBytes = 24;

/// Smallest unit that a disk writes; a sector is written as a whole or not at
/// all.
inline constexpr std::size_t kSectorBytes = 512;

/// Returns a batch: the header followed by `payload`.
std::string FrameBatch(std::uint64_t sequence, std::string_view payload);

/// Returns the payload if `bytes` start with the whole, valid batch `sequence`.
std::optional<std::string_view> ReadBatch(std::string_view bytes,
                                          std::uint64_t sequence);

/// The valid batches at the start of a file.
struct BatchScan {
  std::vector<std::string_view> payloads;
  std::size_t valid_bytes = 0;  ///< Less than the file's if a tail is torn.
};

/// Reads consecutive batches whose sequence numbers start at `first_sequence`.
/// The payloads point into `bytes`. With `tail_may_be_torn`, an unreadable rest
/// counts as a torn tail if an interrupted write that was never synced can have
/// left it: the rest ends early or has sectors that are entirely zero, and no
/// later batch follows, since each write waits for the sync of the one before.
/// Any other unreadable bytes were damaged after their sync. Error: kCorrupt.
Result<BatchScan> ScanBatches(std::string_view bytes,
                              std::uint64_t first_sequence,
                              bool tail_may_be_torn);

}  // namespace briarlead::consensus

#endif  // BRIARLEAD_CONSENSUS_BATCH_FORMAT_H_
