#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "briarlead_gateway/gateway_for_tests.h"
#include "briarlead_gateway/gateway_process.h"
#include "briarlead_net/address_transport.h"
#include "briarlead_wire/bearer_field.h"

// After everything that uses the global operator new.
#include "briarlead_wire/call_for_tests.h"

namespace briarlead {

namespace {

constexpr std::uint16_t kControlPeerPort = 28690;
constexpr std::uint16_t kEntryPeerPort = 28691;
constexpr std::uint16_t kRelayPort = 28692;
constexpr std::uint16_t kCallersPort = 28693;
constexpr std::uint16_t kReadyPort = 28694;
const std::string kAddress = "127.0.0.51";

/// Returns a codec whose lists have one account, "a" with the key k1, and a
/// public route below "/open/".
RequestCodec MakeAccountCodec() {
  RequestCodec codec = MakeTestCodec();
  codec.read_routes = [](std::string_view text, Findings& findings) {
    std::optional<RouteList> list = ReadTestRoutes(text, findings);
    Route open = list->routes.front();
    open.path_prefix = "/open/";
    open.is_public = true;
    list->routes.push_back(open);
    ClientAccount account;
    account.id = CustomerId("a");
    account.keys = {DigestOfKey("k1")};
    list->accounts = {{account}};
    return list;
  };
  codec.read_request = [read = codec.read_request](const RequestHead& head) {
    RequestFacts facts = read(head);
    facts.key = ReadBearerKey(head.fields);
    return facts;
  };
  codec.write_request = [](const RequestHead& caller, const SendToServer& it) {
    RequestHead head = caller;
    head.fields.Set("Account", it.account ? it.account->id.value() : "none");
    return head;
  };
  return codec;
}

}  // namespace

// A gateway whose list has accounts, with a backend server and a control host
// run by the test.
TEST_GROUP(GatewayAccount) {
  std::string log_;
  Logger logger_{LogLevel::kInfo, [] { return std::string(); },
                 [this](std::string_view line) { log_ += line; }};
  std::unique_ptr<HttpListener> server_;
  std::unique_ptr<PeerTransport> control_;
  std::unique_ptr<GatewayProcess> gateway_;
  /// Version that the leader tells in answers to lease requests; none: silent.
  std::optional<std::uint64_t> leader_version_;
  std::uint64_t list_version_ = 2;
  std::uint64_t reported_version_ = 0;
  int lease_requests_ = 0;
  std::vector<std::string> accounts_;  ///< Of the requests at the server.

  void setup() override {
    HttpListener::Handlers requests;
    requests.on_request = [this](const CallerRequestId& id, RequestHead& head,
                                 std::string&) {
      accounts_.emplace_back(head.fields.Find("Account").value_or(""));
      server_->Respond(id, 200, {}, "served");
    };
    server_ = std::move(
        HttpListener::Listen({"127.0.0.53", 0}, std::move(requests)).value());
    PeerTransport::Handlers frames;
    frames.on_frame = [this](const Frame& it) { OnFrame(it); };
    frames.on_link_failure = [](const Endpoint&, LinkFailure) {};
    control_ = std::move(OpenAddressTransport({"127.0.0.54", kControlPeerPort},
                                              TestKey(), std::move(frames))
                             .value());
  }
  void teardown() override {
    gateway_.reset();
    control_.reset();
    server_.reset();
    while (g_main_context_iteration(nullptr, FALSE) != FALSE) {
    }
  }

  void Start(bool strict, Duration revocation = std::chrono::seconds(60)) {
    RoutingSettings settings =
        MakeTestSettings(kAddress, "127.0.0.54",
                         {kControlPeerPort, kEntryPeerPort, kRelayPort,
                          kCallersPort, kReadyPort});
    settings.strict_revocation = strict;
    settings.revocation_time = revocation;
    gateway_ = std::make_unique<GatewayProcess>(settings, MakeAccountCodec(),
                                                logger_, [](int) {});
    CHECK_TRUE(gateway_->Start().has_value());
    CHECK_EQUAL(503, Call("Bearer k1"));
    CHECK_TRUE(RunUntil([this] { return reported_version_ > 0; }));
  }

  void OnFrame(const Frame& frame) {
    const auto message = DecodeRoutingMessage(frame.payload);
    if (const auto* it = std::get_if<KeyLeaseRequest>(&message.value())) {
      ++lease_requests_;
      if (leader_version_.has_value()) {
        control_->SendDatagram(
            frame.sender.peers, Channel::kRouting,
            EncodeRoutingMessage(KeyLeaseReply{it->number, *leader_version_}));
      }
      return;
    }
    const auto* heartbeat = std::get_if<HostHeartbeat>(&message.value());
    if (heartbeat == nullptr)
      return;
    reported_version_ = heartbeat->routes_version;
    RoutingUpdate update;
    update.routes = std::to_string(list_version_) + " desk";
    ServerRecord record;
    record.id = BackendServerId("i-1");
    record.service = ServiceId("desk");
    record.address = server_->endpoint();
    record.data_centre = DataCentreId("a");
    record.born_ms = 1;
    record.sequence = 1;
    update.servers = {{record, Duration::zero()}};
    control_->Send(frame.sender.peers, Channel::kRouting,
                   EncodeRoutingMessage(update));
  }

  static TestAnswer AnswerTo(const HeaderFields& fields,
                             const std::string& path = "/in/x") {
    return CallOnce({kAddress, kCallersPort}, "POST", path, "", fields);
  }
  static int Call(const std::string& authorization) {
    return AnswerTo({{"Authorization", authorization}}).status;
  }
  bool CallUntil(int status, const std::string& authorization) {
    for (int it = 0; it < 300; ++it) {
      if (Call(authorization) == status)
        return true;
      Wait(std::chrono::milliseconds(20));
    }
    return false;
  }
  static void Wait(Duration time) {
    const TimePoint end = LoopNow() + time;
    RunUntil([end] { return LoopNow() >= end; });
  }
  /// Sends a request that another host passes on for `account`; returns why it
  /// was refused, "" if it was not.
  static std::string Relay(const std::optional<RelayedAccount>& account) {
    const RelayCodec codec(FrameKey::FromSecret(TestKey()).value());
    RequestHead head;
    head.fields.Add("Host", "h");
    head.method = "POST";
    head.target = "/in/x";
    codec.SignRequest(head, "", {{BackendServerId("i-1"), 1}, false, account});
    head.fields.Remove("Host");
    // CallOnce() adds it first, as it was signed.
    TestAnswer answer =
        CallOnce({kAddress, kRelayPort}, "POST", "/in/x", "", head.fields);
    ResponseHead response;
    response.fields = answer.fields;
    const auto refusal = RelayCodec::ReadResponse(response);
    return refusal.has_value() ? std::string(ToString(*refusal)) : "";
  }
};

TEST(GatewayAccount, OnlyValidKeysAreServedAndTheServerGetsTheAccount) {
  Start(false);
  CHECK_EQUAL(200, Call("bearer k1"));
  leader_version_ = 2;
  CHECK_TRUE(CallUntil(401, "Bearer k2"));
  const TestAnswer missing = AnswerTo({});
  CHECK_EQUAL(401, missing.status);
  STRCMP_EQUAL("key_missing", missing.body.c_str());
  CHECK(missing.fields.Find("WWW-Authenticate") == "Bearer");
  CHECK_EQUAL(401, Call("Bearer k2"));
  CHECK_EQUAL(401, Call("Bearer "));
  CHECK_EQUAL(401, Call("Basic k1"));
  CHECK_EQUAL(401, Call("Bearer " + std::string(1020, 'k')));
  CHECK_EQUAL(401, AnswerTo({{"Authorization", "Bearer k1"},
                             {"authorization", "Bearer k1"}})
                       .status);
  CHECK_EQUAL(200, AnswerTo({}, "/open/x").status);
  CHECK_EQUAL(200,
              AnswerTo({{"Authorization", "Bearer k2"}}, "/open/x").status);
  CHECK(accounts_ == (std::vector<std::string>{"a", "none", "none"}));
  // Without strict revocation, keys don't wait for the leader's answer.
  CHECK(lease_requests_ > 0);
  STRCMP_CONTAINS("key_too_long", log_.c_str());
  CHECK(log_.find("k1") == std::string::npos);
  CHECK(log_.find("k2") == std::string::npos);
}

TEST(GatewayAccount, KeysAreUsedOnlyWhileTheLeaderConfirmsTheList) {
  Start(true, std::chrono::milliseconds(1500));
  const TestAnswer refused = AnswerTo({{"Authorization", "Bearer k1"}});
  CHECK_EQUAL(503, refused.status);
  STRCMP_EQUAL("key_lease_ended", refused.body.c_str());
  CHECK(refused.fields.Find("Retry-After") == "0.50");
  // A list that the leader has replaced is not confirmed.
  leader_version_ = 3;
  Wait(std::chrono::milliseconds(600));
  CHECK_EQUAL(503, Call("Bearer k1"));
  CHECK_EQUAL(200, AnswerTo({}, "/open/x").status);
  list_version_ = 3;
  CHECK_TRUE(CallUntil(200, "Bearer k1"));
  leader_version_.reset();
  CHECK_TRUE(CallUntil(503, "Bearer k1"));
  CHECK_EQUAL(200, AnswerTo({}, "/open/x").status);
  STRCMP_CONTAINS("key_lease_ended", log_.c_str());
}

// A new key that this host doesn't know yet must not look like a wrong one.
TEST(GatewayAccount, AnUnknownKeyIsRefusedForGoodOnlyByTheNewestList) {
  Start(true);
  CHECK_EQUAL(503, Call("Bearer k2"));
  leader_version_ = 2;
  CHECK_TRUE(CallUntil(200, "Bearer k1"));
  CHECK_TRUE(CallUntil(401, "Bearer k2"));
  leader_version_ = 3;
  CHECK_TRUE(CallUntil(503, "Bearer k2"));
}

// Guards against routes that are denied by an old list (CONFIG): other control
// hosts answer, too, but only the leader knows which list is in force.
TEST(GatewayAccount, RouteThatANewerListMayHaveIsNotDenied) {
  Start(false);
  CHECK_EQUAL(503, AnswerTo({}, "/elsewhere").status);
  leader_version_ = 2;
  CHECK_TRUE(RunUntil([] { return AnswerTo({}, "/elsewhere").status == 404; }));
  leader_version_ = 3;
  CHECK_TRUE(RunUntil([] { return AnswerTo({}, "/elsewhere").status == 503; }));
  CHECK_EQUAL(200, Call("Bearer k1"));
  list_version_ = 3;
  CHECK_TRUE(RunUntil([] { return AnswerTo({}, "/elsewhere").status == 404; }));
}

// The other host may have been frozen since it checked the key.
TEST(GatewayAccount, RequestsOfAccountsAreRelayedOnlyWithALease) {
  Start(true);
  const RelayedAccount account{CustomerId("a"), DigestOfKey("k1")};
  STRCMP_EQUAL("no_lease", Relay(account).c_str());
  STRCMP_EQUAL("", Relay(std::nullopt).c_str());
  CHECK_EQUAL(1U, accounts_.size());
  leader_version_ = 2;
  CHECK_TRUE(CallUntil(200, "Bearer k1"));
  STRCMP_EQUAL("", Relay(account).c_str());
  const RelayedAccount revoked{CustomerId("a"), DigestOfKey("k2")};
  STRCMP_EQUAL("no_lease", Relay(revoked).c_str());
  CHECK_EQUAL(3U, accounts_.size());
}

}  // namespace briarlead
