#include "briarlead_consensus/codec.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <concepts>
#include <cstdint>
#include <istream>
#include <memory>
#include <sstream>
#include <streambuf>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace briarlead::consensus {

namespace {

constexpr std::uint8_t kFormatVersion = 1;

/// `T` is `X` or `const X`, so that one Serialize() function both encodes and
/// decodes.
template <typename T, typename X>
concept SameOrConst = std::same_as<std::remove_const_t<T>, X>;

template <typename T>
concept Scalar = std::is_arithmetic_v<T>;

/// Writes fields through a cereal archive.
class Encoder {
 public:
  template <Scalar T>
  void Number(const T& value) {
    archive_(value);
  }

  void Bytes(const std::string& value) {
    Number(static_cast<std::uint32_t>(value.size()));
    archive_(cereal::binary_data(value.data(), value.size()));
  }

  std::string Take() { return std::move(stream_).str(); }

 private:
  std::ostringstream stream_;
  cereal::PortableBinaryOutputArchive archive_{stream_};
};

/// A stream buffer that reads from existing bytes without copying them.
class ViewBuffer : public std::streambuf {
 public:
  explicit ViewBuffer(std::string_view bytes) {
    char* begin = const_cast<char*>(bytes.data());
    setg(begin, begin, begin + bytes.size());
  }

  [[nodiscard]] std::size_t RemainingBytes() const {
    return static_cast<std::size_t>(egptr() - gptr());
  }
};

/// Reads fields through a cereal archive. Throws cereal::Exception if the bytes
/// are malformed.
class Decoder {
 public:
  explicit Decoder(std::string_view bytes) : buf_(bytes) {}

  template <Scalar T>
  void Number(T& value) {
    archive_(value);
  }

  void Number(bool& value) {
    std::uint8_t byte = 0;
    archive_(byte);
    if (byte > 1)
      ThrowMalformed();
    value = byte == 1;
  }

  void Bytes(std::string& value) {
    value.resize(Count(1));
    archive_(cereal::binary_data(value.data(), value.size()));
  }

  /// Reads a count of items, each at least `item_bytes` long. Throws if the
  /// remaining bytes can't hold that many.
  std::size_t Count(std::size_t item_bytes) {
    std::uint32_t count = 0;
    Number(count);
    if (count > buf_.RemainingBytes() / item_bytes)
      ThrowMalformed();
    return count;
  }

  [[nodiscard]] bool AtEnd() const { return buf_.RemainingBytes() == 0; }

  [[noreturn]] static void ThrowMalformed() {
    throw cereal::Exception("bad bytes");
  }

