#include "briarlead_net/frame_codec.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <exception>
#include <span>
#include <sstream>
#include <utility>

namespace briarlead {

namespace {

/// A string whose encoded length is checked before memory is allocated for it.
/// cereal's own loader for std::string accepts any length.
struct BoundedString {
  std::string value;

  template <typename Archive>
  void save(Archive& archive) const {
    archive(
        cereal::make_size_tag(static_cast<cereal::size_type>(value.size())));
    archive(cereal::binary_data(value.data(), value.size()));
  }

  template <typename Archive>
  void load(Archive& archive) {
    cereal::size_type size = 0;
    archive(cereal::make_size_tag(size));
    if (size > kMaxFramePayloadBytes)
      throw cereal::Exception("text exceeds the limit");
    value.resize(size);
    archive(cereal::binary_data(value.data(), value.size()));
  }
};

/// The wire format of Frame, as fields that cereal can serialise.
struct WireFrame {
  BoundedString host;
  std::uint64_t incarnation = 0;
  BoundedString address;
  std::uint16_t port = 0;
  std::uint64_t sequence = 0;
  std::uint8_t channel = 0;
  BoundedString payload;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(host, incarnation, address, port, sequence, channel, payload);
  }
};

bool IsChannel(std::uint8_t value) {
  return value >= static_cast<std::uint8_t>(Channel::kMembership) &&
         value <= static_cast<std::uint8_t>(Channel::kRouting);
}

Result<WireFrame> ReadWireFrame(std::string_view body) {
  try {
    std::istringstream stream{std::string(body)};
    cereal::PortableBinaryInputArchive archive(stream);
    WireFrame wire;
    archive(wire);
    return wire;
  } catch (const std::exception&) {
    return Fail(ErrorCode::kCorrupt, "the frame's fields can't be read");
  }
}

}  // namespace

std::string EncodeFrame(const Frame& frame, const FrameKey& key) {
  WireFrame wire{{frame.sender.host.value()},
                 frame.sender.incarnation,
                 {frame.sender.peers.address},
                 frame.sender.peers.port,
                 frame.sequence,
                 static_cast<std::uint8_t>(frame.channel),
                 {frame.payload}};
  std::ostringstream stream;
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(wire);
  }
  std::string bytes = std::move(stream).str();
  const FrameTag tag = key.Sign(bytes);
  bytes.append(tag.begin(), tag.end());
  return bytes;
}

Result<Frame> DecodeFrame(std::string_view bytes, const FrameKey& key) {
  if (bytes.size() > kMaxFrameBytes)
    return Fail(ErrorCode::kTooLarge, "the frame exceeds the limit");
  if (bytes.size() < kFrameTagBytes)
    return Fail(ErrorCode::kCorrupt, "the frame is shorter than its tag");
  const std::string_view body = bytes.substr(0, bytes.size() - kFrameTagBytes);
  const std::string_view tag = bytes.substr(body.size());
  const std::span tag_bytes(reinterpret_cast<const std::uint8_t*>(tag.data()),
                            tag.size());
  if (!key.Verify(body, tag_bytes))
    return Fail(ErrorCode::kUnauthenticated, "the frame's tag is wrong");
  BOOST_OUTCOME_TRY(WireFrame wire, ReadWireFrame(body));
  if (!IsChannel(wire.channel))
    return Fail(ErrorCode::kCorrupt, "the frame names an unknown channel");
  Frame frame;
  frame.sender = {HostId(std::move(wire.host.value)), wire.incarnation,
                  Endpoint{std::move(wire.address.value), wire.port}};
  frame.sequence = wire.sequence;
  frame.channel = static_cast<Channel>(wire.channel);
  frame.payload = std::move(wire.payload.value);
  return frame;
}

std::string EncodeFrameLength(std::size_t size) {
  std::string bytes;
  for (int shift = 24; shift >= 0; shift -= 8)
    bytes += static_cast<char>((size >> shift) & 0xff);
  return bytes;
}

std::optional<std::size_t> DecodeFrameLength(std::string_view bytes) {
  if (bytes.size() < kFrameLengthBytes)
    return std::nullopt;
  std::size_t size = 0;
  for (std::size_t i = 0; i < kFrameLengthBytes; ++i)
    size = size << 8 | static_cast<unsigned char>(bytes[i]);
  return size;
}

}  // namespace briarlead
