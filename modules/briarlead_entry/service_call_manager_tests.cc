#include "briarlead_entry/service_call_manager.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "briarlead_net/loop_clock.h"
#include "briarlead_wire/broken_responses_for_tests.h"
#include "briarlead_wire/scripted_server_for_tests.h"

// After everything that uses the global operator new.
#include <CppUTest/TestHarness.h>

namespace briarlead {

namespace {

constexpr std::string_view kSound =
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound";

/// A request whose response the test reads.
class FakeExchange : public HttpExchange {
 public:
  FakeExchange(std::string path, std::string key)
      : path_(std::move(path)), key_(std::move(key)) {}

  [[nodiscard]] std::string_view method() const override { return "POST"; }
  [[nodiscard]] std::string_view path() const override { return path_; }
  [[nodiscard]] std::string_view query() const override { return ""; }
  [[nodiscard]] std::optional<std::string_view> Header(
      std::string_view name) const override {
    if (key_.empty() || name != "Idempotency-Key")
      return std::nullopt;
    return key_;
  }
  [[nodiscard]] HeaderFields headers() const override { return {}; }
  [[nodiscard]] std::string_view body() const override { return "b"; }
  void Respond(HttpResponse response) override { answer = std::move(response); }
  void StartStream(int /*status*/,
                   HeaderFields /*headers*/,
                   std::string_view /*content_type*/) override {}
  void Write(std::string_view /*data*/) override {}
  void FinishStream() override {}
  void Abort() override {}
  [[nodiscard]] std::size_t pending_bytes() const override { return 0; }
  void SetGoneHandler(std::function<void()> /*handler*/) override {}
  void SetDrainedHandler(std::function<void()> /*handler*/) override {}
  [[nodiscard]] bool gone() const override { return false; }
  [[nodiscard]] bool responded() const override { return answer.has_value(); }

  std::optional<HttpResponse> answer;

 private:
  std::string path_;
  std::string key_;
};

}  // namespace

// Calls to one runner whose bytes the test writes. Claims are granted at once.
TEST_GROUP(ServiceCallManager) {
  Logger logger_{LogLevel::kError, [] { return std::string(); },
                 [](std::string_view) {}};
  ResponseScript script_;
  ScriptedServer runner_{script_};
  EntrySettings settings_;
  Blackboard blackboard_;
  HttpClient http_;
  ServiceSettings service_;
  std::unique_ptr<ServiceCallManager> manager_;
  std::uint64_t calls_ = 0;
  std::uint64_t proposals_ = 0;
  std::optional<BeginClaim> begun_;
  std::optional<RunOutcome> outcome_;  ///< Of the last claim.

  void setup() override {
    settings_.data_centre = DataCentreId("a");
    service_.service = ServiceId("desk");
    service_.path_prefix = "/desk";
    service_.repeatable = {{"POST", "/look"}};
    BackendServerRecord record;
    record.id = BackendServerId("r-1");
    record.data_centre = settings_.data_centre;
    record.service = service_.service;
    record.address = runner_.endpoint();
    blackboard_.servers.Put(record);
    manager_ = std::make_unique<ServiceCallManager>(
        EntryContext{settings_, blackboard_, logger_, http_},
        [this](const ControlRequestBody& it, TimePoint) {
          OnProposal(it);
          return ++proposals_;
        });
  }

  void OnProposal(const ControlRequestBody& proposal) {
    if (const auto* begin = std::get_if<BeginClaim>(&proposal))
      begun_ = *begin;
    else if (const auto* finish = std::get_if<FinishClaim>(&proposal))
      outcome_ = finish->outcome;
  }
  /// Grants the claim that was proposed, if any.
  void GrantClaim() {
    if (!begun_.has_value())
      return;
    const AttemptToken attempt = std::exchange(begun_, std::nullopt)->attempt;
    manager_->OnControlAnswer(
        proposals_, BeginResult{attempt, BeginVerdict::kGranted, 0, {}},
        LoopNow());
  }

  /// Makes a call that the runner answers by `script`.
  HttpResponse Call(const std::string& path, const ResponseScript& script,
                    const std::string& key = "") {
    script_ = script;
    const auto exchange = std::make_shared<FakeExchange>("/desk" + path, key);
    Entitlement use;
    use.answer_target = std::chrono::seconds(10);
    manager_->OnCall(
        exchange, service_, CustomerId("c"), use,
        RequestId{HostId("h"), 1, ++calls_}, [] {}, LoopNow());
    CHECK_TRUE(RunUntil([&] {
      runner_.Poll();
      GrantClaim();
      return exchange->responded();
    }));
    return *exchange->answer;
  }
};

TEST(ServiceCallManager, BrokenResponseIsNoAnswerAndTheCallIsNotRepeated) {
  for (const BrokenResponse& it : AllBrokenResponses()) {
    const std::size_t before = runner_.responses();
    const HttpResponse answer =
        Call("/post", {{it.bytes}, {std::string(kSound)}});
    LONGS_EQUAL_TEXT(504, answer.status, it.name.c_str());
    STRCMP_CONTAINS("outcome is unknown", answer.body.c_str());
    CHECK_EQUAL(before + 1, runner_.responses());
  }
}

TEST(ServiceCallManager, ClaimOfACallWithABrokenResponseEndsAsUnknown) {
  for (const BrokenResponse& it : AllBrokenResponses()) {
    outcome_.reset();
    const std::size_t before = runner_.responses();
    const HttpResponse answer =
        Call("/post", {{it.bytes}, {std::string(kSound)}}, it.name);
    LONGS_EQUAL_TEXT(504, answer.status, it.name.c_str());
    CHECK_EQUAL(before + 1, runner_.responses());
    CHECK_TRUE_TEXT(outcome_ == RunOutcome::kUnknown, it.name.c_str());
  }
}

TEST(ServiceCallManager, RepeatableCallIsSentAgainAfterABrokenResponse) {
  for (const BrokenResponse& it : AllBrokenResponses()) {
    const HttpResponse answer =
        Call("/look", {{it.bytes}, {std::string(kSound)}});
    LONGS_EQUAL_TEXT(200, answer.status, it.name.c_str());
    STRCMP_EQUAL("sound", answer.body.c_str());
  }
}

}  // namespace briarlead
