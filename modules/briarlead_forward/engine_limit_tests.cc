#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "briarlead_forward/forward_fixture.h"

namespace briarlead {

namespace {

constexpr int kTickMs = 5;
constexpr int kPrefillMs = 90;
constexpr int kStreamMs = 1500;
constexpr Duration kWindow = std::chrono::seconds(4);

}  // namespace

// One host before engines, some of which name a limit in their answers.
TEST_GROUP(EngineLimit) {
  ForwardFixture fixture_;
  RandomSource random_{SeedOr(41)};
  std::map<std::string, double> limits_;
  std::map<std::string, std::vector<TimePoint>> arrivals_;
  int refused_ = 0;
  int started_ = 0;
  int served_ = 0;

  struct Running {
    std::unique_ptr<ForwardFlow> flow;
    SendToServer send;
    TimePoint ends;
  };
  std::vector<Running> running_;

  void setup() override {
    const EntryHost host{{"10.0.0.1", 7001}, DataCentreId("here")};
    fixture_.permit_owners_.SetHosts({&host, 1});
    for (const char* it : {"p1", "p2"})
      fixture_.Announce(it, "models", EngineStage::kPrefill);
    for (const char* it : {"d1", "d2", "d3"})
      fixture_.Announce(it, "models", EngineStage::kDecode);
  }
  ResponseFacts Answer(const std::string& server) {
    ResponseFacts facts = {200, false, false, true};
    const auto found = limits_.find(server);
    facts.rate_limit = found == limits_.end() ? kNoRateLimit : found->second;
    return facts;
  }
  bool Follow(Running & it) {
    const auto commands = it.flow->TakeCommands();
    refused_ += static_cast<int>(CommandsOf<SendOwnResponse>(commands).size());
    const auto sent = CommandsOf<SendToServer>(commands);
    if (sent.empty())
      return !it.flow->done();
    it.send = sent.back();
    arrivals_[it.send.server.id.value()].push_back(fixture_.now_);
    const bool prefill = it.send.part == SendPart::kPrefill;
    it.ends = fixture_.now_ +
              std::chrono::milliseconds(prefill ? kPrefillMs : kStreamMs);
    return true;
  }
  void Finish(Running & it) {
    const std::string server = it.send.server.id.value();
    const AttemptNumber attempt = it.send.attempt;
    if (it.send.part == SendPart::kPrefill) {
      it.flow->OnPrefillHead(attempt, Answer(server), fixture_.now_);
      it.flow->OnPrefilled(attempt, "p1:80/h", fixture_.now_);
      return;
    }
    it.flow->OnHead(attempt, Answer(server), fixture_.now_);
    it.flow->OnBody(attempt, "id: 1\n\n", fixture_.now_);
    it.flow->OnComplete(attempt, fixture_.now_);
    ++served_;
  }
  void ExchangePermits() {
    for (const AskForPermits& it : fixture_.permits_.TakeQuestions()) {
      fixture_.permits_.OnReply(
          it.owner,
          fixture_.permit_issuer_.OnRequest(it.request, fixture_.now_),
          fixture_.now_);
      for (Running& request : running_)
        request.flow->OnPermitsChanged(fixture_.now_);
    }
  }
  void Run(int milliseconds, double per_second) {
    for (int it = 0; it < milliseconds; it += kTickMs) {
      fixture_.Advance(kTickMs);
      if (random_.Unit() < per_second * kTickMs / 1000) {
        Running request;
        request.flow = fixture_.MakeFlow("once");
        request.flow->Start(fixture_.now_);
        ++started_;
        if (Follow(request))
          running_.push_back(std::move(request));
      }
      ExchangePermits();
      std::vector<Running> others;
      for (Running& request : running_) {
        if (request.send.attempt != 0 && fixture_.now_ >= request.ends)
          Finish(request);
        else if (fixture_.now_ >= request.flow->NextWake())
          request.flow->OnWake(fixture_.now_);
        if (Follow(request))
          others.push_back(std::move(request));
      }
      running_ = std::move(others);
    }
  }
  int MostArrivals(const std::string& server, TimePoint since) {
    const std::vector<TimePoint>& all = arrivals_[server];
    std::ptrdiff_t most = 0;
    for (const TimePoint& first : all) {
      if (first < since)
        continue;
      most = std::max(
          most, std::count_if(all.begin(), all.end(), [&](const TimePoint& it) {
            return it >= first && it < first + kWindow;
          }));
    }
    return static_cast<int>(most);
  }
  static int Allowed(double limit) {
    return static_cast<int>(1.5 * limit * ToSeconds(kWindow)) + 5;
  }
};

TEST(EngineLimit, PrefillAndDecodeEnginesGetNoMoreThanTheyTake) {
  Run(3000, 6);
  limits_ = {{"p1", 1.0}, {"d1", 0.5}};
  Run(3000, 6);
  const TimePoint agreed = fixture_.now_;
  refused_ = 0;
  Run(20'000, 6);
  CHECK_TRUE(MostArrivals("p1", agreed) <= Allowed(1));
  CHECK_TRUE(MostArrivals("d1", agreed) <= Allowed(0.5));
  CHECK_EQUAL(0, refused_);
}

TEST(EngineLimit, RequestsWaitWhileAllDecodeEnginesAreLimited) {
  limits_ = {{"d1", 2.0}, {"d2", 2.0}, {"d3", 2.0}};
  Run(3000, 2);
  refused_ = 0;
  const TimePoint agreed = fixture_.now_;
  const int started_before = started_;
  const int served_before = served_;
  Run(20'000, 2);
  for (const char* it : {"d1", "d2", "d3"})
    CHECK_TRUE(MostArrivals(it, agreed) <= Allowed(2));
  CHECK_TRUE(served_ - served_before >= 0.85 * (started_ - started_before));
  CHECK_EQUAL(0, refused_);
}

}  // namespace briarlead
