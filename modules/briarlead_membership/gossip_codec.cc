#include "briarlead_membership/gossip_codec.h"

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <exception>
#include <sstream>
#include <stdexcept>

namespace briarlead {

namespace {

constexpr std::size_t kMaxShortBytes = 255;
constexpr unsigned kVarintBits = 7;
constexpr unsigned kMaxVarintShift = 63;

/// An unsigned number in groups of seven bits, least significant first.
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

/// A string of at most 255 bytes with a length of one byte.
struct ShortString {
  std::string& value;

  template <typename Archive>
  void save(Archive& archive) const {
    const auto n =
        static_cast<std::uint8_t>(std::min(value.size(), kMaxShortBytes));
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
void Number(Archive& archive, T& value) {
  archive(Varint<T>{value});
}

template <typename Archive>
void Text(Archive& archive, std::string& value) {
  archive(ShortString{value});
}

template <typename Archive, typename Tag>
void Name(Archive& archive, Identifier<Tag>& id) {
  std::string text = id.value();
  archive(ShortString{text});
  if constexpr (Archive::is_loading::value)
    id = Identifier<Tag>(std::move(text));
}

/// A length of time in whole milliseconds, rounded up: an age grows, never
/// shrinks, on its way.
template <typename Archive>
void Age(Archive& archive, Duration& age) {
  auto ms = static_cast<std::uint64_t>(
      std::chrono::ceil<std::chrono::milliseconds>(age).count());
  Number(archive, ms);
  ms = std::min<std::uint64_t>(ms, UINT32_MAX);
  if constexpr (Archive::is_loading::value)
    age = std::chrono::milliseconds(ms);
}

/// An enumeration whose values are 0 to `last`.
template <typename Archive, typename T>
void Choice(Archive& archive, T& value, T last) {
  auto number = static_cast<std::uint8_t>(value);
  archive(number);
  if (number > static_cast<std::uint8_t>(last))
    throw std::range_error("unknown choice");
  if constexpr (Archive::is_loading::value)
    value = static_cast<T>(number);
}

/// True or false; a byte that is neither must not become a bool.
template <typename Archive>
void Flag(Archive& archive, bool& flag) {
  std::uint8_t number = flag ? 1 : 0;
  archive(number);
  if (number > 1)
    throw std::range_error("unknown flag");
  flag = number == 1;
}

// Each names the fields of one struct, in their order on the wire, for both
// directions.
template <typename Archive>
void Fields(Archive& archive, Endpoint& endpoint);
template <typename Archive>
void Fields(Archive& archive, HostEntry& entry);
template <typename Archive>
void Fields(Archive& archive, ServerEntry& entry);
template <typename Archive>
void Fields(Archive& archive, HeardAnnouncement& heard);
template <typename Archive>
void Fields(Archive& archive, ModelSummary& summary);
template <typename Archive>
void Fields(Archive& archive, Delegate& delegate);
template <typename Archive>
void Fields(Archive& archive, DataCentreSummary& summary);

template <typename Archive, typename T>
void Items(Archive& archive, std::vector<T>& items) {
  auto n = static_cast<std::uint8_t>(std::min(items.size(), kMaxShortBytes));
  archive(n);
  if constexpr (Archive::is_loading::value)
    items.resize(n);
  for (std::uint8_t it = 0; it < n; ++it)
    Fields(archive, items[it]);
}

template <typename Archive>
void Fields(Archive& archive, Endpoint& endpoint) {
  Text(archive, endpoint.address);
  archive(endpoint.port);
}

template <typename Archive>
void Fields(Archive& archive, HostEntry& entry) {
  Name(archive, entry.id);
  Name(archive, entry.data_centre);
  Fields(archive, entry.callers);
  Fields(archive, entry.peers);
  Number(archive, entry.incarnation);
  Number(archive, entry.version);
  Choice(archive, entry.health, HostHealth::kDead);
  Flag(archive, entry.leaving);
  Number(archive, entry.lists_revision);
}

template <typename Archive>
void Fields(Archive& archive, ServerEntry& entry) {
  BackendServerRecord& record = entry.record;
  Name(archive, record.id);
  Name(archive, record.data_centre);
  Choice(archive, record.role, BackendServerRole::kService);
  Name(archive, record.model);
  Name(archive, record.service);
  Fields(archive, record.address);
  Number(archive, record.incarnation);
  Choice(archive, record.state, BackendServerState::kSilent);
  Number(archive, record.slots);
  Number(archive, record.kv_capacity_bytes);
  Number(archive, record.link_bytes_per_second);
  Flag(archive, record.checks_fencing);
  Number(archive, entry.version);
  Age(archive, entry.age);
}

template <typename Archive>
void Fields(Archive& archive, HeardAnnouncement& heard) {
  Name(archive, heard.id);
  Number(archive, heard.incarnation);
  Number(archive, heard.version);
  Age(archive, heard.age);
  Number(archive, heard.load.running);
  Number(archive, heard.load.waiting);
  Number(archive, heard.load.kv_used_bytes);
}

template <typename Archive>
void Fields(Archive& archive, ModelSummary& summary) {
  Name(archive, summary.model);
  Number(archive, summary.prefill_engines);
  Number(archive, summary.decode_engines);
  Number(archive, summary.free_slots);
  Number(archive, summary.queue_length);
}

template <typename Archive>
void Fields(Archive& archive, Delegate& delegate) {
  Name(archive, delegate.id);
  Number(archive, delegate.incarnation);
  Fields(archive, delegate.callers);
  Fields(archive, delegate.peers);
}

template <typename Archive>
void Fields(Archive& archive, DataCentreSummary& summary) {
  Name(archive, summary.data_centre);
  Age(archive, summary.age);
  Number(archive, summary.alive_hosts);
  Number(archive, summary.lists_revision);
  Items(archive, summary.delegates);
  Items(archive, summary.models);
}

template <typename Archive>
void Fields(Archive& archive, ServerDigest& digest) {
  Number(archive, digest.salt);
  for (std::uint16_t& it : digest.groups)
    archive(it);
}

template <typename Archive>
void Fields(Archive& archive, GossipMessage& message) {
  Choice(archive, message.kind, GossipKind::kPingRequest);
  if (message.kind == GossipKind::kRelay) {
    Items(archive, message.heard);
    return;
  }
  Number(archive, message.sequence);
  Fields(archive, message.sender);
  Name(archive, message.target);
  Fields(archive, message.target_peers);
  Number(archive, message.highest_lists_revision);
  if (message.kind == GossipKind::kPing || message.kind == GossipKind::kAck)
    Fields(archive, message.digest);
  Items(archive, message.hosts);
  Items(archive, message.servers);
  Items(archive, message.heard);
  Items(archive, message.summaries);
}

template <typename T>
std::string Encode(const T& value) {
  std::ostringstream stream;
  {
    cereal::PortableBinaryOutputArchive archive(stream);
    T copy = value;
    Fields(archive, copy);
  }
  return std::move(stream).str();
}

/// Size of the archive's own header, which stands once in a message.
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

std::size_t EncodedSize(const HeardAnnouncement& heard) {
  return Encode(heard).size() - kArchiveHeaderBytes;
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
    Fields(archive, message);
    if (stream.peek() != std::istringstream::traits_type::eof())
      return Fail(ErrorCode::kCorrupt, "bytes after the gossip message");
  } catch (const std::exception& ec) {
    return Fail(ErrorCode::kCorrupt,
                std::string("gossip message: ") + ec.what());
  }
  return message;
}

}  // namespace briarlead
