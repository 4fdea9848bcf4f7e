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

/// `T` is `X` or `const X`: one Transfer() function both encodes and decodes.
template <typename T, typename X>
concept Either = std::same_as<std::remove_const_t<T>, X>;

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

/// Lets a stream read bytes where they are.
class ViewBuffer : public std::streambuf {
 public:
  explicit ViewBuffer(std::string_view bytes) {
    char* begin = const_cast<char*>(bytes.data());
    setg(begin, begin, begin + bytes.size());
  }

  [[nodiscard]] std::size_t Left() const {
    return static_cast<std::size_t>(egptr() - gptr());
  }
};

/// Reads fields through a cereal archive; throws cereal::Exception.
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
      Refuse();
    value = byte == 1;
  }

  void Bytes(std::string& value) {
    value.resize(Count(1));
    archive_(cereal::binary_data(value.data(), value.size()));
  }

  /// Reads a count of items that take at least `item_bytes` each.
  std::size_t Count(std::size_t item_bytes) {
    std::uint32_t count = 0;
    Number(count);
    if (count > buf_.Left() / item_bytes)
      Refuse();
    return count;
  }

  [[nodiscard]] bool AtEnd() const { return buf_.Left() == 0; }

  [[noreturn]] static void Refuse() { throw cereal::Exception("bad bytes"); }

 private:
  ViewBuffer buf_;
  std::istream stream_{&buf_};
  cereal::PortableBinaryInputArchive archive_{stream_};
};

template <typename Coder, Scalar T>
void Transfer(Coder& coder, T& value) {
  coder.Number(value);
}

template <typename Coder, Either<std::string> T>
void Transfer(Coder& coder, T& value) {
  coder.Bytes(value);
}

template <typename Tag>
void Transfer(Encoder& coder, const Identifier<Tag>& id) {
  coder.Bytes(id.value());
}

template <typename Tag>
void Transfer(Decoder& coder, Identifier<Tag>& id) {
  std::string value;
  coder.Bytes(value);
  id = Identifier<Tag>(std::move(value));
}

void Transfer(Encoder& coder, const TimePoint& time) {
  coder.Number(static_cast<std::int64_t>(time.time_since_epoch().count()));
}

void Transfer(Decoder& coder, TimePoint& time) {
  std::int64_t count = 0;
  coder.Number(count);
  time = TimePoint(Duration(count));
}

void Transfer(Encoder& coder, const EntryKind& kind) {
  coder.Number(static_cast<std::uint8_t>(kind));
}

void Transfer(Decoder& coder, EntryKind& kind) {
  std::uint8_t number = 0;
  coder.Number(number);
  if (number > static_cast<std::uint8_t>(EntryKind::kMembership))
    Decoder::Refuse();
  kind = static_cast<EntryKind>(number);
}

template <typename Coder, Either<ReplicaId> T>
void Transfer(Coder& coder, T& id) {
  Transfer(coder, id.host);
  Transfer(coder, id.incarnation);
}

template <typename Item>
void Transfer(Encoder& coder, const std::vector<Item>& items) {
  coder.Number(static_cast<std::uint32_t>(items.size()));
  for (const Item& it : items)
    Transfer(coder, it);
}

/// Encoded sizes of the smallest items.
constexpr std::size_t kMinReplicaIdBytes = 12;
constexpr std::size_t kMinEntryBytes = 29;

template <typename Item>
void Transfer(Decoder& coder, std::vector<Item>& items) {
  constexpr std::size_t min_item_bytes =
      std::same_as<Item, LogEntry> ? kMinEntryBytes : kMinReplicaIdBytes;
  items.resize(coder.Count(min_item_bytes));
  for (Item& it : items)
    Transfer(coder, it);
}

template <typename Coder, Either<Membership> T>
void Transfer(Coder& coder, T& membership) {
  Transfer(coder, membership.voters);
  Transfer(coder, membership.learners);
}

template <typename Coder, Either<LogEntry> T>
void Transfer(Coder& coder, T& entry) {
  Transfer(coder, entry.index);
  Transfer(coder, entry.term);
  Transfer(coder, entry.kind);
  Transfer(coder, entry.payload);
  Transfer(coder, entry.membership);
}

template <typename Coder, Either<HardState> T>
void Transfer(Coder& coder, T& state) {
  Transfer(coder, state.term);
  Transfer(coder, state.voted_for);
}

template <typename Coder, Either<Snapshot> T>
void Transfer(Coder& coder, T& snapshot) {
  Transfer(coder, snapshot.index);
  Transfer(coder, snapshot.term);
  Transfer(coder, snapshot.membership);
  Transfer(coder, snapshot.data);
}

