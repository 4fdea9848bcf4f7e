#include "briarlead_membership/gossip_codec.h"

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <exception>
#include <sstream>
#include <stdexcept>

namespace briarlead {

namespace {

constexpr std::size_t kMaxLengthPrefix = 255;
constexpr unsigned kVarintBits = 7;
constexpr unsigned kMaxVarintShift = 63;

/// Serialises an unsigned number as a varint: groups of seven bits, least
/// significant first.
template <typename T>
struct Varint {
  T& value;

  template <typename Archive>
  void save(Archive& archive) const {
    auto rest = static_cast<std::uint64_t>(value);
    while (rest >= (1U << kVarintBits)) {
      archive(static_cast<std::uint8_t>(rest | (1U << kVarintBits)));
      rest >>= kVarintBits;
    }
    archive(static_cast<std::uint8_t>(rest));
  }

  template <typename Archive>
  void load(Archive& archive) {
    std::uint64_t read = 0;
    for (unsigned shift = 0; shift <= kMaxVarintShift; shift += kVarintBits) {
      std::uint8_t byte = 0;
      archive(byte);
      read |= static_cast<std::uint64_t>(byte & 0x7fU) << shift;
      if ((byte & 0x80U) == 0) {
        value = static_cast<T>(read);
        if (static_cast<std::uint64_t>(value) != read)
          throw std::range_error("number out of range");
        return;
      }
    }
    throw std::range_error("number too long");
  }
};

/// Serialises a string with a length prefix of one byte; longer strings are
/// truncated to 255 bytes.
struct ShortString {
  std::string& value;

  template <typename Archive>
  void save(Archive& archive) const {
    const auto n =
        static_cast<std::uint8_t>(std::min(value.size(), kMaxLengthPrefix));
    archive(n, cereal::binary_data(value.data(), n));
  }

