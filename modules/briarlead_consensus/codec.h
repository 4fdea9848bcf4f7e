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

/// Most bytes of an encoded message that DecodeMessage() looks at.
inline constexpr std::size_t kMaxMessageBytes = std::size_t{8} << 20;

/// Encodes `message` for the network.
std::string EncodeMessage(const Message& message);

/// Reads what EncodeMessage() gives. Lengths are checked against the bytes that
/// are there before anything is allocated. Errors: kTooLarge, kCorrupt.
Result<Message> DecodeMessage(std::string_view bytes);

/// Encodes `persist` for the log file; of a snapshot only its index and term.
std::string EncodePersist(const Persist& persist);

/// Reads what EncodePersist() gives. Error: kCorrupt.
Result<Persist> DecodePersist(std::string_view bytes);

/// Encodes `snapshot` for its file.
std::string EncodeSnapshot(const Snapshot& snapshot);

/// Reads what EncodeSnapshot() gives. Error: kCorrupt.
Result<Snapshot> DecodeSnapshot(std::string_view bytes);

/// Encodes `identity` for its file.
std::string EncodeIdentity(const Identity& identity);

/// Reads what EncodeIdentity() gives. Error: kCorrupt.
Result<Identity> DecodeIdentity(std::string_view bytes);

}  // namespace briarlead::consensus

#endif  // BRIARLEAD_CONSENSUS_CODEC_H_
