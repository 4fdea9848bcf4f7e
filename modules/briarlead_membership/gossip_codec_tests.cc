#include "briarlead_membership/gossip_codec.h"

#include "briarlead_core/random_source.h"

#include <CppUTest/TestHarness.h>

#include <optional>

namespace briarlead {

namespace {

GossipMessage MakeFullMessage() {
  GossipMessage message;
  message.kind = GossipKind::kPing;
  message.sequence = ~std::uint64_t{0};
  message.sender = {HostId("entry-1"),
                    DataCentreId("howrah"),
                    {"10.0.0.1", 8080},
                    {"10.0.0.1", 7000},
                    3,
                    300,
                    HostHealth::kSuspect,
                    true,
                    70000};
  message.target = HostId("entry-2");
  message.target_endpoint = {"10.0.0.2", 7000};
  message.highest_lists_revision = 70001;
  message.digest.salt = 99;
  message.digest.groups[63] = 0xbeef;
  message.hosts = {message.sender, message.sender};
  ServerEntry server;
  server.record.id = BackendServerId("engine-1");
  server.record.model = ModelId("summary");
  server.record.role = BackendServerRole::kDecode;
  server.record.state = BackendServerState::kSilent;
  server.record.incarnation = 9;
  server.record.slots = 16;
  server.record.kv_capacity_bytes = std::uint64_t{80} << 30;
  server.record.checks_fencing = true;
  server.version = 12;
  server.age = std::chrono::microseconds(1500);
  message.servers = {server};
  message.announcements = {
      {BackendServerId("engine-1"), 9, 13, std::chrono::seconds(1), {1, 2, 3}}};
  message.summaries = {{DataCentreId("barasat"),
                        std::chrono::milliseconds(40),
                        4,
                        69999,
                        {{HostId("e"), 1, {"a", 1}, {"b", 2}}},
                        {{ModelId("summary"), 1, 2, 3, 4}}}};
  return message;
}

/// Returns the error code of decoding `bytes`; nullopt on success.
std::optional<ErrorCode> DecodeErrorOf(std::string_view bytes) {
  const auto read = DecodeGossip(bytes);
  if (read.has_value())
    return std::nullopt;
  return read.error().code;
}

}  // namespace

TEST_GROUP(GossipCodec){};

TEST(GossipCodec, DecodingRestoresTheEncodedMessage) {
  const GossipMessage sent = MakeFullMessage();
  const auto read = DecodeGossip(EncodeGossip(sent));
  CHECK_TRUE(read.has_value());
  const GossipMessage& got = read.assume_value();
  CHECK_TRUE(got.kind == sent.kind && got.sequence == sent.sequence);
  CHECK_TRUE(got.sender == sent.sender);
  CHECK_TRUE(got.target == sent.target);
  CHECK_TRUE(got.target_endpoint == sent.target_endpoint);
  CHECK_TRUE(got.digest == sent.digest);
  CHECK_TRUE(got.hosts == sent.hosts);
  CHECK_TRUE(got.announcements == sent.announcements);
  CHECK_TRUE(got.summaries == sent.summaries);
  const BackendServerRecord& record = got.servers[0].record;
  CHECK_TRUE(record.state == BackendServerState::kSilent);
  CHECK_TRUE(record.kv_capacity_bytes == std::uint64_t{80} << 30);
  CHECK_TRUE(record.checks_fencing);
  LONGS_EQUAL(12, got.servers[0].version);
}

TEST(GossipCodec, AnAgeIsRoundedUp) {
  const auto read = DecodeGossip(EncodeGossip(MakeFullMessage()));
  CHECK_TRUE(read.assume_value().servers[0].age ==
             std::chrono::milliseconds(2));
}

TEST(GossipCodec, EncodedSizesMatchTheSizeAddedToAMessage) {
  GossipMessage message = MakeFullMessage();
  const std::size_t before = EncodeGossip(message).size();
  message.hosts.push_back(message.sender);
  message.servers.push_back(message.servers[0]);
  message.announcements.push_back(message.announcements[0]);
  message.summaries.push_back(message.summaries[0]);
  LONGS_EQUAL(before + EncodedSize(message.sender) +
                  EncodedSize(message.servers[0]) +
                  EncodedSize(message.announcements[0]) +
                  EncodedSize(message.summaries[0]),
              EncodeGossip(message).size());
}

TEST(GossipCodec, TruncatedAndOversizedMessagesAreErrors) {
  const std::string bytes = EncodeGossip(MakeFullMessage());
  for (std::size_t i = 0; i < bytes.size(); ++i)
    CHECK_TRUE(DecodeErrorOf(bytes.substr(0, i)) == ErrorCode::kCorrupt);
  CHECK_TRUE(DecodeErrorOf(bytes + "x") == ErrorCode::kCorrupt);
  const std::string large(kMaxGossipBytes + 1, 'x');
  CHECK_TRUE(DecodeErrorOf(large) == ErrorCode::kTooLarge);
}

TEST(GossipCodec, MutatedMessagesAreDecodedOrRejected) {
  RandomSource random(11);
  const std::string bytes = EncodeGossip(MakeFullMessage());
  int refused = 0;
  for (int i = 0; i < 5000; ++i) {
    std::string mutated = bytes;
    for (std::uint64_t n = 1 + random.Below(3); n > 0; --n) {
      mutated[random.Below(mutated.size())] =
          static_cast<char>(random.Below(256));
    }
    const auto read = DecodeGossip(mutated);
    refused += read.has_value() ? 0 : 1;
    if (read.has_value())
      CHECK_TRUE(read.assume_value().hosts.size() <= 255);
  }
  CHECK_TRUE(refused > 500);
}

}  // namespace briarlead
