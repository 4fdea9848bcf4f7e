#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "briarlead_gateway/control_for_tests.h"
#include "briarlead_gateway/gateway_for_tests.h"
#include "briarlead_gateway/gateway_process.h"
#include "briarlead_net/loop_clock.h"

// After everything that uses the global operator new.
#include "briarlead_wire/call_for_tests.h"

namespace briarlead {

namespace {

constexpr std::uint16_t kControlPeerPort = 28680;
constexpr std::uint16_t kRelayPort = 28681;
constexpr std::uint16_t kEntryPeerPort = 28682;
constexpr std::uint16_t kCallersPort = 28683;
constexpr std::uint16_t kReadyPort = 28684;
/// More than the queue of a listening socket takes.
constexpr std::size_t kQueuedConnections = 64;
constexpr std::size_t kLongPartBytes = 32768;
/// Time after which a request counts as refused late.
constexpr Duration kLateRefusal = std::chrono::milliseconds(140);

}  // namespace

// Two entry hosts that know the same server by its id; the first is told an
// address at which it reaches nothing, as if its links to the server were cut.
TEST_GROUP(GatewayCut) {
  Logger logger_{LogLevel::kError, [] { return std::string(); },
                 [](std::string_view) {}};
  const std::string cut_host_ = "127.0.0.41";
  const std::string other_host_ = "127.0.0.42";
  std::unique_ptr<HttpListener> server_;
  std::unique_ptr<ControlForTests> control_;
  std::vector<std::unique_ptr<GatewayProcess>> gateways_;
  Endpoint address_for_cut_host_;
  Endpoint address_for_other_host_;
  std::vector<std::string> served_;
  int gone_ = 0;

  void setup() override {
    HttpListener::Handlers requests;
    requests.on_request = [this](const CallerRequestId& id, RequestHead& head,
                                 std::string&) { Serve(id, head); };
    requests.on_gone = [this](const CallerRequestId&) { ++gone_; };
    server_ = std::move(
        HttpListener::Listen({"127.0.0.43", 0}, std::move(requests)).value());
    address_for_other_host_ = server_->endpoint();
    control_ = std::make_unique<ControlForTests>(
        Endpoint{"127.0.0.44", kControlPeerPort},
        [this](const std::string& host) { return UpdateFor(host); });
  }
  void teardown() override {
    gateways_.clear();
    control_.reset();
    server_.reset();
    while (g_main_context_iteration(nullptr, FALSE) != FALSE) {
    }
  }

  void Serve(const CallerRequestId& id, const RequestHead& head) {
    served_.push_back(head.target);
    if (head.target == "/in/silent")
      return;
    if (head.target == "/in/broken") {
      server_->SendHead(id, 200, "OK", {}, 100);
      server_->SendBody(id, "begun");
      server_->Abort(id);
      return;
    }
    if (head.target == "/in/long") {
      server_->SendHead(id, 200, "OK", {}, std::nullopt);
      for (int it = 0; it < 64; ++it)
        server_->SendBody(id, std::string(kLongPartBytes, 'a'));
      server_->Finish(id);
      return;
    }
    HeaderFields fields;
    if (head.target == "/in/leaving")
      fields.Add("Leaving", "1");
    server_->Respond(id, 200, fields, "served " + head.target);
  }

  [[nodiscard]] RoutingUpdate UpdateFor(const std::string& host) const {
    RoutingUpdate update;
    update.routes = "2 desk";
    update.hosts_digest = 1;
    update.entry_hosts = {{{cut_host_, kEntryPeerPort}, DataCentreId("a")},
                          {{other_host_, kEntryPeerPort}, DataCentreId("a")}};
    const bool is_cut = host == cut_host_;
    const ServerRecord record = MakeTestServer(
        "i-1", is_cut ? address_for_cut_host_ : address_for_other_host_);
    update.servers = {{record, Duration::zero()}};
    return update;
  }

  void StartHosts() {
    for (const std::string& it : {cut_host_, other_host_}) {
      const RoutingSettings settings =
          MakeTestSettings(it, "127.0.0.44",
                           {kControlPeerPort, kEntryPeerPort, kRelayPort,
                            kCallersPort, kReadyPort});
      gateways_.push_back(std::make_unique<GatewayProcess>(
          settings, MakeTestCodec(), logger_, [](int) {}));
      CHECK_TRUE(gateways_.back()->Start().has_value());
    }
    CHECK_TRUE(RunUntil([this] { return control_->ready_hosts() == 2; }));
  }

  /// Sends a request to the host that is cut off.
  [[nodiscard]] TestAnswer Call(const std::string& path) const {
    return CallOnce({cut_host_, kCallersPort}, "POST", path);
  }
  void CheckServed(const std::string& path) {
    const TestAnswer answer = Call(path);
    CHECK_EQUAL(200, answer.status);
    STRCMP_EQUAL(("served " + path).c_str(), answer.body.c_str());
  }
};

TEST(GatewayCut, RequestsAreServedThroughAnotherHostWhenConnectionsAreRefused) {
  // Nothing listens on the port of a peer that is gone.
  address_for_cut_host_ = RawPeer().endpoint();
  StartHosts();
  CheckServed("/in/first");
  CheckServed("/in/second");
  CHECK_EQUAL(2U, served_.size());
}

TEST(GatewayCut, RequestsAreServedThroughAnotherHostWhenConnectionsHang) {
  // The queue of connections is full, so further ones get no answer.
  RawPeer silent;
  std::vector<std::unique_ptr<UpstreamCall>> calls;
  UpstreamPool pool;
  calls.reserve(kQueuedConnections);
  for (std::size_t it = 0; it < kQueuedConnections; ++it)
    calls.push_back(pool.Start(silent.endpoint(), "x", {}, {}, LoopNow()));
  address_for_cut_host_ = silent.endpoint();
  StartHosts();
  CheckServed("/in/first");
  CheckServed("/in/second");
  CHECK_EQUAL(2U, served_.size());
}

TEST(GatewayCut, RequestsAreServedThroughAnotherHostWhenOldConnectionsLiveOn) {
  HttpListener::Handlers requests;
  std::unique_ptr<HttpListener> near;
  requests.on_request = [&near](const CallerRequestId& id, RequestHead& head,
                                std::string&) {
    HeaderFields fields;
    fields.Add("Keep-Alive", "timeout=60");
    near->Respond(id, 200, fields, "served " + head.target);
  };
  near = std::move(
      HttpListener::Listen({"127.0.0.43", 0}, std::move(requests)).value());
  address_for_cut_host_ = near->endpoint();
  StartHosts();
  CheckServed("/in/first");
  near->StopListening();
  const TimePoint later = LoopNow() + std::chrono::milliseconds(600);
  CHECK_TRUE(RunUntil([&] { return LoopNow() >= later; }));
  CheckServed("/in/second");
  CHECK_EQUAL(1U, served_.size());
}

TEST(GatewayCut, LongResponseComesWholeThroughAnotherHost) {
  address_for_cut_host_ = RawPeer().endpoint();
  StartHosts();
  const TestAnswer answer = Call("/in/long");
  CHECK_EQUAL(200, answer.status);
  CHECK(answer.body == std::string(64 * kLongPartBytes, 'a'));
}

TEST(GatewayCut, BrokenResponseBehindAnotherHostIsNeitherWholeNorRepeated) {
  address_for_cut_host_ = RawPeer().endpoint();
  StartHosts();
  CHECK_EQUAL(502, Call("/in/broken").status);
  CHECK_EQUAL(1U, served_.size());
}

TEST(GatewayCut, ServerLearnsThroughAnotherHostThatTheCallerHasGone) {
  address_for_cut_host_ = RawPeer().endpoint();
  StartHosts();
  RequestHead head;
  head.method = "POST";
  head.target = "/in/silent";
  head.fields.Add("Host", "h");
  UpstreamPool pool;
  auto call = pool.Start({cut_host_, kCallersPort}, WriteRequestHead(head, 0),
                         {}, {}, LoopNow());
  CHECK(RunUntil([this] { return served_.size() == 1; }));
  call.reset();
  CHECK(RunUntil([this] { return gone_ == 1; }));
}

TEST(GatewayCut, ServerThatSaidItLeavesGetsNothingThroughAnotherHost) {
  address_for_cut_host_ = RawPeer().endpoint();
  StartHosts();
  CHECK_EQUAL(200, Call("/in/leaving").status);
  CHECK_EQUAL(503, Call("/in/next").status);
  CHECK_EQUAL(503,
              CallOnce({other_host_, kCallersPort}, "POST", "/in/next").status);
  CHECK_EQUAL(1U, served_.size());
}

TEST(GatewayCut, RequestThatNoHostHasSignedIsNotPassedOn) {
  address_for_cut_host_ = RawPeer().endpoint();
  StartHosts();
  CHECK_EQUAL(403, CallOnce({other_host_, kRelayPort}, "POST", "/in/x").status);
  CHECK(served_.empty());
}

TEST(GatewayCut, RequestsThatNoHostCanServeAreRefusedAtOnce) {
  address_for_cut_host_ = RawPeer().endpoint();
  address_for_other_host_ = RawPeer().endpoint();
  StartHosts();
  CHECK_EQUAL(503, Call("/in/first").status);
  const TimePoint start = LoopNow();
  CHECK_EQUAL(503, Call("/in/second").status);
  CHECK_TRUE(LoopNow() - start < kLateRefusal);
}

}  // namespace briarlead
