#include <algorithm>
#include <array>
#include <deque>
#include <string>
#include <vector>

#include "briarlead_core/random_source.h"
#include "briarlead_forward/retry_budget.h"

// After everything that usages the global operator new.
#include <CppUTest/TestHarness.h>

namespace briarlead {

namespace {

constexpr std::size_t kHosts = 9;
constexpr RetryLimits kLimits = {0.2, 58, std::chrono::seconds(10)};
constexpr Duration kStep = std::chrono::milliseconds(10);
constexpr Duration kSendInterval = std::chrono::milliseconds(300);
constexpr int kSteps = 6000;

/// A message on its way between two hosts.
struct Message {
  TimePoint arrives;
  std::size_t from = 0;
  std::size_t to = 0;
  std::vector<RetryUsage> usages;
};

/// The load of one simulation run, per host.
struct Load {
  double requests_per_step = 0.1;
  double retry_probability = 1.0;
};

/// Simulates nine hosts that share a budget in virtual time. Messages between
/// them are delayed, lost, and stopped by network partitions.
class SharedBudget {
 public:
  explicit SharedBudget(std::uint64_t seed) : random_(seed) {
    for (RetryBudget& it : budgets_)
      it.SetHostCount(kHosts, now_ - std::chrono::seconds(60));
  }

  void Run(const Load& load) {
    for (int step = 0; step < kSteps; ++step) {
      now_ += kStep;
      if (random_.Chance(0.002))
        partition_boundary_ = random_.Below(kHosts);
      Deliver();
      for (std::size_t host = 0; host < kHosts; ++host) {
        MakeRequests(host, load);
        SendIfDue(host);
      }
    }
  }

  /// Returns the largest excess of retries over the limit in any window.
  [[nodiscard]] double WorstExcess() const {
    double worst = -kLimits.slack;
    for (const TimePoint end : retries_) {
      const double excess = CountIn(retries_, end) -
                            kLimits.ratio * CountIn(requests_, end) -
                            kLimits.slack;
      worst = std::max(worst, excess);
    }
    return worst;
  }
  [[nodiscard]] std::size_t retries() const { return retries_.size(); }

 private:
  static double CountIn(const std::vector<TimePoint>& all, TimePoint end) {
    const auto first =
        std::upper_bound(all.begin(), all.end(), end - kLimits.window);
    const auto last = std::upper_bound(all.begin(), all.end(), end);
    return static_cast<double>(last - first);
  }

  /// Returns whether two hosts are on different sides of the partition.
  [[nodiscard]] bool ArePartitioned(std::size_t a, std::size_t b) const {
    return (a < partition_boundary_) != (b < partition_boundary_);
  }

  void MakeRequests(std::size_t host, const Load& load) {
    // Failures come in bursts that all hosts see at the same time.
    const bool failing = now_.time_since_epoch().count() / 1'000'000 % 7 < 2;
    if (random_.Chance(load.requests_per_step)) {
      requests_.push_back(now_);
      budgets_[host].OnRequest(service_, now_);
    }
    if (!failing || !random_.Chance(load.retry_probability))
      return;
    const unsigned count = 1 + static_cast<unsigned>(random_.Below(2));
    if (budgets_[host].TryAcquire(service_, count, now_))
      retries_.insert(retries_.end(), count, now_);
  }

  void SendIfDue(std::size_t host) {
    const std::uint64_t revision = budgets_[host].local_revision();
    if (revision == sent_revision_[host] && now_ < next_send_[host])
      return;
    sent_revision_[host] = revision;
    next_send_[host] = now_ + kSendInterval;
    for (std::size_t to = 0; to < kHosts; ++to) {
      if (to == host || ArePartitioned(host, to) || random_.Chance(0.02))
        continue;
      const auto delay = std::chrono::milliseconds(2 + random_.Below(60));
      messages_.push_back({now_ + delay, host, to, budgets_[host].Usage(now_)});
    }
  }

  void Deliver() {
    std::erase_if(messages_, [this](const Message& it) {
      if (it.arrives > now_)
        return false;
      budgets_[it.to].OnPeerUsage(HostId(std::to_string(it.from)), 1, it.usages,
                                  now_);
      return true;
    });
  }

  RandomSource random_;
  ServiceId service_{"models"};
  TimePoint now_{std::chrono::seconds(100)};
  std::array<RetryBudget, kHosts> budgets_ = MakeBudgets();
  std::array<std::uint64_t, kHosts> sent_revision_{};
  std::array<TimePoint, kHosts> next_send_{};
  std::size_t partition_boundary_ = 0;
  std::deque<Message> messages_;
  std::vector<TimePoint> requests_;
  std::vector<TimePoint> retries_;

  static std::array<RetryBudget, kHosts> MakeBudgets() {
    const RetryBudget it(kLimits);
    return {it, it, it, it, it, it, it, it, it};
  }
};

std::string Describe(std::uint64_t seed, const SharedBudget& hosts) {
  return "seed " + std::to_string(seed) + ": " +
         std::to_string(hosts.WorstExcess()) + " retries over the limit";
}

}  // namespace

TEST_GROUP(SharedRetryBudget){};

TEST(SharedRetryBudget, NoWindowExceedsTheLimits) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    SharedBudget hosts(seed);
    hosts.Run({0.1, 1.0});
    CHECK_TRUE_TEXT(hosts.WorstExcess() <= 0, Describe(seed, hosts).c_str());
    CHECK(hosts.retries() > 100);
  }
}

TEST(SharedRetryBudget, NoWindowExceedsTheLimitsAtLowLoad) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    SharedBudget hosts(seed);
    hosts.Run({0.005, 0.3});
    CHECK_TRUE_TEXT(hosts.WorstExcess() <= 0, Describe(seed, hosts).c_str());
  }
}

}  // namespace briarlead
