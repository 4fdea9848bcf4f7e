#include "briarlead_net/frame_codec.h"

#include <CppUTest/TestHarness.h>

#include "briarlead_core/random_source.h"

namespace briarlead {

namespace {

FrameKey MakeKey(char fill) {
  return FrameKey::FromSecret(std::string(32, fill)).value();
}

Frame MakeFrame() {
  Frame frame;
  frame.sender = {HostId("howrah-1"), 9, {"127.0.0.1", 4100}};
  frame.sequence = 77;
  frame.channel = Channel::kDispatch;
  frame.payload = std::string("\0binary\xff", 8);
  return frame;
}

}  // namespace

TEST_GROUP(FrameCodec){};

TEST(FrameCodec, DecodedFrameEqualsTheEncodedOne) {
  const std::string bytes = EncodeFrame(MakeFrame(), MakeKey('a'));
  const Result<Frame> frame = DecodeFrame(bytes, MakeKey('a'));
  CHECK_TRUE(frame.has_value());
  CHECK_TRUE(frame.value().sender == MakeFrame().sender);
  LONGS_EQUAL(77, frame.value().sequence);
  CHECK_TRUE(frame.value().payload == MakeFrame().payload);
}

TEST(FrameCodec, FrameSignedWithAnotherKeyIsRejected) {
  const std::string bytes = EncodeFrame(MakeFrame(), MakeKey('a'));
  CHECK_TRUE(DecodeFrame(bytes, MakeKey('b')).error().code ==
             ErrorCode::kUnauthenticated);
  CHECK_TRUE(DecodeFrame(bytes, MakeKey('a').Derive("nonce")).has_error());
}

TEST(FrameCodec, FrameWithAnyBitFlippedIsRejected) {
  const std::string bytes = EncodeFrame(MakeFrame(), MakeKey('a'));
  for (std::size_t bit = 0; bit < bytes.size() * 8; ++bit) {
    std::string corrupted = bytes;
    corrupted[bit / 8] =
        static_cast<char>(corrupted[bit / 8] ^ (1 << (bit % 8)));
    CHECK_TRUE(DecodeFrame(corrupted, MakeKey('a')).has_error());
  }
}

TEST(FrameCodec, RandomBytesWithAValidTagThrowNoException) {
  RandomSource random(1);
  for (int round = 0; round < 2000; ++round) {
    std::string body;
    for (std::uint64_t n = random.Below(64); n > 0; --n)
      body += static_cast<char>(random.Below(256));
    const FrameTag tag = MakeKey('a').Sign(body);
    body.append(tag.begin(), tag.end());
    const Result<Frame> frame = DecodeFrame(body, MakeKey('a'));
    CHECK_TRUE(frame.has_error() || frame.value().payload.size() < 64);
  }
}

TEST(FrameCodec, SecretThatIsTooShortIsRejected) {
  CHECK_TRUE(FrameKey::FromSecret("short").has_error());
}

TEST(FrameCodec, DecodedLengthEqualsTheEncodedOne) {
  CHECK_FALSE(DecodeFrameLength("abc").has_value());
  LONGS_EQUAL(1 << 20, *DecodeFrameLength(EncodeFrameLength(1 << 20)));
}

}  // namespace briarlead
