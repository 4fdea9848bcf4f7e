#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "briarlead_gateway/control_for_tests.h"
#include "briarlead_gateway/gateway_for_tests.h"
#include "briarlead_gateway/gateway_process.h"
#include "briarlead_net/loop_clock.h"
#include "briarlead_wire/broken_responses_for_tests.h"
#include "briarlead_wire/scripted_server_for_tests.h"

// After everything that uses the global operator new.
#include "briarlead_wire/call_for_tests.h"

namespace briarlead {

namespace {

constexpr std::uint16_t kControlPeerPort = 28740;
constexpr std::uint16_t kEntryPeerPort = 28741;
constexpr std::uint16_t kRelayPort = 28742;
constexpr std::uint16_t kCallersPort = 28743;
constexpr std::uint16_t kReadyPort = 28744;
const std::string kControlHost = "127.0.0.64";
const std::string kHost = "127.0.0.61";
/// The host that passes requests on for kHost where that is cut off.
const std::string kOtherHost = "127.0.0.62";

/// Retries that each request earns: more than one, so that all may be retried.
constexpr double kRetryRatio = 10;
constexpr std::string_view kPrefilled =
    "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nhandle";
constexpr Duration kKvResultLife = std::chrono::milliseconds(500);
/// More than goes out before the server's answer is there.
constexpr std::size_t kLongBodyBytes = 4'000'000;
constexpr std::string_view kStamp = "Stamp: s\r\n";
const std::string kBroken = ResponseOf("HTTP/1.1 000 X", "");
/// Fields of a server that leaves and wants no requests.
constexpr std::string_view kNotices =
    "Leaving: 1\r\nNot-Run: 1\r\nRetry-After: 60\r\n";
constexpr std::string_view kSound =
    "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=60\r\nContent-Length: 5\r\n\r\n"
    "sound";
constexpr std::string_view kSoundStream =
    "HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\nid: 1\ndata: x\n\n";

/// A response without a length of which `body` was sent before a reset, while
/// the request was still being written.
ScriptedResponse ResetAfter(std::string_view body) {
  return {std::string(kOk) + "\r\nStamp: s\r\n\r\n" + std::string(body),
          ScriptedResponse::End::kReset, true};
}

/// Returns a codec whose service is one of engines.
RequestCodec MakeEngineCodec() {
  RequestCodec codec = MakeTestCodec();
  codec.read_routes = [](std::string_view text, Findings& findings) {
    std::optional<RouteList> list = ReadTestRoutes(text, findings);
    list->services[0].engine = EngineTraits{4, 100'000, 1, 1, kKvResultLife};
    for (Route& it : list->routes)
      it.model_request = true;
    return list;
  };
  codec.read_request = [read = codec.read_request](const RequestHead& head) {
    RequestFacts facts = read(head);
    facts.prompt_tokens = 1000;
    facts.max_output_tokens = 10;
    facts.has_token_counts = true;
    return facts;
  };
  codec.read_prefill_result =
      [](std::string_view body) -> std::optional<std::string> {
    if (body != "handle")
      return std::nullopt;
    return std::string(body);
  };
  return codec;
}

}  // namespace

// What callers get when servers send what is no answer: one entry host and two
// servers, or, where the host is cut off from both, another one between them.
TEST_GROUP(BrokenAnswers) {
  std::string log_;
  Logger logger_{LogLevel::kInfo, [] { return std::string(); },
                 [this](std::string_view line) {
                   log_ += line;
                   log_ += '\n';
                 }};
  ResponseScript script_;
  ScriptedServer server_{script_};
  ScriptedServer other_server_{script_};
  ScriptedServer third_server_{script_};  ///< An engine.
  /// Nothing listens on the port of a peer that is gone.
  const Endpoint nowhere_ = RawPeer().endpoint();
  bool is_cut_off_ = false;
  bool has_other_server_ = true;
  /// The first server prefills, the others decode.
  bool has_engines_ = false;
  int calls_ = 0;
  std::unique_ptr<ControlForTests> control_;
  std::vector<std::unique_ptr<GatewayProcess>> gateways_;

  void setup() override {
    control_ = std::make_unique<ControlForTests>(
        Endpoint{kControlHost, kControlPeerPort},
        [this](const std::string& host) { return UpdateFor(host); });
  }
  void teardown() override {
    gateways_.clear();
    control_.reset();
    while (g_main_context_iteration(nullptr, FALSE) != FALSE) {
    }
  }

  [[nodiscard]] RoutingUpdate UpdateFor(const std::string& host) const {
    RoutingUpdate update;
    update.routes = "2 desk 5000";
    update.hosts_digest = 1;
    update.entry_hosts = {{{kHost, kEntryPeerPort}, DataCentreId("a")}};
    if (is_cut_off_)
      update.entry_hosts.push_back(
          {{kOtherHost, kEntryPeerPort}, DataCentreId("a")});
    const bool reaches_none = is_cut_off_ && host == kHost;
    if (has_engines_) {
      update.servers = {Engine("i-1", EngineStage::kPrefill, server_),
                        Engine("i-2", EngineStage::kDecode, other_server_),
                        Engine("i-3", EngineStage::kDecode, third_server_)};
      return update;
    }
    update.servers = {
        {MakeTestServer("i-1", reaches_none ? nowhere_ : server_.endpoint()),
         Duration::zero()}};
    if (has_other_server_) {
      update.servers.push_back(
          {MakeTestServer("i-2",
                          reaches_none ? nowhere_ : other_server_.endpoint()),
           Duration::zero()});
    }
    return update;
  }

  static AnnouncedServer Engine(const std::string& id, EngineStage stage,
                                const ScriptedServer& server) {
    ServerRecord record = MakeTestServer(id, server.endpoint());
    record.stage = stage;
    record.slots = 4;
    return {record, Duration::zero()};
  }

  void Start() {
    std::vector<std::string> hosts = {kHost};
    if (is_cut_off_)
      hosts.push_back(kOtherHost);
    for (const std::string& it : hosts) {
      RoutingSettings settings =
          MakeTestSettings(it, kControlHost,
                           {kControlPeerPort, kEntryPeerPort, kRelayPort,
                            kCallersPort, kReadyPort});
      settings.retry_ratio = kRetryRatio;
      gateways_.push_back(std::make_unique<GatewayProcess>(
          settings, has_engines_ ? MakeEngineCodec() : MakeTestCodec(), logger_,
          [](int) {}));
      CHECK_TRUE(gateways_.back()->Start().has_value());
    }
    CHECK_TRUE(
        RunUntil([&] { return control_->ready_hosts() == gateways_.size(); }));
  }

  void Poll() {
    server_.Poll();
    other_server_.Poll();
    third_server_.Poll();
  }
  [[nodiscard]] std::size_t responses() const {
    return server_.responses() + other_server_.responses();
  }
  /// Sends a request below `prefix` whose servers answer by `script`. Each has
  /// a caller and a path of its own: requests that end servers again and again
  /// are blocked.
  TestAnswer Call(const std::string& prefix, const ResponseScript& script,
                  const std::string& body = "") {
    script_ = script;
    const std::string name = std::to_string(++calls_);
    return CallOnce({kHost, kCallersPort}, "POST", prefix + name, body,
                    {{"Caller", name}, {"Id", name}}, [this] { Poll(); });
  }

  /// Returns whether a line of the log begins with `text`.
  [[nodiscard]] bool Logged(const std::string& text) const {
    return log_.find(" info " + text) != std::string::npos;
  }

  /// Checks what the caller of a request that may run once gets.
  void CheckUnsafe(const std::string& prefix, const BrokenResponse& broken) {
    const std::size_t before = responses();
    const TestAnswer answer = Call(prefix, {{broken.bytes}});
    const char* name = broken.name.c_str();
    CHECK_EQUAL_TEXT(502, answer.status, name);
    CHECK_FALSE_TEXT(answer.fields.Find("Stamp").has_value(), name);
    CHECK_EQUAL_TEXT(before + 1, responses(), name);
    CHECK_TRUE_TEXT(script_.empty(), name);
  }
  /// Checks that a request that may run twice gets the answer of another
  /// server.
  void CheckRepeatable(const std::string& prefix, std::string_view sound,
                       const BrokenResponse& broken) {
    const std::size_t at_first = server_.responses();
    const std::size_t at_other = other_server_.responses();
    const TestAnswer answer =
        Call(prefix, {{broken.bytes}, {std::string(sound)}});
    const char* name = broken.name.c_str();
    CHECK_EQUAL_TEXT(200, answer.status, name);
    CHECK_TRUE_TEXT(sound.ends_with(answer.body), name);
    CHECK_FALSE_TEXT(answer.fields.Find("Stamp").has_value(), name);
    CHECK_EQUAL_TEXT(at_first + 1, server_.responses(), name);
    CHECK_EQUAL_TEXT(at_other + 1, other_server_.responses(), name);
  }
  /// Checks all kinds of requests.
  void CheckAll(const std::vector<BrokenResponse>& all) {
    for (const BrokenResponse& it : all) {
      CheckUnsafe("/in/", it);
      CheckUnsafe("/once/", it);
      CheckRepeatable("/safe/", kSound, it);
      CheckRepeatable("/stream/", kSoundStream, it);
    }
  }
  /// Checks an answer with a trailer that comes in one piece: its fields came
  /// into the head.
  void CheckTrailer() {
    const TestAnswer answer =
        Call("/in/", {{std::string(kOk) + "\r\nTransfer-Encoding: chunked" +
                       "\r\n\r\n2\r\nok\r\n0\r\n" + std::string(kStamp) +
                       std::string(kNotices) + "\r\n"}});
    CHECK_EQUAL(200, answer.status);
    STRCMP_EQUAL("ok", answer.body.c_str());
    CHECK_FALSE(answer.fields.Find("Stamp").has_value());
    CHECK_FALSE(answer.fields.Find("Leaving").has_value());
    CHECK_EQUAL(200, Call("/safe/", {{std::string(kSound)}}).status);
  }
  /// Checks answers that a reset cuts while a long request is written.
  void CheckResets() {
    const std::string body(kLongBodyBytes, 'x');
    for (const std::size_t n : {0U, 1U, 1000U, 60000U}) {
      const ScriptedResponse part = ResetAfter(std::string(n, 'p'));
      const TestAnswer once = Call("/in/", {part}, body);
      CHECK_EQUAL(502, once.status);
      CHECK_FALSE(once.fields.Find("Stamp").has_value());
      const TestAnswer repeated =
          Call("/safe/", {part, {std::string(kSound)}}, body);
      CHECK_EQUAL(200, repeated.status);
      STRCMP_EQUAL("sound", repeated.body.c_str());
      CHECK_TRUE(script_.empty());
    }
  }
  /// Checks streams that a reset cuts behind a whole event.
  void CheckResetStreams() {
    const std::string body(kLongBodyBytes, 'x');
    const ScriptedResponse part = ResetAfter("id: 1\ndata: a\n\n");
    const TestAnswer once = Call("/once/", {part}, body);
    CHECK_EQUAL(200, once.status);
    CHECK_FALSE(once.is_whole);
    const ScriptedResponse rest = {
        "HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\nid: 2\ndata: b\n\n"};
    const TestAnswer resumed = Call("/stream/", {part, rest}, body);
    CHECK_TRUE(resumed.is_whole);
    STRCMP_EQUAL("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", resumed.body.c_str());
  }
};

TEST(BrokenAnswers, ResponseWithoutAStatusReachesNoCaller) {
  Start();
  CheckAll(ResponsesWithoutAStatus(kStamp));
}

TEST(BrokenAnswers, ResponseWithoutAStatusReachesNoCallerThroughAHost) {
  is_cut_off_ = true;
  Start();
  CheckAll(ResponsesWithoutAStatus(kStamp));
}

TEST(BrokenAnswers, ResponseWithABadFieldNameReachesNoCaller) {
  Start();
  CheckAll(ResponsesWithABadFieldName(kStamp));
}

TEST(BrokenAnswers, ResponseWithABadFieldNameReachesNoCallerThroughAHost) {
  is_cut_off_ = true;
  Start();
  CheckAll(ResponsesWithABadFieldName(kStamp));
}

TEST(BrokenAnswers, ResponseWithABadEncodingReachesNoCaller) {
  Start();
  CheckAll(ResponsesWithABadEncoding(kStamp));
}

TEST(BrokenAnswers, ResponseWithABadEncodingReachesNoCallerThroughAHost) {
  is_cut_off_ = true;
  Start();
  CheckAll(ResponsesWithABadEncoding(kStamp));
}

TEST(BrokenAnswers, ResponseThatSwitchesProtocolsReachesNoCaller) {
  Start();
  CheckAll(ResponsesThatSwitchProtocols(kStamp));
}

TEST(BrokenAnswers, ResponseThatSwitchesProtocolsReachesNoCallerThroughAHost) {
  is_cut_off_ = true;
  Start();
  CheckAll(ResponsesThatSwitchProtocols(kStamp));
}

TEST(BrokenAnswers, BytesThatBeginNoResponseEndTheCallAtOnce) {
  Start();
  CheckAll(BytesThatBeginNoResponse());
}

TEST(BrokenAnswers, BytesThatBeginNoResponseEndTheCallAtOnceThroughAHost) {
  is_cut_off_ = true;
  Start();
  CheckAll(BytesThatBeginNoResponse());
}

TEST(BrokenAnswers, PartOfAnAnswerBeforeAResetReachesNoCaller) {
  Start();
  CheckResets();
}

TEST(BrokenAnswers, PartOfAnAnswerBeforeAResetReachesNoCallerThroughAHost) {
  is_cut_off_ = true;
  Start();
  CheckResets();
}

TEST(BrokenAnswers, StreamThatAResetCutsDoesNotLookWhole) {
  Start();
  CheckResetStreams();
}

TEST(BrokenAnswers, StreamThatAResetCutsDoesNotLookWholeThroughAHost) {
  is_cut_off_ = true;
  Start();
  CheckResetStreams();
}

// The prompt may be read again, by the engine that decodes.
TEST(BrokenAnswers, BrokenResponseOfAPrefillIsNoResult) {
  has_engines_ = true;
  Start();
  for (const BrokenResponse& it : AllBrokenResponses(kStamp)) {
    for (const char* prefix : {"/stream/", "/once/"}) {
      const TestAnswer answer =
          Call(prefix, {{it.bytes}, {std::string(kSoundStream)}});
      CHECK_EQUAL_TEXT(200, answer.status, it.name.c_str());
      CHECK_TRUE(answer.is_whole && kSoundStream.ends_with(answer.body));
      CHECK_TRUE(script_.empty());
    }
  }
}

TEST(BrokenAnswers, ResultOfAPrefillThatAResetCutsIsNone) {
  has_engines_ = true;
  Start();
  const std::string body(kLongBodyBytes, 'x');
  const TestAnswer answer =
      Call("/once/", {ResetAfter("handle"), {std::string(kSoundStream)}}, body);
  CHECK_EQUAL(200, answer.status);
  CHECK_TRUE(answer.is_whole && kSoundStream.ends_with(answer.body));
  CHECK_TRUE(script_.empty());
}

TEST(BrokenAnswers, BrokenResponseOfADecodeReachesNoCaller) {
  has_engines_ = true;
  Start();
  const ScriptedResponse prefilled = {std::string(kPrefilled)};
  for (const BrokenResponse& it : AllBrokenResponses(kStamp)) {
    const TestAnswer once = Call("/once/", {prefilled, {it.bytes}});
    CHECK_EQUAL_TEXT(502, once.status, it.name.c_str());
    CHECK_TRUE(script_.empty());
    const TestAnswer resumed =
        Call("/stream/",
             {prefilled, {it.bytes}, prefilled, {std::string(kSoundStream)}});
    CHECK_EQUAL_TEXT(200, resumed.status, it.name.c_str());
    CHECK_TRUE(resumed.is_whole && kSoundStream.ends_with(resumed.body));
    CHECK_TRUE(script_.empty());
  }
}

TEST(BrokenAnswers, LogTellsWhoseResponseWasBroken) {
  Start();
  Call("/in/", {{kBroken}});
  CHECK_TRUE(Logged("connection_failed request=1 attempt=1 failure=not_http"));
}

TEST(BrokenAnswers, LogTellsWhoseResponseWasBrokenBehindAnotherHost) {
  is_cut_off_ = true;
  Start();
  Call("/in/", {{kBroken}});
  CHECK_TRUE(Logged("relay_failed request=1 server=i-") &&
             log_.find("failure=not_http") != std::string::npos);
}

TEST(BrokenAnswers, WhatABrokenResponseSaysOfItsServerIsNotBelieved) {
  Start();
  for (const BrokenResponse& it : AllBrokenResponses(kNotices)) {
    const std::size_t before = responses();
    Call("/safe/", {{it.bytes}, {it.bytes}});
    CHECK_EQUAL_TEXT(before + 2, responses(), it.name.c_str());
    CHECK_EQUAL(200, Call("/in/", {{std::string(kSound)}}).status);
  }
}

TEST(BrokenAnswers, TrailerOfAnAnswerIsNeitherPassedOnNorBelieved) {
  Start();
  CheckTrailer();
}

TEST(BrokenAnswers, TrailerOfAnAnswerThroughAHostIsNeitherPassedOnNorBelieved) {
  is_cut_off_ = true;
  Start();
  CheckTrailer();
}

TEST(BrokenAnswers, ConnectionOfABrokenResponseIsNotUsedAgain) {
  has_other_server_ = false;
  Start();
  for (const BrokenResponse& it : AllBrokenResponses()) {
    const std::size_t before = server_.used_connections();
    // Idempotent requests, as those may use a connection that is idle longer.
    CHECK_EQUAL(200, Call("/safe/", {{std::string(kSound)}}).status);
    CHECK_EQUAL_TEXT(502, Call("/safe/", {{it.bytes}}).status, it.name.c_str());
    CHECK_EQUAL(before + 1, server_.used_connections());
    // It is closed, though the server would keep it.
    CHECK_TRUE(RunUntil([this] { return server_.UsedConnectionsEnded(); }));
  }
}

}  // namespace briarlead
