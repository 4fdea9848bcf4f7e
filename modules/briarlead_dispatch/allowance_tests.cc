#include <array>
#include <chrono>

#include "briarlead_dispatch/allowance_meter.h"
#include "briarlead_dispatch/allowance_shares.h"

// After everything that uses the global operator new.
#include <CppUTest/TestHarness.h>

namespace briarlead {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(AllowanceMeter) {
  const AllowanceKey key_ = {CustomerId("visits"), UseId("summary")};
  TimePoint now_{seconds(10)};
  AllowanceMeter meter_;

  /// Sends a request every 10 ms for `length`; returns how many were admitted.
  int CountAdmitted(Duration length) {
    int admitted = 0;
    const TimePoint end = now_ + length;
    for (; now_ < end; now_ += milliseconds(10)) {
      if (!meter_.Admit(key_, 10, now_).admitted)
        continue;
      ++admitted;
      meter_.OnDone(key_, 10, 10, now_);
    }
    return admitted;
  }
};

TEST(AllowanceMeter, AdmitsNoMoreThanTheRate) {
  meter_.SetPortion(key_, {5.0, kNoRateLimit, 10}, now_);
  const int admitted = CountAdmitted(seconds(20));
  CHECK_TRUE(admitted <= 100);
  CHECK_TRUE(admitted >= 99);
}

TEST(AllowanceMeter, ReturnsWhenARequestWouldBeAdmitted) {
  meter_.SetPortion(key_, {0.5, kNoRateLimit, 10}, now_);
  const AllowanceDecision refused = meter_.Admit(key_, 10, now_);
  CHECK_FALSE(refused.admitted);
  CHECK_TRUE(refused.exceeded_limit == ExceededLimit::kRequests);
  CHECK_TRUE(meter_.Admit(key_, 10, now_ + refused.retry_after).admitted);
}

TEST(AllowanceMeter, ReturnsUnusedTokens) {
  meter_.SetPortion(key_, {kNoRateLimit, 100.0, 10}, now_);
  now_ += seconds(2);
  CHECK_TRUE(meter_.Admit(key_, 200, now_).admitted);
  CHECK_TRUE(meter_.Admit(key_, 50, now_).exceeded_limit ==
             ExceededLimit::kTokens);
  meter_.OnDone(key_, 200, 20, now_);
  CHECK_TRUE(meter_.Admit(key_, 50, now_).admitted);
}

TEST(AllowanceMeter, LimitsConcurrentRequests) {
  meter_.SetPortion(key_, {kNoRateLimit, kNoRateLimit, 2}, now_);
  CHECK_TRUE(meter_.Admit(key_, 1, now_).admitted);
  CHECK_TRUE(meter_.Admit(key_, 1, now_).admitted);
  CHECK_TRUE(meter_.Admit(key_, 1, now_).exceeded_limit ==
             ExceededLimit::kConcurrent);
  meter_.OnDone(key_, 1, 1, now_);
  CHECK_TRUE(meter_.Admit(key_, 1, now_).admitted);
}

TEST(AllowanceMeter, FallsBackToItsBaseWhenTheLeaseEnds) {
  AllowanceLease lease;
  lease.portion = {100.0, kNoRateLimit, 10};
  lease.base = {1.0, kNoRateLimit, 10};
  lease.duration = seconds(5);
  // The lease was requested a second ago, and its duration counts from then.
  meter_.SetLease(key_, lease, now_ - seconds(1), now_);
  const int leased = CountAdmitted(seconds(4));
  CHECK_TRUE(leased > 300);
  now_ += seconds(10);
  CHECK_TRUE(CountAdmitted(seconds(20)) <= 22);
}

TEST_GROUP(AllowanceShares) {
  const std::array<AllowanceHolderId, 3> holders_ = {
      AllowanceHolderId("a"), AllowanceHolderId("b"), AllowanceHolderId("c")};
  const AllowanceLimits total_ = {90.0, 9'000.0, 7};
  TimePoint now_{seconds(10)};
};

TEST(AllowanceShares, GrantsTheRateByDemand) {
  AllowanceShares shares(total_, holders_, seconds(5), seconds(1));
  std::array<AllowanceLease, 3> leases;
  for (int round = 0; round < 5; ++round) {
    now_ += seconds(2);
    for (std::size_t i = 0; i < holders_.size(); ++i) {
      const double demand = i == 0 ? 100.0 : 1.0;
      leases[i] = shares.Grant(holders_[i], {demand, demand, demand},
                               leases[i].number, now_);
    }
  }
  CHECK_TRUE(leases[0].portion.requests_per_second > 50.0);
  CHECK_TRUE(leases[1].portion.requests_per_second >= 15.0);
  CHECK_TRUE(leases[0].portion.concurrent >= 4);
}

TEST(AllowanceShares,
     NeverExceedsTheTotalWhileDemandChangesAndHoldersAreUnreachable) {
  AllowanceShares shares(total_, holders_, seconds(5), seconds(1));
  struct HeldLease {
    AllowanceLease lease;
    TimePoint end;
  };
  std::array<HeldLease, 3> leases;
  for (int step = 0; step < 200; ++step) {
    now_ += milliseconds(700);
    for (std::size_t i = 0; i < holders_.size(); ++i) {
      const bool unreachable = (step / 20 + i) % 3 == 0;
      if (unreachable)
        continue;
      const double demand = (step / 10 + i) % 3 == 0 ? 200.0 : 0.5;
      leases[i].lease = shares.Grant(holders_[i], {demand, demand, demand},
                                     leases[i].lease.number, now_);
      leases[i].end = now_ + leases[i].lease.duration;
    }
    double sum = 0.0;
    std::uint32_t concurrent = 0;
    for (const HeldLease& it : leases) {
      const AllowanceLimits& in_force =
          it.end > now_ ? it.lease.portion : it.lease.base;
      if (it.lease.number == 0)
        continue;
      sum += in_force.requests_per_second;
      concurrent += in_force.concurrent;
    }
    CHECK_TRUE(sum <= total_.requests_per_second + 1e-9);
    CHECK_TRUE(concurrent <= total_.concurrent);
  }
}

}  // namespace briarlead
