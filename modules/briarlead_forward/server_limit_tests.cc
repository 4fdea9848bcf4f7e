#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "briarlead_forward/forward_fixture.h"

namespace briarlead {

namespace {

constexpr int kTickMs = 5;
constexpr int kServiceTimeMs = 15;
/// Time in which hosts must have agreed on a limit.
constexpr int kAgreementMs = 3000;
constexpr Duration kWindow = std::chrono::seconds(4);

/// A request that reached the server with a limit.
struct Arrival {
  TimePoint at;
};

}  // namespace

// Entry hosts before one service, whose server "s1" names a limit in its
// answers; the other servers name none.
TEST_GROUP(ServerLimit) {
  std::vector<std::unique_ptr<ForwardFixture>> hosts_;
  RandomSource random_{29};
  double limit_ = kNoRateLimit;
  std::deque<Arrival> arrivals_;

  struct Running {
    std::size_t host = 0;
    std::unique_ptr<ForwardFlow> flow;
    AttemptNumber attempt = 0;
    bool is_limited = false;
    TimePoint ends;
  };
  std::vector<Running> running_;

  void AddHosts(int n) {
    for (int it = 0; it < n; ++it) {
      hosts_.push_back(std::make_unique<ForwardFixture>());
      for (const char* server : {"s1", "s2", "s3", "s4"})
        hosts_.back()->Announce(server, "desk");
    }
  }
  TimePoint Now() {
    return hosts_.front()->now_;
  }
  /// Follows the commands of a request: notes a send, drops an ended request.
  bool Follow(Running & it) {
    const auto sent = CommandsOf<SendToServer>(it.flow->TakeCommands());
    if (sent.empty())
      return !it.flow->done();
    it.attempt = sent.back().attempt;
    it.is_limited = sent.back().server.id.value() == "s1";
    it.ends = Now() + std::chrono::milliseconds(kServiceTimeMs);
    if (it.is_limited)
      arrivals_.push_back({Now()});
    return true;
  }
  void Answer(Running & it) {
    ResponseFacts facts = {200, false, false, true};
    facts.rate_limit = it.is_limited ? limit_ : kNoRateLimit;
    it.flow->OnHead(it.attempt, facts, Now());
    it.flow->OnComplete(it.attempt, Now());
  }
  void Start(std::size_t host) {
    Running request;
    request.host = host;
    request.flow = hosts_[host]->MakeFlow("unsafe");
    request.flow->Start(Now());
    if (Follow(request))
      running_.push_back(std::move(request));
  }
  /// Passes `milliseconds` with `per_second` requests to all hosts together.
  void Run(int milliseconds, double per_second) {
    for (int it = 0; it < milliseconds; it += kTickMs) {
      for (const auto& host : hosts_)
        host->Advance(kTickMs);
      if (random_.Unit() < per_second * kTickMs / 1000)
        Start(random_.Below(hosts_.size()));
      std::vector<Running> others;
      for (Running& request : running_) {
        if (request.attempt != 0 && Now() >= request.ends)
          Answer(request);
        if (Follow(request))
          others.push_back(std::move(request));
      }
      running_ = std::move(others);
    }
  }
  /// Returns the most requests that reached the server within 4 s since
  /// `since`.
  int MostArrivals(TimePoint since) {
    int most = 0;
    for (const Arrival& first : arrivals_) {
      int n = 0;
      for (const Arrival& it : arrivals_)
        n += it.at >= first.at && it.at < first.at + kWindow ? 1 : 0;
      most = first.at >= since ? std::max(most, n) : most;
    }
    return most;
  }
  /// Returns what the users allow within kWindow.
  [[nodiscard]] int Allowed() const {
    return static_cast<int>(1.5 * limit_ * ToSeconds(kWindow)) + 5;
  }
};

TEST(ServerLimit, AllHostsTogetherKeepToTheLimitThatAServerNames) {
  AddHosts(9);
  Run(2000, 70);
  limit_ = 3.8;
  Run(kAgreementMs, 70);
  const TimePoint agreed = Now();
  Run(12'000, 70);
  CHECK_TRUE(MostArrivals(agreed) <= Allowed());
}

}  // namespace briarlead
