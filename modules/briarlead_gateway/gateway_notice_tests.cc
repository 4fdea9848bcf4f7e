#include <chrono>
#include <memory>
#include <string>

#include "briarlead_gateway/control_for_tests.h"
#include "briarlead_gateway/gateway_for_tests.h"
#include "briarlead_gateway/gateway_process.h"
#include "briarlead_net/loop_clock.h"

// After everything that uses the global operator new.
#include "briarlead_wire/call_for_tests.h"

namespace briarlead {

namespace {

constexpr std::uint16_t kControlPeerPort = 28690;
constexpr std::uint16_t kRelayPort = 28691;
constexpr std::uint16_t kEntryPeerPort = 28692;
const Endpoint kCallers{"127.0.0.51", 28693};
const Endpoint kReady{"127.0.0.51", 28694};
constexpr std::string_view kServed =
    "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=60\r\nContent-Length: 2\r\n\r\nok";
constexpr std::string_view kAskForRest =
    "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nRetry-After: 60\r\n"
    "Content-Length: 0\r\n\r\n";
constexpr std::string_view kUnmarkedAskForRest =
    "HTTP/1.1 503 Busy\r\nUnmarked: 1\r\nNot-Run: 1\r\nRetry-After: 60\r\n"
    "Content-Length: 0\r\n\r\n";

}  // namespace

// An entry host and one server, whose bytes the test writes.
TEST_GROUP(GatewayNotice) {
  Logger logger_{LogLevel::kError, [] { return std::string(); },
                 [](std::string_view) {}};
  RawPeer server_;
  std::unique_ptr<ControlForTests> control_;
  std::unique_ptr<GatewayProcess> gateway_;
  UpstreamPool callers_;
  int last_id_ = 0;

  void setup() override {
    control_ = std::make_unique<ControlForTests>(
        Endpoint{"127.0.0.54", kControlPeerPort},
        [this](const std::string&) { return Update(); });
    const RoutingSettings settings =
        MakeTestSettings(kCallers.address, "127.0.0.54",
                         {kControlPeerPort, kEntryPeerPort, kRelayPort,
                          kCallers.port, kReady.port});
    gateway_ = std::make_unique<GatewayProcess>(settings, MakeTestCodec(),
                                                logger_, [](int) {});
    CHECK_TRUE(gateway_->Start().has_value());
    CHECK_TRUE(RunUntil([this] { return control_->ready_hosts() == 1; }));
  }
  void teardown() override {
    gateway_.reset();
    control_.reset();
    while (g_main_context_iteration(nullptr, FALSE) != FALSE) {
    }
  }

  [[nodiscard]] RoutingUpdate Update() const {
    RoutingUpdate update;
    update.routes = "2 desk";
    update.servers = {
        {MakeTestServer("i-1", server_.endpoint()), Duration::zero()}};
    return update;
  }

  /// Sends a request; the call ends when it is destroyed.
  std::unique_ptr<UpstreamCall> Send() {
    RequestHead head;
    head.method = "POST";
    head.target = "/in/x";
    head.fields.Add("Host", "h");
    head.fields.Add("Id", std::to_string(++last_id_));
    UpstreamHandlers handlers;
    handlers.match = [](const ResponseHead&) { return ResponseMatch::kOwn; };
    handlers.on_head = [](ResponseHead&) {};
    handlers.on_body = [](std::string_view) {};
    handlers.on_complete = [] {};
    handlers.on_failure = [](UpstreamFailure) {};
    UpstreamCallOptions options;
    options.new_connection = true;
    return callers_.Start(kCallers, WriteRequestHead(head, 0), options,
                          std::move(handlers), LoopNow());
  }
  /// Waits until the server has read `n` requests on its connection.
  void AwaitRequests(std::size_t n) {
    CHECK_TRUE(RunUntil([&] {
      const std::string& read = server_.Received();
      std::size_t found = 0;
      for (std::size_t at = read.find("POST "); at != std::string::npos;
           at = read.find("POST ", at + 1)) {
        ++found;
      }
      return found >= n;
    }));
  }
  /// Checks that a request is refused without reaching the server.
  void CheckServerIsLeftAlone() {
    CHECK_EQUAL(503, CallOnce(kCallers, "POST", "/in/y").status);
    CHECK_FALSE(server_.Accept());
  }
};

TEST(GatewayNotice, RestAskedInAnAnswerToACallerThatLeftIsKept) {
  auto call = Send();
  CHECK_TRUE(RunUntil([this] { return server_.Accept(); }));
  AwaitRequests(1);
  call.reset();
  CHECK_TRUE(RunUntil([this] { return server_.Ended(); }));
  server_.Send(kAskForRest);
  const TimePoint later = LoopNow() + std::chrono::milliseconds(100);
  CHECK_TRUE(RunUntil([&] { return LoopNow() >= later; }));
  CheckServerIsLeftAlone();
}

TEST(GatewayNotice, RestAskedInAnAnswerWithoutAnIdOnAUsedConnectionIsKept) {
  auto first = Send();
  CHECK_TRUE(RunUntil([this] { return server_.Accept(); }));
  AwaitRequests(1);
  server_.Send(kServed);
  const TimePoint later = LoopNow() + std::chrono::milliseconds(50);
  CHECK_TRUE(RunUntil([&] { return LoopNow() >= later; }));
  auto second = Send();
  AwaitRequests(2);
  server_.Send(kUnmarkedAskForRest);
  const TimePoint read = LoopNow() + std::chrono::milliseconds(50);
  CHECK_TRUE(RunUntil([&] { return LoopNow() >= read; }));
  CheckServerIsLeftAlone();
}

}  // namespace briarlead