template <typename Coder, Either<Identity> T>
void Transfer(Coder& coder, T& identity) {
  Transfer(coder, identity.cluster);
  Transfer(coder, identity.replica);
}

template <typename Coder, Either<VoteRequest> T>
void Transfer(Coder& coder, T& body) {
  Transfer(coder, body.pre_vote);
  Transfer(coder, body.transfer);
  Transfer(coder, body.last_index);
  Transfer(coder, body.last_term);
}

template <typename Coder, Either<VoteResponse> T>
void Transfer(Coder& coder, T& body) {
  Transfer(coder, body.pre_vote);
  Transfer(coder, body.granted);
  Transfer(coder, body.request_term);
}

template <typename Coder, Either<AppendRequest> T>
void Transfer(Coder& coder, T& body) {
  Transfer(coder, body.prev_index);
  Transfer(coder, body.prev_term);
  Transfer(coder, body.commit_index);
  Transfer(coder, body.sent_at);
  Transfer(coder, body.entries);
}

template <typename Coder, Either<AppendResponse> T>
void Transfer(Coder& coder, T& body) {
  Transfer(coder, body.accepted);
  Transfer(coder, body.prev_index);
  Transfer(coder, body.match_index);
  Transfer(coder, body.conflict_index);
  Transfer(coder, body.conflict_term);
  Transfer(coder, body.sent_at);
}

template <typename Coder, Either<SnapshotChunk> T>
void Transfer(Coder& coder, T& body) {
  Transfer(coder, body.index);
  Transfer(coder, body.snapshot_term);
  Transfer(coder, body.membership);
  Transfer(coder, body.total_size);
  Transfer(coder, body.offset);
  Transfer(coder, body.data);
  Transfer(coder, body.sent_at);
}

template <typename Coder, Either<SnapshotResponse> T>
void Transfer(Coder& coder, T& body) {
  Transfer(coder, body.index);
  Transfer(coder, body.next_offset);
  Transfer(coder, body.sent_at);
}

template <typename Coder, Either<TimeoutNow> T>
void Transfer(Coder& /*coder*/, T& /*body*/) {}

template <typename Coder, Either<JoinRequest> T>
void Transfer(Coder& /*coder*/, T& /*body*/) {}

void Transfer(Encoder& coder, const MessageBody& body) {
  coder.Number(static_cast<std::uint8_t>(body.index()));
  std::visit([&](const auto& it) { Transfer(coder, it); }, body);
}

/// Makes the alternative number `index` of `body`.
template <std::size_t N = 0>
void Emplace(MessageBody& body, std::size_t index) {
  if constexpr (N < std::variant_size_v<MessageBody>) {
    if (index == N)
      body.emplace<N>();
    else
      Emplace<N + 1>(body, index);
  } else {
    Decoder::Refuse();
  }
}

void Transfer(Decoder& coder, MessageBody& body) {
  std::uint8_t index = 0;
  coder.Number(index);
  Emplace(body, index);
  std::visit([&](auto& it) { Transfer(coder, it); }, body);
}

template <typename Coder, Either<Message> T>
void Transfer(Coder& coder, T& message) {
  Transfer(coder, message.cluster);
  Transfer(coder, message.from);
  Transfer(coder, message.to);
  Transfer(coder, message.term);
  Transfer(coder, message.body);
}

void Transfer(Encoder& coder, const Persist& persist) {
  Transfer(coder, persist.hard_state);
  Transfer(coder, persist.truncate_from);
  Transfer(coder, persist.entries);
  coder.Number(persist.snapshot != nullptr);
  if (persist.snapshot) {
    Transfer(coder, persist.snapshot->index);
    Transfer(coder, persist.snapshot->term);
  }
}

void Transfer(Decoder& coder, Persist& persist) {
  Transfer(coder, persist.hard_state);
  Transfer(coder, persist.truncate_from);
  Transfer(coder, persist.entries);
  bool has_snapshot = false;
  coder.Number(has_snapshot);
  if (!has_snapshot)
    return;
  auto snapshot = std::make_shared<Snapshot>();
  Transfer(coder, snapshot->index);
  Transfer(coder, snapshot->term);
  persist.snapshot = std::move(snapshot);
}

template <typename T>
std::string Encode(const T& value) {
  Encoder coder;
  coder.Number(kFormatVersion);
  Transfer(coder, value);
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
    Transfer(coder, value);
    if (!coder.AtEnd())
      return Fail(ErrorCode::kCorrupt, "bytes behind the end");
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
