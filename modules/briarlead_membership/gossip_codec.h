#ifndef BRIARLEAD_MEMBERSHIP_GOSSIP_CODEC_H_
#define BRIARLEAD_MEMBERSHIP_GOSSIP_CODEC_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "briarlead_core/error.h"
#include "briarlead_membership/gossip_message.h"

namespace briarlead {

/// Largest encoded message. With the frame around it (key digest, sequence) it
/// fits into a UDP datagram of 1,200 bytes.
inline constexpr std::size_t kMaxGossipBytes = 1120;

/// Returns the encoded message.
std::string EncodeGossip(const GossipMessage& message);

/// Returns the bytes that one more entry takes in a message.
std::size_t EncodedSize(const HostEntry& entry);
std::size_t EncodedSize(const ServerEntry& entry);
std::size_t EncodedSize(const HeardAnnouncement& heard);
std::size_t EncodedSize(const DataCentreSummary& summary);

/// Reads what EncodeGossip() gave. Memory is bounded by the size of `bytes`.
/// Errors: kTooLarge above kMaxGossipBytes; kCorrupt for anything else.
Result<GossipMessage> DecodeGossip(std::string_view bytes);

}  // namespace briarlead

#endif  // BRIARLEAD_MEMBERSHIP_GOSSIP_CODEC_H_
