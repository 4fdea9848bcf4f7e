#include <algorithm>
#include <array>
#include <deque>
#include <string>
#include <vector>

#include "briarlead_core/random_source.h"
#include "briarlead_forward/retry_budget.h"

// After everything that uses the global operator new.
#include <CppUTest/TestHarness.h>

namespace briarlead {

namespace {

constexpr std::size_t kHosts = 9;
constexpr RetryLimits kLimits = {0.2, 58, std::chrono::seconds(10)};
constexpr Duration kStep = std::chrono::milliseconds(10);
constexpr Duration kTellInterval = std::chrono::milliseconds(300);
constexpr int kSteps = 6000;

/// A message on its way between two hosts.
struct Word {
  TimePoint arrives;
  std::size_t from = 0;
  std::size_t to = 0;
  std::vector<RetryUse> uses;
};

/// What the requests of one run are like.
struct Load {
  double requests_a_step = 0.1;
  double extras_a_request = 1.0;
};

/// Nine hosts that share a budget, in virtual time, over links that delay, lose
/// and are cut.
class SharedBudget {
 public:
  explicit SharedBudget(std::uint64_t seed) : random_(seed) {
    for (RetryBudget& it : budgets_)
      it.SetHosts(kHosts);
  }

  void Run(const Load& load) {
    for (int step = 0; step < kSteps; ++step) {
      now_ += kStep;
      if (random_.Chance(0.002))
        cut_ = random_.Below(kHosts);
      Deliver();
      for (std::size_t host = 0; host < kHosts; ++host) {
        Ask(host, load);
        TellIfDue(host);
      }
    }
  }

  /// Returns the most that any window had beyond its limit.
  [[nodiscard]] double WorstExcess() const {
    double worst = -kLimits.slack;
    for (const TimePoint end : extras_) {
      const double excess = CountIn(extras_, end) -
                            kLimits.ratio * CountIn(requests_, end) -
                            kLimits.slack;
      worst = std::max(worst, excess);
    }
    return worst;
  }
  [[nodiscard]] std::size_t extras() const { return extras_.size(); }

 private:
  static double CountIn(const std::vector<TimePoint>& all, TimePoint end) {
    const auto first =
        std::upper_bound(all.begin(), all.end(), end - kLimits.window);
    const auto last = std::upper_bound(all.begin(), all.end(), end);
    return static_cast<double>(last - first);
  }

  /// Whether the cut lies between two hosts.
  [[nodiscard]] bool AreApart(std::size_t a, std::size_t b) const {
    return (a < cut_) != (b < cut_);
  }

  void Ask(std::size_t host, const Load& load) {
    // Failures come in bursts that all hosts see at once.
    const bool failing = now_.time_since_epoch().count() / 1'000'000 % 7 < 2;
    if (random_.Chance(load.requests_a_step)) {
      requests_.push_back(now_);
      budgets_[host].OnRequest(service_, now_);
    }
    if (!failing || !random_.Chance(load.extras_a_request))
      return;
    const unsigned count = 1 + static_cast<unsigned>(random_.Below(2));
    if (budgets_[host].TakeExtras(service_, count, now_))
      extras_.insert(extras_.end(), count, now_);
  }

  void TellIfDue(std::size_t host) {
    const std::uint64_t revision = budgets_[host].own_revision();
    if (revision == told_[host] && now_ < next_tell_[host])
      return;
    told_[host] = revision;
    next_tell_[host] = now_ + kTellInterval;
    for (std::size_t to = 0; to < kHosts; ++to) {
      if (to == host || AreApart(host, to) || random_.Chance(0.02))
        continue;
      const auto delay = std::chrono::milliseconds(2 + random_.Below(60));
      words_.push_back({now_ + delay, host, to, budgets_[host].Own(now_)});
    }
  }

  void Deliver() {
    std::erase_if(words_, [this](const Word& it) {
      if (it.arrives > now_)
        return false;
      budgets_[it.to].OnOtherHost(HostId(std::to_string(it.from)), it.uses,
                                  now_);
      return true;
    });
  }

  RandomSource random_;
  ServiceId service_{"models"};
  TimePoint now_{std::chrono::seconds(100)};
  std::array<RetryBudget, kHosts> budgets_ = MakeBudgets();
  std::array<std::uint64_t, kHosts> told_{};
  std::array<TimePoint, kHosts> next_tell_{};
  std::size_t cut_ = 0;
  std::deque<Word> words_;
  std::vector<TimePoint> requests_;
  std::vector<TimePoint> extras_;

  static std::array<RetryBudget, kHosts> MakeBudgets() {
    const RetryBudget it(kLimits);
    return {it, it, it, it, it, it, it, it, it};
  }
};

std::string Explain(std::uint64_t seed, const SharedBudget& hosts) {
  return "seed " + std::to_string(seed) + ": " +
         std::to_string(hosts.WorstExcess()) + " beyond the limit";
}

}  // namespace

TEST_GROUP(SharedRetryBudget){};

TEST(SharedRetryBudget, NoWindowHasMoreThanTheLimitsOfAllHosts) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    SharedBudget hosts(seed);
    hosts.Run({0.1, 1.0});
    CHECK_TRUE_TEXT(hosts.WorstExcess() <= 0, Explain(seed, hosts).c_str());
    CHECK(hosts.extras() > 100);
  }
}

TEST(SharedRetryBudget, FewRequestsKeepTheLimitsToo) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    SharedBudget hosts(seed);
    hosts.Run({0.005, 0.3});
    CHECK_TRUE_TEXT(hosts.WorstExcess() <= 0, Explain(seed, hosts).c_str());
  }
}

}  // namespace briarlead
