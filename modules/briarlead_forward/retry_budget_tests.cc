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

  int TakeAll() {
    int n = 0;
    while (budget_.TakeExtras(service_, 1, now_))
      ++n;
    return n;
  }
};

TEST(RetryBudget, SlackIsSharedByAllHosts) {
  budget_.SetHosts(7);
  CHECK_EQUAL(1, TakeAll());
  CHECK_EQUAL(0, TakeAll());
}

TEST(RetryBudget, GrowsWithRequestsAndComesBackAfterTheWindow) {
  budget_.SetHosts(1000);
  for (int i = 0; i < 100; ++i)
    budget_.OnRequest(service_, now_);
  CHECK_EQUAL(17, TakeAll());
  now_ += std::chrono::seconds(5);
  CHECK_EQUAL(0, TakeAll());
  now_ += std::chrono::seconds(6);
  CHECK_EQUAL(0, TakeAll());  // The requests are out of the window, too.
}

// Two bursts that fall into one window, though not into the same ten parts.
TEST(RetryBudget, BurstsAtTheEdgesOfAWindowAreOneWindowsBursts) {
  now_ += std::chrono::milliseconds(999);
  const int n = TakeAll();
  CHECK(n > 0);
  now_ += std::chrono::milliseconds(9001);
  CHECK_EQUAL(0, TakeAll());
  now_ += std::chrono::milliseconds(1000);
  CHECK_EQUAL(n, TakeAll());
}

TEST(RetryBudget, HostTakesWhatTheOthersLeave) {
  constexpr int hosts = 9;
  budget_ = RetryBudget({0, 60, std::chrono::seconds(10)});
  budget_.SetHosts(hosts);
  int taken = 0;
  for (int step = 0; step < 20; ++step) {
    for (int i = 1; i < hosts; ++i)
      budget_.OnOtherHost(HostId(std::to_string(i)), {}, now_);
    taken += TakeAll();
    now_ += RetryBudget::kTellTime;
  }
  // Many times its even part, but not what the others may use unasked.
  CHECK(taken > 3 * 60 / hosts);
  CHECK(taken < 60 * RetryBudget::kUsedShare);
}

TEST(RetryBudget, HostThatHearsNobodyKeepsToItsEvenPart) {
  budget_ = RetryBudget({0, 60, std::chrono::seconds(10)});
  budget_.SetHosts(10);
  int taken = 0;
  for (int step = 0; step < 20; ++step) {
    taken += TakeAll();
    now_ += RetryBudget::kTellTime;
  }
  CHECK(taken > 0);
  CHECK(taken <= 6);
}

TEST(RetryBudget, WhatIsGivenBackCanBeTakenAgain) {
  const int n = TakeAll();
  budget_.GiveBack(service_, 2, now_);
  CHECK_EQUAL(2, TakeAll());
  CHECK(n > 2);
}

TEST(RetryBudget, NeverMoreThanTheRatioInAnyWindow) {
  RandomSource random(3);
  budget_.SetHosts(1);
  std::vector<TimePoint> requests;
  std::vector<TimePoint> extras;
  for (int i = 0; i < 5000; ++i) {
    now_ += std::chrono::milliseconds(random.Below(40));
    budget_.OnRequest(service_, now_);
    requests.push_back(now_);
    if (random.Chance(0.5) && budget_.TakeExtras(service_, 1, now_))
      extras.push_back(now_);
  }
  const auto count = [](const std::vector<TimePoint>& all, TimePoint end) {
    return std::count_if(all.begin(), all.end(), [end](TimePoint it) {
      return it <= end && it > end - std::chrono::seconds(10);
    });
  };
  for (const TimePoint it : extras) {
    CHECK(static_cast<double>(count(extras, it)) <=
          0.2 * static_cast<double>(count(requests, it)) + 10);
  }
}

}  // namespace briarlead
