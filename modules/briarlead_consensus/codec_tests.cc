#include "briarlead_consensus/codec.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

#include "briarlead_core/random_source.h"

namespace briarlead::consensus {

namespace {

constexpr std::uint64_t kSeed = 20240601;

Message MakeMessage(MessageBody body) {
  return {ClusterId("c"),
          {HostId("host0"), 1},
          {HostId("host1"), 2},
          9,
          std::move(body)};
}

std::vector<Message> OneMessageOfEachType() {
  const Membership members{{{HostId("a"), 1}, {HostId("b"), 2}},
                           {{HostId("c"), 3}}};
  const TimePoint time(std::chrono::microseconds(123456789));
  const std::vector<LogEntry> entries = {
      {5, 2, EntryKind::kNoOp, {}, {}},
      {6, 2, EntryKind::kCommand, std::string("\0\xff text", 7), {}},
      {7, 3, EntryKind::kMembership, {}, members}};
  return {MakeMessage(VoteRequest{true, false, 4, 2}),
          MakeMessage(VoteResponse{false, true, 9}),
          MakeMessage(AppendRequest{4, 2, 3, time, entries}),
          MakeMessage(AppendResponse{true, 4, 7, 0, 0, time}),
          MakeMessage(SnapshotChunk{7, 3, members, 100, 50, "bytes", time}),
          MakeMessage(SnapshotResponse{7, 55, time}),
          MakeMessage(TimeoutNow{}),
          MakeMessage(JoinRequest{})};
}

}  // namespace

TEST_GROUP(Codec){};

TEST(Codec, EveryMessageRoundTrips) {
  for (const Message& it : OneMessageOfEachType()) {
    const auto decoded = DecodeMessage(EncodeMessage(it));
    CHECK_TRUE(decoded.has_value());
    CHECK_TRUE(decoded.value() == it);
  }
}

TEST(Codec, RejectsTruncatedMessagesAndTrailingBytes) {
  for (const Message& it : OneMessageOfEachType()) {
    const std::string bytes = EncodeMessage(it);
    for (std::size_t size = 0; size < bytes.size(); ++size)
      CHECK_TRUE(DecodeMessage(bytes.substr(0, size)).has_error());
    CHECK_TRUE(DecodeMessage(bytes + '\0').has_error());
  }
}

TEST(Codec, DamagedBytesFailToDecodeOrGiveAValidMessage) {
  RandomSource random(kSeed);
  const std::vector<Message> messages = OneMessageOfEachType();
  for (int round = 0; round < 20000; ++round) {
    std::string bytes = EncodeMessage(messages[random.Below(messages.size())]);
    const std::uint64_t changes = 1 + random.Below(4);
    for (std::uint64_t it = 0; it < changes; ++it)
      bytes[random.Below(bytes.size())] = static_cast<char>(random.Below(256));
    const auto decoded = DecodeMessage(bytes);
    // If the bytes decode, the message must encode to the same bytes again.
    if (decoded)
      CHECK_TRUE(EncodeMessage(decoded.value()) == bytes);
  }
}

// The decoder must check a length before it allocates memory for it.
TEST(Codec, RejectsALengthBeyondTheRemainingBytes) {
  std::string bytes = EncodeMessage(MakeMessage(
      AppendRequest{0, 0, 0, {}, {{1, 1, EntryKind::kCommand, "x", {}}}}));
  // The message ends with the payload's length (4 bytes), the payload (1 byte)
  // and the lengths of two empty member lists (4 bytes each).
  const std::size_t length_at = bytes.size() - 13;
  for (std::size_t it = 0; it < 4; ++it)
    bytes[length_at + it] = '\x7f';
  const auto decoded = DecodeMessage(bytes);
  CHECK_TRUE(decoded.error().code == ErrorCode::kCorrupt);
}

TEST(Codec, RejectsOversizedMessages) {
  const std::string bytes(kMaxMessageBytes + 1, 'x');
  CHECK_TRUE(DecodeMessage(bytes).error().code == ErrorCode::kTooLarge);
}

}  // namespace briarlead::consensus
