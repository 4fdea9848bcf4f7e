#ifndef BRIARLEAD_NET_FRAME_CODEC_H_
#define BRIARLEAD_NET_FRAME_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/error.h"
#include "briarlead_core/identifiers.h"
#include "briarlead_net/frame_key.h"

namespace briarlead {

/// The protocol that a frame's payload belongs to. The values are sent on the
/// wire.
enum class Channel : std::uint8_t {
  kMembership = 1,
  kDispatch = 2,
  kConsensus = 3,
  kControl = 4,
  kForming = 5,
  kRouting = 6,
};

/// Size of an array indexed by channel: one more than the highest value.
inline constexpr std::size_t kChannelCount = 7;

/// Identifies the process that sent a frame and says where to reach it.
struct PeerName {
  HostId host;
  /// Greater after each restart of the process.
  std::uint64_t incarnation = 0;
  /// Address and port on which the sender receives frames from its peers.
  Endpoint peers;

  friend bool operator==(const PeerName&, const PeerName&) = default;
};

/// One message between two processes.
struct Frame {
  PeerName sender;
  /// Position in the sender's stream, from 1: counted per connection on TCP,
  /// per incarnation for datagrams.
  std::uint64_t sequence = 0;
  Channel channel = Channel::kMembership;
  std::string payload;
};

inline constexpr std::size_t kMaxFramePayloadBytes = 8U << 20;
/// Size of the length prefix of each frame on a TCP connection, in bytes.
inline constexpr std::size_t kFrameLengthBytes = 4;
/// Largest encoded frame, in bytes: the payload, plus 1024 for the sender, the
/// other fields and the tag.
inline constexpr std::size_t kMaxFrameBytes = kMaxFramePayloadBytes + 1024;

/// Serialises `frame` and appends its tag, computed with `key`. The payload
/// must not exceed kMaxFramePayloadBytes.
std::string EncodeFrame(const Frame& frame, const FrameKey& key);

/// Decodes one frame without its length prefix. Verifies the tag before it
/// parses any field. Errors: kTooLarge if `bytes` exceeds kMaxFrameBytes,
/// kUnauthenticated if the tag doesn't match, kCorrupt if `bytes` is shorter
/// than a tag or its fields are malformed.
Result<Frame> DecodeFrame(std::string_view bytes, const FrameKey& key);

/// Encodes `size` as the length prefix of a TCP frame, in network byte order.
std::string EncodeFrameLength(std::size_t size);

/// Decodes the length prefix at the start of `bytes`. Returns nullopt if
/// `bytes` is shorter than kFrameLengthBytes.
std::optional<std::size_t> DecodeFrameLength(std::string_view bytes);

}  // namespace briarlead

#endif  // BRIARLEAD_NET_FRAME_CODEC_H_
