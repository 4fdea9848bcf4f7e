#ifndef BRIARLEAD_CONSENSUS_STORE_FILES_H_
#define BRIARLEAD_CONSENSUS_STORE_FILES_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "briarlead_consensus/command.h"
#include "briarlead_consensus/consensus_types.h"
#include "briarlead_core/error.h"

namespace briarlead::consensus {

inline constexpr std::string_view kIdentityName = "identity";
inline constexpr std::string_view kSegmentPrefix = "log-";
inline constexpr std::string_view kSnapshotPrefix = "snapshot-";
inline constexpr std::string_view kTemporarySuffix = ".tmp";

/// Size limit of the identity file and of a snapshot's own fields.
inline constexpr std::size_t kMaxIdentityBytes = 4096;

/// Sequence number of the first batch of a store.
inline constexpr std::uint64_t kFirstSequence = 1;

/// Returns `prefix` followed by the number with leading zeros, so that names
/// sort by number.
std::string NumberedName(std::string_view prefix, std::uint64_t number);

/// Returns the number in a file name that NumberedName() made with `prefix`;
/// nullopt if the name has another form.
std::optional<std::uint64_t> ParseNumber(std::string_view name,
                                         std::string_view prefix);

/// Returns the payload of a file that must contain exactly one batch. Errors:
/// those of ReadFile(), kCorrupt.
Result<std::string> ReadSingleBatch(const std::string& path,
                                    std::uint64_t sequence,
                                    std::size_t max_bytes);

/// Applies one batch of the log to `state`. Error: kCorrupt when entries are
/// missing before it.
Result<void> ApplyBatch(const Persist& persist, RecoveredState& state);

}  // namespace briarlead::consensus

#endif  // BRIARLEAD_CONSENSUS_STORE_FILES_H_
