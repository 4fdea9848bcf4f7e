#include "briarlead_gateway/gateway_process.h"

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "briarlead_gateway/gateway_for_tests.h"
#include "briarlead_net/address_transport.h"

// After everything that uses the global operator new.
#include "briarlead_wire/call_for_tests.h"

namespace briarlead {

namespace {

constexpr std::uint16_t kControlPeerPort = 28670;
constexpr std::uint16_t kEntryPeerPort = 28671;
/// How long a host stands still, in microseconds.
constexpr gulong kStandstillUs = 1'500'000;
constexpr std::uint16_t kRelayPort = 28674;

}  // namespace

// A gateway with a caller, a backend server and a control host run by the test.
TEST_GROUP(GatewayProcess) {
  Logger logger_{LogLevel::kError, [] { return std::string(); },
                 [](std::string_view) {}};
  Endpoint callers_{"127.0.0.21", 28672};
  Endpoint ready_{"127.0.0.21", 28673};
  std::unique_ptr<HttpListener> server_;
  std::unique_ptr<PeerTransport> control_;
  std::unique_ptr<GatewayProcess> gateway_;
  std::optional<RoutingUpdate> update_;
  std::set<std::uint64_t> reported_versions_;
  std::optional<int> exit_code_;
  int unanswered_ = 0;
  HeaderFields last_fields_;  ///< Of the last request at the server.

  void setup() override {
    HttpListener::Handlers requests;
    requests.on_request = [this](const CallerRequestId& id, RequestHead& head,
                                 std::string&) {
      last_fields_ = head.fields;
      if (head.target == "/in/never")
        ++unanswered_;
      else if (head.target.starts_with("/stream/"))
        server_->Respond(id, 200, {}, "id: 2\ndata: x\n\n");
      else
        server_->Respond(id, 200, {}, "served " + head.target);
    };
    server_ = std::move(
        HttpListener::Listen({"127.0.0.23", 0}, std::move(requests)).value());
    PeerTransport::Handlers frames;
    frames.on_frame = [this](const Frame& it) { OnFrame(it); };
    frames.on_link_failure = [](const Endpoint&, LinkFailure) {};
    control_ = std::move(OpenAddressTransport({"127.0.0.24", kControlPeerPort},
                                              TestKey(), std::move(frames))
                             .value());
    const RoutingSettings settings =
        MakeTestSettings("127.0.0.21", "127.0.0.24",
                         {kControlPeerPort, kEntryPeerPort, kRelayPort,
                          callers_.port, ready_.port});
    gateway_ = std::make_unique<GatewayProcess>(
        settings, MakeTestCodec(), logger_,
        [this](int exit_code) { exit_code_ = exit_code; });
    CHECK_TRUE(gateway_->Start().has_value());
  }
  void teardown() override {
    gateway_.reset();
    control_.reset();
    server_.reset();
    while (g_main_context_iteration(nullptr, FALSE) != FALSE) {
    }
  }

  void OnFrame(const Frame& frame) {
    const auto message = DecodeRoutingMessage(frame.payload);
    const auto* question = std::get_if<KeyLeaseRequest>(&message.value());
    if (question != nullptr && update_.has_value()) {
      control_->SendDatagram(frame.sender.peers, Channel::kRouting,
                             EncodeRoutingMessage(KeyLeaseReply{
                                 question->number, question->routes_version}));
    }
    const auto* heartbeat = std::get_if<HostHeartbeat>(&message.value());
    if (heartbeat == nullptr)
      return;
    reported_versions_.insert(heartbeat->routes_version);
    if (update_.has_value()) {
      control_->Send(frame.sender.peers, Channel::kRouting,
                     EncodeRoutingMessage(*update_));
    }
  }

  /// Sets the update that the control host sends: routes and one server.
  void SetUpdate(const std::string& routes, ServerState state) {
    RoutingUpdate update;
    update.routes = routes;
    ServerRecord record;
    record.id = BackendServerId("i-1");
    record.service = ServiceId("desk");
    record.address = server_->endpoint();
    record.data_centre = DataCentreId("a");
    record.state = state;
    record.software = SoftwareVersion("v1");
    record.born_ms = 1;
    record.sequence = state == ServerState::kReady ? 1 : 2;
    update.servers = {{record, Duration::zero()}};
    update_ = std::move(update);
  }
  bool WaitForVersion(std::uint64_t version) {
    return RunUntil([&] { return reported_versions_.contains(version); });
  }

  /// Goes on with a stream of which this host knows nothing; returns the
  /// status.
  [[nodiscard]] int Resume() const {
    RequestHead head;
    head.method = "POST";
    head.target = "/stream/x";
    head.fields.Add("Host", "h");
    head.fields.Add("Resumes", "unknown");
    return Send(WriteRequestHead(head, 0));
  }
  /// Sends the bytes of a request; returns the status.
  [[nodiscard]] int Send(const std::string& request) const {
    int status = 0;
    bool over = false;
    UpstreamHandlers handlers;
    handlers.match = [](const ResponseHead&) { return ResponseMatch::kOwn; };
    handlers.on_head = [&](const ResponseHead& it) { status = it.status; };
    handlers.on_body = [](std::string_view) {};
    handlers.on_complete = [&] { over = true; };
    handlers.on_failure = [&](UpstreamFailure) { over = true; };
    UpstreamPool pool;
    const auto call =
        pool.Start(callers_, request, {}, std::move(handlers), LoopNow());
    CHECK_TRUE(RunUntil([&] { return over; }));
    return status;
  }
  static int Get(const Endpoint& endpoint, const std::string& path) {
    return CallOnce(endpoint, "GET", path).status;
  }
};

TEST(GatewayProcess, WithoutRoutesEveryRequestGets503) {
  CHECK_EQUAL(503, Get(ready_, "/"));
  CHECK_EQUAL(503, Get(callers_, "/in/x"));
  CHECK_EQUAL(503, Get(callers_, "/elsewhere"));
}

TEST(GatewayProcess, RequestsAreForwardedByTheRoutesInForce) {
  SetUpdate("2 desk", ServerState::kReady);
  CHECK_TRUE(WaitForVersion(2));
  CHECK_EQUAL(200, Get(ready_, "/"));
  const TestAnswer answer = CallOnce(callers_, "GET", "/in/x?y");
  CHECK_EQUAL(200, answer.status);
  STRCMP_EQUAL("served /in/x?y", answer.body.c_str());
  CHECK_TRUE(RunUntil([this] { return Get(callers_, "/elsewhere") == 404; }));
}

// Guards against fields that come behind the checks of the head: the server got
// a request with two hosts.
TEST(GatewayProcess, TrailerFieldsOfARequestReachNoServer) {
  SetUpdate("2 desk", ServerState::kReady);
  CHECK_TRUE(WaitForVersion(2));
  CHECK_EQUAL(200, Send("POST /in/x HTTP/1.1\r\nHost: h\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n"
                        "Host: other\r\nOwn: 1\r\n\r\n"));
  CHECK_TRUE(last_fields_.Find("Host") == "h");
  CHECK_FALSE(last_fields_.Find("Own").has_value());
}

TEST(GatewayProcess, OlderAndInvalidRoutesAreIgnored) {
  SetUpdate("2 desk", ServerState::kReady);
  CHECK_TRUE(WaitForVersion(2));
  for (const char* routes : {"1 other", "unreadable"}) {
    SetUpdate(routes, ServerState::kReady);
    reported_versions_.clear();
    CHECK_TRUE(WaitForVersion(2));
    CHECK_EQUAL(200, Get(callers_, "/in/x"));
  }
  SetUpdate("3 other", ServerState::kReady);
  CHECK_TRUE(WaitForVersion(3));
  CHECK_EQUAL(503, Get(callers_, "/in/x"));
}

TEST(GatewayProcess, LeavingServerGetsNoRequests) {
  SetUpdate("2 desk", ServerState::kReady);
  CHECK_TRUE(WaitForVersion(2));
  CHECK_EQUAL(200, Get(callers_, "/in/x"));
  SetUpdate("2 desk", ServerState::kLeaving);
  CHECK_TRUE(RunUntil([this] { return Get(callers_, "/in/x") == 503; }));
}

TEST(GatewayProcess, UnknownRouteIsNotDeniedWhileNoControlHostAnswers) {
  SetUpdate("2 desk", ServerState::kReady);
  CHECK_TRUE(WaitForVersion(2));
  CHECK_TRUE(RunUntil([this] { return Get(callers_, "/elsewhere") == 404; }));
  update_.reset();
  CHECK_TRUE(RunUntil([this] { return Get(callers_, "/elsewhere") == 503; }));
  CHECK_EQUAL(200, Get(callers_, "/in/x"));
}

TEST(GatewayProcess, HostThatStoodStillResumesNoStreamByAnOldDirectory) {
  SetUpdate("2 desk", ServerState::kReady);
  CHECK_TRUE(WaitForVersion(2));
  CHECK_EQUAL(200, Resume());
  // Meanwhile a server of another version may have joined and begun streams.
  g_usleep(kStandstillUs);
  CHECK_EQUAL(503, Resume());
  CHECK_TRUE(RunUntil([this] { return Resume() == 200; }));
}

TEST(GatewayProcess, ShutdownReportsNotReadyAndServesRequestsUntilItEnds) {
  SetUpdate("2 desk", ServerState::kReady);
  CHECK_TRUE(WaitForVersion(2));
  gateway_->Stop();
  CHECK_EQUAL(503, Get(ready_, "/"));
  CHECK_EQUAL(200, Get(callers_, "/in/x"));
  CHECK_TRUE(RunUntil([this] { return exit_code_.has_value(); }));
  CHECK_EQUAL(0, *exit_code_);
}

// Guards against requests that a stopping host reads late, passes on and cuts
// (LOST): it can't know that this one ends before the process does.
TEST(GatewayProcess, RequestThatMayOutlastTheStopIsRefusedAtOnce) {
  SetUpdate("3 desk 5000", ServerState::kReady);
  CHECK_TRUE(WaitForVersion(3));
  gateway_->Stop();
  const TimePoint began = LoopNow();
  CHECK_TRUE(RunUntil(
      [&] { return LoopNow() - began >= std::chrono::milliseconds(3100); }));
  const int status = Get(callers_, "/in/never");
  CHECK_EQUAL(503, status);
  CHECK_EQUAL(0, unanswered_);
}

// Guards against requests whose connection the end of the process closes
// without an answer (LOST).
TEST(GatewayProcess, RequestInProgressIsAnsweredBeforeTheProcessEnds) {
  SetUpdate("3 desk 9000", ServerState::kReady);
  CHECK_TRUE(WaitForVersion(3));
  gateway_->Stop();
  const int status = Get(callers_, "/in/never");
  CHECK_EQUAL(502, status);
  CHECK_EQUAL(1, unanswered_);
  CHECK_FALSE(exit_code_.has_value());
}

}  // namespace briarlead
