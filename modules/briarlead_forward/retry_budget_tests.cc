#include "briarlead_forward/retry_budget.h"

#include <algorithm>
#include <string>
#include <vector>

#include "briarlead_core/random_source.h"

// After everything that uses the global operator new.
#include <CppUTest/TestHarness.h>

namespace briarlead {

TEST_GROUP(RetryBudget) {
  RetryBudget budget_{{0.2, 10, std::chrono::seconds(10)}};
  ServiceId service_{"desk"};
  TimePoint now_{std::chrono::seconds(100)};

  void setup() override {
    SetLongKnownHosts(1);
  }

  /// The host has known for long that there are `hosts`.
  void SetLongKnownHosts(std::uint32_t hosts) {
    budget_.SetHostCount(hosts, now_ - std::chrono::seconds(60));
  }

  int AcquireAll() {
    int n = 0;
    while (budget_.TryAcquire(service_, 1, now_))
      ++n;
    return n;
  }
};

TEST(RetryBudget, SlackIsSharedByAllHosts) {
  SetLongKnownHosts(7);
  CHECK_EQUAL(1, AcquireAll());
  CHECK_EQUAL(0, AcquireAll());
}

TEST(RetryBudget, GrowsWithRequestsOfTheWindow) {
  SetLongKnownHosts(1000);
  for (int i = 0; i < 100; ++i)
    budget_.OnRequest(service_, now_);
  CHECK_EQUAL(17, AcquireAll());
  now_ += std::chrono::seconds(5);
  CHECK_EQUAL(0, AcquireAll());
  now_ += std::chrono::seconds(6);
  CHECK_EQUAL(0, AcquireAll());  // The requests have left the window as well.
}

// Two bursts within one window that extends over eleven buckets.
TEST(RetryBudget, BurstsAtBothEdgesOfAWindowShareItsLimit) {
  now_ += std::chrono::milliseconds(999);
  const int n = AcquireAll();
  CHECK(n > 0);
  now_ += std::chrono::milliseconds(9001);
  CHECK_EQUAL(0, AcquireAll());
  now_ += std::chrono::milliseconds(1000);
  CHECK_EQUAL(n, AcquireAll());
}

TEST(RetryBudget, HostUsesWhatTheOthersLeave) {
  constexpr int hosts = 9;
  budget_ = RetryBudget({0, 60, std::chrono::seconds(10)});
  SetLongKnownHosts(hosts);
  int taken = 0;
  for (int step = 0; step < 20; ++step) {
    for (int i = 1; i < hosts; ++i)
      budget_.OnPeerUsage(HostId(std::to_string(i)), 1, {}, now_);
    taken += AcquireAll();
    now_ += RetryBudget::kPropagationTime;
  }
  // Many times its even part, but not the local allowances of the others.
  CHECK(taken > 3 * 60 / hosts);
  CHECK(taken < 60 * RetryBudget::kUsableShare);
}

TEST(RetryBudget, HostWithoutReportsKeepsToItsEvenPart) {
  budget_ = RetryBudget({0, 60, std::chrono::seconds(10)});
  SetLongKnownHosts(10);
  int taken = 0;
  for (int step = 0; step < 20; ++step) {
    taken += AcquireAll();
    now_ += RetryBudget::kPropagationTime;
  }
  CHECK(taken > 0);
  CHECK(taken <= 6);
}

TEST(RetryBudget, ReleasedRetriesCanBeAcquiredAgain) {
  const int n = AcquireAll();
  budget_.Release(service_, 2, now_);
  CHECK_EQUAL(2, AcquireAll());
  CHECK(n > 2);
}

TEST(RetryBudget, NoWindowExceedsTheRatio) {
  RandomSource random(3);
  std::vector<TimePoint> requests;
  std::vector<TimePoint> retries;
  for (int i = 0; i < 5000; ++i) {
    now_ += std::chrono::milliseconds(random.Below(40));
    budget_.OnRequest(service_, now_);
    requests.push_back(now_);
    if (random.Chance(0.5) && budget_.TryAcquire(service_, 1, now_))
      retries.push_back(now_);
  }
  const auto count = [](const std::vector<TimePoint>& all, TimePoint end) {
    return std::count_if(all.begin(), all.end(), [end](TimePoint it) {
      return it <= end && it > end - std::chrono::seconds(10);
    });
  };
  for (const TimePoint it : retries) {
    CHECK(static_cast<double>(count(retries, it)) <=
          0.2 * static_cast<double>(count(requests, it)) + 10);
  }
}

}  // namespace briarlead
