#include "briarlead_routes/routing_message.h"

#include <CppUTest/TestHarness.h>

namespace briarlead {

namespace {

RoutingUpdate MakeUpdate() {
  RoutingUpdate update;
  update.control_hosts = {{"10.0.0.1", 7000}, {"10.0.0.2", 7000}};
  update.entry_hosts = {{"10.0.1.1", 7001}};
  update.routes = "{}";
  AnnouncedServer server;
  server.record.id = BackendServerId("i-1");
  server.record.stage = EngineStage::kDecode;
  server.age = std::chrono::milliseconds(700);
  update.servers = {server};
  return update;
}

}  // namespace

TEST_GROUP(RoutingMessage){};

TEST(RoutingMessage, EncodedMessagesDecodeUnchanged) {
  const RoutingMessage update = MakeUpdate();
  const RoutingMessage heartbeat = HostHeartbeat{HostRole::kControl, 7, 99};
  const RoutingMessage load = HostLoad{
      5,
      {{BackendServerId("i-1"), 5000, 4000}},
      {{BackendServerId("i-2"), 5000}},
      {{ServiceId("models"), 2, 5000, 4000, std::chrono::milliseconds(-20)}},
      {{{BackendServerId("i-3"), 1'700'000'000'000}},
       {{ServiceId("desk"), 40, 3}}}};
  CHECK(DecodeRoutingMessage(EncodeRoutingMessage(update)).value() == update);
  CHECK(DecodeRoutingMessage(EncodeRoutingMessage(load)).value() == load);
  CHECK(DecodeRoutingMessage(EncodeRoutingMessage(heartbeat)).value() ==
        heartbeat);
}

TEST(RoutingMessage, TruncatedMessagesAreRejected) {
  const std::string bytes = EncodeRoutingMessage(MakeUpdate());
  for (std::size_t n = 0; n < bytes.size(); ++n)
    CHECK_FALSE(DecodeRoutingMessage(bytes.substr(0, n)).has_value());
}

}  // namespace briarlead