  template <typename Archive>
  void load(Archive& archive) {
    std::uint8_t n = 0;
    archive(n);
    value.resize(n);
    archive(cereal::binary_data(value.data(), n));
  }
};

template <typename Archive, typename T>
void SerializeVarint(Archive& archive, T& value) {
  archive(Varint<T>{value});
}

template <typename Archive>
void SerializeString(Archive& archive, std::string& value) {
  archive(ShortString{value});
}

template <typename Archive, typename Tag>
void SerializeIdentifier(Archive& archive, Identifier<Tag>& id) {
  std::string text = id.value();
  archive(ShortString{text});
  if constexpr (Archive::is_loading::value)
    id = Identifier<Tag>(std::move(text));
}

/// Serialises an age in whole milliseconds. Rounds up, so that information
/// never looks more recent than it is.
template <typename Archive>
void SerializeAge(Archive& archive, Duration& age) {
  auto ms = static_cast<std::uint64_t>(
      std::chrono::ceil<std::chrono::milliseconds>(age).count());
  SerializeVarint(archive, ms);
  ms = std::min<std::uint64_t>(ms, UINT32_MAX);
  if constexpr (Archive::is_loading::value)
    age = std::chrono::milliseconds(ms);
}

/// Serialises an enumeration whose values are 0 to `last`.
template <typename Archive, typename T>
void SerializeEnum(Archive& archive, T& value, T last) {
  auto number = static_cast<std::uint8_t>(value);
  archive(number);
  if (number > static_cast<std::uint8_t>(last))
    throw std::range_error("unknown choice");
  if constexpr (Archive::is_loading::value)
    value = static_cast<T>(number);
}

/// Serialises a bool. Any byte other than 0 and 1 is an error, since it must
/// not be stored in a bool.
template <typename Archive>
void SerializeBool(Archive& archive, bool& flag) {
  std::uint8_t number = flag ? 1 : 0;
  archive(number);
  if (number > 1)
    throw std::range_error("unknown flag");
  flag = number == 1;
}

// Each overload lists the fields of one struct in their order on the wire, for
// encoding and decoding.
template <typename Archive>
void SerializeFields(Archive& archive, Endpoint& endpoint);
template <typename Archive>
void SerializeFields(Archive& archive, HostEntry& entry);
template <typename Archive>
void SerializeFields(Archive& archive, ServerEntry& entry);
template <typename Archive>
void SerializeFields(Archive& archive, RelayedAnnouncement& announcement);
template <typename Archive>
void SerializeFields(Archive& archive, ModelSummary& summary);
template <typename Archive>
void SerializeFields(Archive& archive, Delegate& delegate);
template <typename Archive>
void SerializeFields(Archive& archive, DataCentreSummary& summary);

template <typename Archive, typename T>
void SerializeVector(Archive& archive, std::vector<T>& items) {
  auto n = static_cast<std::uint8_t>(std::min(items.size(), kMaxLengthPrefix));
  archive(n);
  if constexpr (Archive::is_loading::value)
    items.resize(n);
  for (std::uint8_t i = 0; i < n; ++i)
    SerializeFields(archive, items[i]);
}

template <typename Archive>
void SerializeFields(Archive& archive, Endpoint& endpoint) {
  SerializeString(archive, endpoint.address);
  archive(endpoint.port);
}

template <typename Archive>
void SerializeFields(Archive& archive, HostEntry& entry) {
  SerializeIdentifier(archive, entry.id);
  SerializeIdentifier(archive, entry.data_centre);
  SerializeFields(archive, entry.callers);
  SerializeFields(archive, entry.peers);
  SerializeVarint(archive, entry.incarnation);
  SerializeVarint(archive, entry.version);
  SerializeEnum(archive, entry.health, HostHealth::kDead);
  SerializeBool(archive, entry.leaving);
  SerializeVarint(archive, entry.lists_revision);
}

template <typename Archive>
void SerializeFields(Archive& archive, ServerEntry& entry) {
  BackendServerRecord& record = entry.record;
  SerializeIdentifier(archive, record.id);
  SerializeIdentifier(archive, record.data_centre);
  SerializeEnum(archive, record.role, BackendServerRole::kService);
  SerializeIdentifier(archive, record.model);
  SerializeIdentifier(archive, record.service);
  SerializeFields(archive, record.address);
  SerializeVarint(archive, record.incarnation);
  SerializeEnum(archive, record.state, BackendServerState::kSilent);
  SerializeVarint(archive, record.slots);
  SerializeVarint(archive, record.kv_capacity_bytes);
  SerializeVarint(archive, record.link_bytes_per_second);
  SerializeBool(archive, record.checks_fencing);
  SerializeVarint(archive, entry.version);
  SerializeAge(archive, entry.age);
}

template <typename Archive>
void SerializeFields(Archive& archive, RelayedAnnouncement& announcement) {
  SerializeIdentifier(archive, announcement.id);
  SerializeVarint(archive, announcement.incarnation);
  SerializeVarint(archive, announcement.version);
  SerializeAge(archive, announcement.age);
  SerializeVarint(archive, announcement.load.running);
  SerializeVarint(archive, announcement.load.waiting);
  SerializeVarint(archive, announcement.load.kv_used_bytes);
}

template <typename Archive>
void SerializeFields(Archive& archive, ModelSummary& summary) {
  SerializeIdentifier(archive, summary.model);
  SerializeVarint(archive, summary.prefill_engines);
  SerializeVarint(archive, summary.decode_engines);
  SerializeVarint(archive, summary.free_slots);
  SerializeVarint(archive, summary.queue_length);
}

template <typename Archive>
void SerializeFields(Archive& archive, Delegate& delegate) {
  SerializeIdentifier(archive, delegate.id);
  SerializeVarint(archive, delegate.incarnation);
  SerializeFields(archive, delegate.callers);
  SerializeFields(archive, delegate.peers);
}

template <typename Archive>
void SerializeFields(Archive& archive, DataCentreSummary& summary) {
  SerializeIdentifier(archive, summary.data_centre);
  SerializeAge(archive, summary.age);
  SerializeVarint(archive, summary.alive_hosts);
  SerializeVarint(archive, summary.lists_revision);
  SerializeVector(archive, summary.delegates);
  SerializeVector(archive, summary.models);
}

template <typename Archive>
void SerializeFields(Archive& archive, ServerDigest& digest) {
  SerializeVarint(archive, digest.salt);
  for (std::uint16_t& it : digest.groups)
    archive(it);
}

template <typename Archive>
void SerializeFields(Archive& archive, GossipMessage& message) {
  SerializeEnum(archive, message.kind, GossipKind::kPingRequest);
  if (message.kind == GossipKind::kRelay) {
    SerializeVector(archive, message.announcements);
    return;
  }
  SerializeVarint(archive, message.sequence);
  SerializeFields(archive, message.sender);
  SerializeIdentifier(archive, message.target);
  SerializeFields(archive, message.target_endpoint);
  SerializeVarint(archive, message.highest_lists_revision);
  if (message.kind == GossipKind::kPing || message.kind == GossipKind::kAck)
    SerializeFields(archive, message.digest);
  SerializeVector(archive, message.hosts);
  SerializeVector(archive, message.servers);
  SerializeVector(archive, message.announcements);
  SerializeVector(archive, message.summaries);
}

template <typename T>
std::string Encode(const T& value) {
  std::ostringstream stream;
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    T copy = value;
    SerializeFields(archive, copy);
  }
  return std::move(stream).str();
}

/// Size of cereal's archive header, which every encoded message starts with.
constexpr std::size_t kArchiveHeaderBytes = 1;

}  // namespace

std::string EncodeGossip(const GossipMessage& message) {
  return Encode(message);
}

std::size_t EncodedSize(const HostEntry& entry) {
  return Encode(entry).size() - kArchiveHeaderBytes;
}

std::size_t EncodedSize(const ServerEntry& entry) {
  return Encode(entry).size() - kArchiveHeaderBytes;
}

std::size_t EncodedSize(const RelayedAnnouncement& announcement) {
  return Encode(announcement).size() - kArchiveHeaderBytes;
}

std::size_t EncodedSize(const DataCentreSummary& summary) {
  return Encode(summary).size() - kArchiveHeaderBytes;
}

Result<GossipMessage> DecodeGossip(std::string_view bytes) {
  if (bytes.size() > kMaxGossipBytes)
    return Fail(ErrorCode::kTooLarge, "gossip message too large");
  GossipMessage message;
  try {
    std::istringstream stream{std::string(bytes)};
    cereal::PortableBinaryInputArchive archive(stream);
    SerializeFields(archive, message);
    if (stream.peek() != std::istringstream::traits_type::eof())
      return Fail(ErrorCode::kCorrupt, "bytes after the gossip message");
  } catch (const std::exception& ec) {
    return Fail(ErrorCode::kCorrupt,
                std::string("gossip message: ") + ec.what());
  }
  return message;
}

}  // namespace briarlead
