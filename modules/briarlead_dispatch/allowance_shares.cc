#include "briarlead_dispatch/allowance_shares.h"

#include <algorithm>
#include <cmath>

namespace briarlead {
namespace {

/// Share of the total demand that is added for every holder, so that an idle
/// holder also gets a lease and can start.
constexpr double kIdleDemandShare = 0.02;

double RemainingRate(double total, double used) {
  return std::isinf(total) ? kNoRateLimit : std::max(total - used, 0.0);
}

}  // namespace

AllowanceShares::AllowanceShares(const AllowanceLimits& total,
                                 std::span<const AllowanceHolderId> holders,
                                 Duration lease_duration,
                                 Duration clock_margin)
    : total_(total),
      lease_duration_(lease_duration),
      clock_margin_(clock_margin) {
  for (const AllowanceHolderId& it : holders)
    holders_[it];
}

AllowanceLimits AllowanceShares::Base() const {
  const auto count =
      static_cast<double>(std::max<std::size_t>(holders_.size(), 1));
  AllowanceLimits base;
  base.requests_per_second = total_.requests_per_second * kBaseShare / count;
  base.tokens_per_second = total_.tokens_per_second * kBaseShare / count;
  if (total_.concurrent != kNoConcurrencyLimit)
    base.concurrent =
        static_cast<std::uint32_t>(total_.concurrent * kBaseShare / count);
  return base;
}

AllowanceLimits AllowanceShares::MaxOutstanding(const Holder& holder,
                                                TimePoint now) {
  AllowanceLimits outstanding = {0.0, 0.0, 0};
  for (const OutstandingGrant& it : holder.grants) {
    if (it.expires_at <= now)
      continue;
    outstanding.requests_per_second =
        std::max(outstanding.requests_per_second, it.extra.requests_per_second);
    outstanding.tokens_per_second =
        std::max(outstanding.tokens_per_second, it.extra.tokens_per_second);
    outstanding.concurrent =
        std::max(outstanding.concurrent, it.extra.concurrent);
  }
  return outstanding;
}

template <typename DemandOf>
double AllowanceShares::PoolShare(const Holder& holder,
                                  DemandOf demand_of,
                                  TimePoint now) const {
  double sum = 0.0;
  for (const auto& [id, it] : holders_) {
    if (it.has_requested &&
        now - it.requested_at < lease_duration_ + clock_margin_)
      sum += demand_of(it.demand);
  }
  const auto count = static_cast<double>(holders_.size());
  const double idle_demand = sum > 0.0 ? sum * kIdleDemandShare : 1.0;
  return (demand_of(holder.demand) + idle_demand) / (sum + idle_demand * count);
}

AllowanceLease AllowanceShares::Grant(const AllowanceHolderId& holder,
                                      const AllowanceDemand& demand,
                                      std::uint64_t confirmed_number,
                                      TimePoint now) {
  AllowanceLease lease;
  lease.number = ++last_number_;
  lease.duration = lease_duration_;
  lease.portion = {0.0, 0.0, 0};
  lease.base = lease.portion;
  const auto found = holders_.find(holder);
  if (found == holders_.end())
    return lease;
  Holder& own = found->second;
  own.demand = demand;
  own.requested_at = now;
  own.has_requested = true;
  std::erase_if(own.grants,
                [confirmed_number, now](const OutstandingGrant& it) {
                  return it.expires_at <= now || it.number < confirmed_number;
                });
  const AllowanceLimits base = Base();
  AllowanceLimits leased_to_others = {0.0, 0.0, 0};
  for (const auto& [id, it] : holders_) {
    if (id == holder)
      continue;
    const AllowanceLimits outstanding = MaxOutstanding(it, now);
    leased_to_others.requests_per_second += outstanding.requests_per_second;
    leased_to_others.tokens_per_second += outstanding.tokens_per_second;
    leased_to_others.concurrent += outstanding.concurrent;
  }
  const auto count = static_cast<double>(holders_.size());
  const auto requests = [](const AllowanceDemand& it) {
    return it.requests_per_second;
  };
  const auto tokens = [](const AllowanceDemand& it) {
    return it.tokens_per_second;
  };
  const auto concurrent = [](const AllowanceDemand& it) {
    return it.concurrent;
  };
  AllowanceLimits extra;
  const double request_pool = RemainingRate(total_.requests_per_second,
                                            base.requests_per_second * count);
  extra.requests_per_second =
      std::isinf(request_pool)
          ? kNoRateLimit
          : std::min(request_pool * PoolShare(own, requests, now),
                     RemainingRate(request_pool,
                                   leased_to_others.requests_per_second));
  const double token_pool =
      RemainingRate(total_.tokens_per_second, base.tokens_per_second * count);
  extra.tokens_per_second =
      std::isinf(token_pool)
          ? kNoRateLimit
          : std::min(
                token_pool * PoolShare(own, tokens, now),
                RemainingRate(token_pool, leased_to_others.tokens_per_second));
  if (total_.concurrent != kNoConcurrencyLimit) {
    const auto bases =
        static_cast<std::uint32_t>(base.concurrent * holders_.size());
    const std::uint32_t pool =
        total_.concurrent > bases ? total_.concurrent - bases : 0;
    const std::uint32_t remaining = pool > leased_to_others.concurrent
                                        ? pool - leased_to_others.concurrent
                                        : 0;
    // Rounded up, because only whole concurrent requests can be granted and a
    // small limit would otherwise round down to none.
    const auto wanted = static_cast<std::uint32_t>(
        std::ceil(pool * PoolShare(own, concurrent, now)));
    extra.concurrent = std::min(wanted, remaining);
  }
  own.grants.push_back(
      {lease.number, extra, now + lease_duration_ + clock_margin_});
  lease.base = base;
  lease.portion.requests_per_second =
      base.requests_per_second + extra.requests_per_second;
  lease.portion.tokens_per_second =
      base.tokens_per_second + extra.tokens_per_second;
  lease.portion.concurrent = total_.concurrent == kNoConcurrencyLimit
                                 ? kNoConcurrencyLimit
                                 : base.concurrent + extra.concurrent;
  return lease;
}

AllowanceLimits AllowanceShares::TotalInForce(TimePoint now) const {
  const AllowanceLimits base = Base();
  AllowanceLimits sum = {0.0, 0.0, 0};
  for (const auto& [id, it] : holders_) {
    const AllowanceLimits outstanding = MaxOutstanding(it, now);
    sum.requests_per_second +=
        base.requests_per_second + outstanding.requests_per_second;
    sum.tokens_per_second +=
        base.tokens_per_second + outstanding.tokens_per_second;
    if (total_.concurrent == kNoConcurrencyLimit)
      sum.concurrent = kNoConcurrencyLimit;
    else
      sum.concurrent += base.concurrent + outstanding.concurrent;
  }
  return sum;
}

}  // namespace briarlead