 private:
  ViewBuffer buf_;
  std::istream stream_{&buf_};
  cereal::PortableBinaryInputArchive archive_{stream_};
};

template <typename Coder, Scalar T>
void Serialize(Coder& coder, T& value) {
  coder.Number(value);
}

template <typename Coder, SameOrConst<std::string> T>
void Serialize(Coder& coder, T& value) {
  coder.Bytes(value);
}

template <typename Tag>
void Serialize(Encoder& coder, const Identifier<Tag>& id) {
  coder.Bytes(id.value());
}

template <typename Tag>
void Serialize(Decoder& coder, Identifier<Tag>& id) {
  std::string value;
  coder.Bytes(value);
  id = Identifier<Tag>(std::move(value));
}

void Serialize(Encoder& coder, const TimePoint& time) {
  coder.Number(static_cast<std::int64_t>(time.time_since_epoch().count()));
}

void Serialize(Decoder& coder, TimePoint& time) {
  std::int64_t count = 0;
  coder.Number(count);
  time = TimePoint(Duration(count));
}

void Serialize(Encoder& coder, const EntryKind& kind) {
  coder.Number(static_cast<std::uint8_t>(kind));
}

void Serialize(Decoder& coder, EntryKind& kind) {
  std::uint8_t number = 0;
  coder.Number(number);
  if (number > static_cast<std::uint8_t>(EntryKind::kMembership))
    Decoder::ThrowMalformed();
  kind = static_cast<EntryKind>(number);
}

template <typename Coder, SameOrConst<ReplicaId> T>
void Serialize(Coder& coder, T& id) {
  Serialize(coder, id.host);
  Serialize(coder, id.incarnation);
}

template <typename Item>
void Serialize(Encoder& coder, const std::vector<Item>& items) {
  coder.Number(static_cast<std::uint32_t>(items.size()));
  for (const Item& it : items)
    Serialize(coder, it);
}

/// Smallest encoded sizes, with empty strings and lists. They limit how many
/// items the decoder allocates.
constexpr std::size_t kMinReplicaIdBytes = 12;
constexpr std::size_t kMinEntryBytes = 29;

template <typename Item>
void Serialize(Decoder& coder, std::vector<Item>& items) {
  constexpr std::size_t min_item_bytes =
      std::same_as<Item, LogEntry> ? kMinEntryBytes : kMinReplicaIdBytes;
  items.resize(coder.Count(min_item_bytes));
  for (Item& it : items)
    Serialize(coder, it);
}

template <typename Coder, SameOrConst<Membership> T>
void Serialize(Coder& coder, T& membership) {
  Serialize(coder, membership.voters);
  Serialize(coder, membership.learners);
}

template <typename Coder, SameOrConst<LogEntry> T>
void Serialize(Coder& coder, T& entry) {
  Serialize(coder, entry.index);
  Serialize(coder, entry.term);
  Serialize(coder, entry.kind);
  Serialize(coder, entry.payload);
  Serialize(coder, entry.membership);
}

template <typename Coder, SameOrConst<HardState> T>
void Serialize(Coder& coder, T& state) {
  Serialize(coder, state.term);
  Serialize(coder, state.voted_for);
}

template <typename Coder, SameOrConst<Snapshot> T>
void Serialize(Coder& coder, T& snapshot) {
  Serialize(coder, snapshot.index);
  Serialize(coder, snapshot.term);
  Serialize(coder, snapshot.membership);
  Serialize(coder, snapshot.data);
}

template <typename Coder, SameOrConst<Identity> T>
void Serialize(Coder& coder, T& identity) {
  Serialize(coder, identity.cluster);
  Serialize(coder, identity.replica);
}

template <typename Coder, SameOrConst<VoteRequest> T>
void Serialize(Coder& coder, T& body) {
  Serialize(coder, body.pre_vote);
  Serialize(coder, body.transfer);
  Serialize(coder, body.last_index);
  Serialize(coder, body.last_term);
}

template <typename Coder, SameOrConst<VoteResponse> T>
void Serialize(Coder& coder, T& body) {
  Serialize(coder, body.pre_vote);
  Serialize(coder, body.granted);
  Serialize(coder, body.request_term);
}

template <typename Coder, SameOrConst<AppendRequest> T>
void Serialize(Coder& coder, T& body) {
  Serialize(coder, body.prev_index);
  Serialize(coder, body.prev_term);
  Serialize(coder, body.commit_index);
  Serialize(coder, body.sent_at);
  Serialize(coder, body.entries);
}

template <typename Coder, SameOrConst<AppendResponse> T>
void Serialize(Coder& coder, T& body) {
  Serialize(coder, body.accepted);
  Serialize(coder, body.prev_index);
  Serialize(coder, body.match_index);
  Serialize(coder, body.conflict_index);
  Serialize(coder, body.conflict_term);
  Serialize(coder, body.sent_at);
}

template <typename Coder, SameOrConst<SnapshotChunk> T>
void Serialize(Coder& coder, T& body) {
  Serialize(coder, body.index);
  Serialize(coder, body.snapshot_term);
  Serialize(coder, body.membership);
  Serialize(coder, body.total_size);
  Serialize(coder, body.offset);
  Serialize(coder, body.data);
  Serialize(coder, body.sent_at);
}

template <typename Coder, SameOrConst<SnapshotResponse> T>
void Serialize(Coder& coder, T& body) {
  Serialize(coder, body.index);
  Serialize(coder, body.next_offset);
  Serialize(coder, body.sent_at);
}

template <typename Coder, SameOrConst<TimeoutNow> T>
void Serialize(Coder& /*coder*/, T& /*body*/) {}

template <typename Coder, SameOrConst<JoinRequest> T>
void Serialize(Coder& /*coder*/, T& /*body*/) {}

void Serialize(Encoder& coder, const MessageBody& body) {
  coder.Number(static_cast<std::uint8_t>(body.index()));
  std::visit([&](const auto& it) { Serialize(coder, it); }, body);
}

/// Sets `body` to a default-constructed value of the alternative `index`.
template <std::size_t N = 0>
void Emplace(MessageBody& body, std::size_t index) {
  if constexpr (N < std::variant_size_v<MessageBody>) {
    if (index == N)
      body.emplace<N>();
    else
      Emplace<N + 1>(body, index);
  } else {
    Decoder::ThrowMalformed();
  }
}

void Serialize(Decoder& coder, MessageBody& body) {
  std::uint8_t index = 0;
  coder.Number(index);
  Emplace(body, index);
  std::visit([&](auto& it) { Serialize(coder, it); }, body);
}

template <typename Coder, SameOrConst<Message> T>
void Serialize(Coder& coder, T& message) {
  Serialize(coder, message.cluster);
  Serialize(coder, message.from);
  Serialize(coder, message.to);
  Serialize(coder, message.term);
  Serialize(coder, message.body);
}

void Serialize(Encoder& coder, const Persist& persist) {
  Serialize(coder, persist.hard_state);
  Serialize(coder, persist.truncate_from);
  Serialize(coder, persist.entries);
  coder.Number(persist.snapshot != nullptr);
  if (persist.snapshot) {
    Serialize(coder, persist.snapshot->index);
    Serialize(coder, persist.snapshot->term);
  }
}

void Serialize(Decoder& coder, Persist& persist) {
  Serialize(coder, persist.hard_state);
  Serialize(coder, persist.truncate_from);
  Serialize(coder, persist.entries);
  bool has_snapshot = false;
  coder.Number(has_snapshot);
  if (!has_snapshot)
    return;
  auto snapshot = std::make_shared<Snapshot>();
  Serialize(coder, snapshot->index);
  Serialize(coder, snapshot->term);
  persist.snapshot = std::move(snapshot);
}

template <typename T>
std::string Encode(const T& value) {
  Encoder coder;
  coder.Number(kFormatVersion);
  Serialize(coder, value);
  return coder.Take();
}

template <typename T>
Result<T> Decode(std::string_view bytes) {
  try {
    Decoder coder(bytes);
    std::uint8_t version = 0;
    coder.Number(version);
    if (version != kFormatVersion)
      return Fail(ErrorCode::kCorrupt, "unknown format version");
    T value;
    Serialize(coder, value);
    if (!coder.AtEnd())
      return Fail(ErrorCode::kCorrupt, "bytes after the end");
    return value;
  } catch (const std::exception&) {
    return Fail(ErrorCode::kCorrupt, "the bytes don't decode");
  }
}

}  // namespace

std::string EncodeMessage(const Message& message) {
  return Encode(message);
}

Result<Message> DecodeMessage(std::string_view bytes) {
  if (bytes.size() > kMaxMessageBytes)
    return Fail(ErrorCode::kTooLarge, "the message is too large");
  return Decode<Message>(bytes);
}

std::string EncodePersist(const Persist& persist) {
  return Encode(persist);
}

Result<Persist> DecodePersist(std::string_view bytes) {
  return Decode<Persist>(bytes);
}

std::string EncodeSnapshot(const Snapshot& snapshot) {
  return Encode(snapshot);
}

Result<Snapshot> DecodeSnapshot(std::string_view bytes) {
  return Decode<Snapshot>(bytes);
}

std::string EncodeIdentity(const Identity& identity) {
  return Encode(identity);
}

Result<Identity> DecodeIdentity(std::string_view bytes) {
  return Decode<Identity>(bytes);
}

}  // namespace briarlead::consensus
