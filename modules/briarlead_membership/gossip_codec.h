#ifndef BRIARLEAD_MEMBERSHIP_GOSSIP_CODEC_H_
#define BRIARLEAD_MEMBERSHIP_GOSSIP_CODEC_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "briarlead_core/error.h"
#include "briarlead_membership/gossip_message.h"

namespace briarlead {

/// Size of the largest encoded message. With the surrounding frame (key digest,
/// sequence number) it fits into a UDP datagram of 1,200 bytes.
inline constexpr std::size_t kMaxGossipBytes = 1120;

/// Returns the encoded message. Does not enforce kMaxGossipBytes; see
/// MessageFiller.
std::string EncodeGossip(const GossipMessage& message);

/// Returns the number of bytes that the entry adds to an encoded message.
std::size_t EncodedSize(const HostEntry& entry);
std::size_t EncodedSize(const ServerEntry& entry);
std::size_t EncodedSize(const RelayedAnnouncement& announcement);
std::size_t EncodedSize(const DataCentreSummary& summary);

/// Decodes a message that EncodeGossip() has encoded. The memory used is
/// bounded by the size of `bytes`.
/// Errors: kTooLarge above kMaxGossipBytes; kCorrupt for any other fault.
Result<GossipMessage> DecodeGossip(std::string_view bytes);

}  // namespace briarlead

#endif  // BRIARLEAD_MEMBERSHIP_GOSSIP_CODEC_H_
