#include "briarlead_net/frame_codec.h"

#include <CppUTest/TestHarness.h>

#include "briarlead_core/random_source.h"

namespace briarlead {

namespace {

FrameKey Key(char fill) {
  return FrameKey::FromSecret(std::string(32, fill)).value();
}

Frame SomeFrame() {
  Frame frame;
  frame.sender = {HostId("howrah-1"), 9, {"127.0.0.1", 4100}};
  frame.sequence = 77;
  frame.channel = Channel::kDispatch;
  frame.payload = std::string("\0binary\xff", 8);
  return frame;
}

}  // namespace

TEST_GROUP(FrameCodec){};

TEST(FrameCodec, FrameReadsBack) {
  const std::string bytes = EncodeFrame(SomeFrame(), Key('a'));
  const Result<Frame> frame = DecodeFrame(bytes, Key('a'));
  CHECK_TRUE(frame.has_value());
  CHECK_TRUE(frame.value().sender == SomeFrame().sender);
  LONGS_EQUAL(77, frame.value().sequence);
  CHECK_TRUE(frame.value().payload == SomeFrame().payload);
}

TEST(FrameCodec, AnotherKeyIsRefused) {
  const std::string bytes = EncodeFrame(SomeFrame(), Key('a'));
  CHECK_TRUE(DecodeFrame(bytes, Key('b')).error().code ==
             ErrorCode::kUnauthenticated);
  CHECK_TRUE(DecodeFrame(bytes, Key('a').Derive("nonce")).has_error());
}

TEST(FrameCodec, EveryFlippedBitIsRefused) {
  const std::string bytes = EncodeFrame(SomeFrame(), Key('a'));
  for (std::size_t it = 0; it < bytes.size() * 8; ++it) {
    std::string damaged = bytes;
    damaged[it / 8] = static_cast<char>(damaged[it / 8] ^ (1 << (it % 8)));
    CHECK_TRUE(DecodeFrame(damaged, Key('a')).has_error());
  }
}

TEST(FrameCodec, SignedNonsenseIsAnErrorNotAnException) {
  RandomSource random(1);
  for (int round = 0; round < 2000; ++round) {
    std::string body;
    for (std::uint64_t n = random.Below(64); n > 0; --n)
      body += static_cast<char>(random.Below(256));
    const FrameTag tag = Key('a').Sign(body);
    body.append(tag.begin(), tag.end());
    const Result<Frame> frame = DecodeFrame(body, Key('a'));
    CHECK_TRUE(frame.has_error() || frame.value().payload.size() < 64);
  }
}

TEST(FrameCodec, ShortSecretIsRefused) {
  CHECK_TRUE(FrameKey::FromSecret("short").has_error());
}

TEST(FrameCodec, LengthReadsBack) {
  CHECK_FALSE(DecodeFrameLength("abc").has_value());
  LONGS_EQUAL(1 << 20, *DecodeFrameLength(EncodeFrameLength(1 << 20)));
}

}  // namespace briarlead
