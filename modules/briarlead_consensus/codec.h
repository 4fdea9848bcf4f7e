#ifndef BRIARLEAD_CONSENSUS_CODEC_H_
#define BRIARLEAD_CONSENSUS_CODEC_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "briarlead_consensus/command.h"
#include "briarlead_consensus/consensus_types.h"
#include "briarlead_consensus/message.h"
#include "briarlead_core/error.h"

namespace briarlead::consensus {

/// Largest encoded message in bytes that DecodeMessage() accepts.
inline constexpr std::size_t kMaxMessageBytes = std::size_t{8} << 20;

/// Encodes `message` for the network.
std::string EncodeMessage(const Message& message);

/// Decodes the output of EncodeMessage(). Encoded lengths are checked against
/// the remaining input before memory is allocated. Errors: kTooLarge, kCorrupt.
Result<Message> DecodeMessage(std::string_view bytes);

/// Encodes `persist` for the log file. Of the snapshot, only the index and term
/// are included.
std::string EncodePersist(const Persist& persist);

/// Decodes the output of EncodePersist(). Error: kCorrupt.
Result<Persist> DecodePersist(std::string_view bytes);

/// Encodes `snapshot` for the snapshot file.
std::string EncodeSnapshot(const Snapshot& snapshot);

/// Decodes the output of EncodeSnapshot(). Error: kCorrupt.
Result<Snapshot> DecodeSnapshot(std::string_view bytes);

/// Encodes `identity` for the identity file.
std::string EncodeIdentity(const Identity& identity);

/// Decodes the output of EncodeIdentity(). Error: kCorrupt.
Result<Identity> DecodeIdentity(std::string_view bytes);

}  // namespace briarlead::consensus

#endif  // BRIARLEAD_CONSENSUS_CODEC_H_
