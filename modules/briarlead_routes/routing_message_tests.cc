#include "briarlead_routes/routing_message.h"

#include <string>
#include <string_view>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace briarlead {

namespace {

using namespace std::string_view_literals;

/// A SlotRelease, the last kind of the build before PersistLeavingRequest.
constexpr std::string_view kReleaseOfTheBuildBefore =
    "c\x1a\0\0\0\x11\0\0\0\0\0\0\0\x03\0\0\0\0\x40\x9c\0\0\0\0\0\0"sv;

RoutingUpdate MakeUpdate() {
  RoutingUpdate update;
  update.control_hosts = {{"10.0.0.1", 7000}, {"10.0.0.2", 7000}};
  update.hosts_digest = 12;
  update.entry_hosts = {{{"10.0.1.1", 7001}, DataCentreId("a")}};
  update.others_heard = true;
  update.routes = "{}";
  AnnouncedServer server;
  server.record.id = BackendServerId("i-1");
  server.record.software = SoftwareVersion("v1.2");
  server.record.stage = EngineStage::kDecode;
  server.age = std::chrono::milliseconds(700);
  update.servers = {server};
  return update;
}

}  // namespace

TEST_GROUP(RoutingMessage){};

TEST(RoutingMessage, EncodedMessagesDecodeUnchanged) {
  const RoutingMessage update = MakeUpdate();
  const RoutingMessage heartbeat =
      HostHeartbeat{HostRole::kControl, DataCentreId("a"), 7, 99, 3};
  const RoutingMessage load =
      HostLoad{5,
               {{BackendServerId("i-1"), 5000, 4000, 17}},
               {{BackendServerId("i-2"), 5000, 17}},
               {{ServiceId("models"), 2, 5000, 4000,
                 std::chrono::milliseconds(-20), 18, SoftwareVersion("v2")}},
               {{{BackendServerId("i-3"), 1'700'000'000'000}},
                {{ServiceId("desk"), 40, 3}}}};
  EnginePlacementRequest request;
  request.key = 17;
  request.number = 3;
  request.service = ServiceId("models");
  request.prompt_tokens = 5000;
  request.target_left = std::chrono::milliseconds(-20);
  request.data_centre = DataCentreId("a");
  request.excluded = {{BackendServerId("i-3"), 1'700'000'000'000}};
  request.software = SoftwareVersion("v2");
  const RoutingMessage ask = request;
  EnginePlacementReply reply;
  reply.key = 17;
  reply.verdict = PlacementVerdict::kPlaced;
  reply.decode = {BackendServerId("i-1"), 1'700'000'000'000};
  reply.prefill = {BackendServerId("i-2"), 1'700'000'000'001};
  reply.prefill_backlog = 9000;
  reply.expected_wait = std::chrono::milliseconds(40);
  const RoutingMessage answer = reply;
  const RoutingMessage parts =
      CrashReport{{{{7}, 99, std::chrono::milliseconds(40)}},
                  {{{8}, std::chrono::milliseconds(900)}}};
  CHECK(DecodeRoutingMessage(EncodeRoutingMessage(parts)).value() == parts);
  const ServerLimitNotice notice{
      {BackendServerId("i-1"), 17}, 3.8, std::chrono::milliseconds(40)};
  for (const RoutingMessage& it : std::vector<RoutingMessage>{
           ServerLimitReport{{notice}},
           LeavingReport{{{BackendServerId("i-1"), 17}}},
           SendPermitRequest{4, notice, 2, std::chrono::milliseconds(300)},
           SendPermitReply{4, notice, 2, std::chrono::milliseconds(90),
                           std::chrono::milliseconds(260),
                           std::chrono::milliseconds(7)},
           QuotaRequest{4, CustomerId("c"), {5200, 1}, 90},
           QuotaReply{4, CustomerId("c"), 1, 90, QuotaRefusal::kUnknown,
                      std::chrono::milliseconds(7)},
           QuotaGrantRequest{4, {{CustomerId("c"), {5200, 1}, 90}}},
           QuotaGrantReply{
               4, {{CustomerId("c"), 1, 90, std::chrono::milliseconds(7)}}}}) {
    CHECK(DecodeRoutingMessage(EncodeRoutingMessage(it)).value() == it);
  }
  CHECK(DecodeRoutingMessage(EncodeRoutingMessage(ask)).value() == ask);
  CHECK(DecodeRoutingMessage(EncodeRoutingMessage(answer)).value() == answer);
  CHECK(DecodeRoutingMessage(EncodeRoutingMessage(update)).value() == update);
  CHECK(DecodeRoutingMessage(EncodeRoutingMessage(load)).value() == load);
  CHECK(DecodeRoutingMessage(EncodeRoutingMessage(heartbeat)).value() ==
        heartbeat);
}

// During a rolling restart, hosts of two builds talk to each other.
TEST(RoutingMessage, MessagesOfAnotherLayoutAreRejected) {
  std::string bytes = EncodeRoutingMessage(MakeUpdate());
  bytes.front() = kRoutingMessageFormat - 1;
  CHECK_FALSE(DecodeRoutingMessage(bytes).has_value());
  // The first layout had no format byte.
  CHECK_FALSE(DecodeRoutingMessage(bytes.substr(1)).has_value());
}

TEST(RoutingMessage, TruncatedMessagesAreRejected) {
  const std::string bytes = EncodeRoutingMessage(MakeUpdate());
  for (std::size_t n = 0; n < bytes.size(); ++n)
    CHECK_FALSE(DecodeRoutingMessage(bytes.substr(0, n)).has_value());
}

TEST(RoutingMessage, DirectoryMessagesAreReadAsWritten) {
  DirectoryRequest request;
  request.heartbeat.servers_digest = 4;
  request.incarnation = 5;
  request.revision = 6;
  request.follows = true;
  CHECK(std::get<DirectoryRequest>(
            DecodeRoutingMessage(EncodeRoutingMessage(request)).value()) ==
        request);
  DirectoryUpdate update;
  update.incarnation = 5;
  update.from = 6;
  update.to = 8;
  update.servers.resize(2);
  update.all_silent = true;
  update.heard = {1, 2, 3};
  update.heard_within_ms = 2000;
  update.hosts_digest = 9;
  CHECK(std::get<DirectoryUpdate>(
            DecodeRoutingMessage(EncodeRoutingMessage(update)).value()) ==
        update);
}

TEST(RoutingMessage, PersistLeavingMessagesAreReadAsWritten) {
  PersistLeavingRequest request;
  request.servers = {{MakeUpdate().servers[0].record, 1'780'000'000'000}};
  CHECK(std::get<PersistLeavingRequest>(
            DecodeRoutingMessage(EncodeRoutingMessage(request)).value()) ==
        request);
  const PersistLeavingReply reply{
      {{{BackendServerId("i-1"), 17}, ServerState::kLeaving}}};
  CHECK(std::get<PersistLeavingReply>(
            DecodeRoutingMessage(EncodeRoutingMessage(reply)).value()) ==
        reply);
}

// Guards against new kinds of messages that change the numbers of those which
// the build before sends.
TEST(RoutingMessage, BytesOfTheBuildBeforeAreRead) {
  SlotRelease release;
  release.key = 17;
  release.number = 3;
  release.took = std::chrono::milliseconds(40);
  const std::string bytes(kReleaseOfTheBuildBefore);
  CHECK(std::get<SlotRelease>(DecodeRoutingMessage(bytes).value()) == release);
  CHECK(EncodeRoutingMessage(release) == bytes);
}

}  // namespace briarlead
