#include "briarlead_dispatch/allowance_shares.h"

#include <algorithm>
#include <cmath>

namespace briarlead {
namespace {

/// Demand that every holder counts with, so that a quiet one can start.
constexpr double kIdleDemandShare = 0.02;

double RateLeft(double whole, double used) {
  return std::isinf(whole) ? kNoRateLimit : std::max(whole - used, 0.0);
}

}  // namespace

AllowanceShares::AllowanceShares(const AllowanceLimits& whole,
                                 std::span<const AllowanceHolderId> holders,
                                 Duration lease,
                                 Duration margin)
    : whole_(whole), lease_(lease), margin_(margin) {
  for (const AllowanceHolderId& it : holders)
    holders_[it];
}

AllowanceLimits AllowanceShares::Base() const {
  const auto count =
      static_cast<double>(std::max<std::size_t>(holders_.size(), 1));
  AllowanceLimits base;
  base.requests_per_second = whole_.requests_per_second * kBaseShare / count;
  base.tokens_per_second = whole_.tokens_per_second * kBaseShare / count;
  if (whole_.concurrent != kNoConcurrencyLimit)
    base.concurrent =
        static_cast<std::uint32_t>(whole_.concurrent * kBaseShare / count);
  return base;
}

AllowanceLimits AllowanceShares::MostOf(const Holder& holder, TimePoint now) {
  AllowanceLimits most = {0.0, 0.0, 0};
  for (const Outstanding& it : holder.grants) {
    if (it.until <= now)
      continue;
    most.requests_per_second =
        std::max(most.requests_per_second, it.extra.requests_per_second);
    most.tokens_per_second =
        std::max(most.tokens_per_second, it.extra.tokens_per_second);
    most.concurrent = std::max(most.concurrent, it.extra.concurrent);
  }
  return most;
}

template <typename DemandOf>
double AllowanceShares::Earned(const Holder& holder,
                               DemandOf demand_of,
                               TimePoint now) const {
  double sum = 0.0;
  for (const auto& [id, it] : holders_) {
    if (it.asked && now - it.asked_at < lease_ + margin_)
      sum += demand_of(it.demand);
  }
  const auto count = static_cast<double>(holders_.size());
  const double idle = sum > 0.0 ? sum * kIdleDemandShare : 1.0;
  return (demand_of(holder.demand) + idle) / (sum + idle * count);
}

AllowanceLease AllowanceShares::Grant(const AllowanceHolderId& holder,
                                      const AllowanceDemand& demand,
                                      std::uint64_t confirmed,
                                      TimePoint now) {
  AllowanceLease lease;
  lease.number = ++last_number_;
  lease.duration = lease_;
  lease.portion = {0.0, 0.0, 0};
  lease.base = lease.portion;
  const auto found = holders_.find(holder);
  if (found == holders_.end())
    return lease;
  Holder& own = found->second;
  own.demand = demand;
  own.asked_at = now;
  own.asked = true;
  std::erase_if(own.grants, [confirmed, now](const Outstanding& it) {
    return it.until <= now || it.number < confirmed;
  });
  const AllowanceLimits base = Base();
  AllowanceLimits others = {0.0, 0.0, 0};
  for (const auto& [id, it] : holders_) {
    if (id == holder)
      continue;
    const AllowanceLimits most = MostOf(it, now);
    others.requests_per_second += most.requests_per_second;
    others.tokens_per_second += most.tokens_per_second;
    others.concurrent += most.concurrent;
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
  const double request_pool =
      RateLeft(whole_.requests_per_second, base.requests_per_second * count);
  extra.requests_per_second =
      std::isinf(request_pool)
          ? kNoRateLimit
          : std::min(request_pool * Earned(own, requests, now),
                     RateLeft(request_pool, others.requests_per_second));
  const double token_pool =
      RateLeft(whole_.tokens_per_second, base.tokens_per_second * count);
  extra.tokens_per_second =
      std::isinf(token_pool)
          ? kNoRateLimit
          : std::min(token_pool * Earned(own, tokens, now),
                     RateLeft(token_pool, others.tokens_per_second));
  if (whole_.concurrent != kNoConcurrencyLimit) {
    const auto bases =
        static_cast<std::uint32_t>(base.concurrent * holders_.size());
    const std::uint32_t pool =
        whole_.concurrent > bases ? whole_.concurrent - bases : 0;
    const std::uint32_t left =
        pool > others.concurrent ? pool - others.concurrent : 0;
    // Rounded up: a small cap is of use only in whole requests.
    const auto earned = static_cast<std::uint32_t>(
        std::ceil(pool * Earned(own, concurrent, now)));
    extra.concurrent = std::min(earned, left);
  }
  own.grants.push_back({lease.number, extra, now + lease_ + margin_});
  lease.base = base;
  lease.portion.requests_per_second =
      base.requests_per_second + extra.requests_per_second;
  lease.portion.tokens_per_second =
      base.tokens_per_second + extra.tokens_per_second;
  lease.portion.concurrent = whole_.concurrent == kNoConcurrencyLimit
                                 ? kNoConcurrencyLimit
                                 : base.concurrent + extra.concurrent;
  return lease;
}

AllowanceLimits AllowanceShares::InForce(TimePoint now) const {
  const AllowanceLimits base = Base();
  AllowanceLimits sum = {0.0, 0.0, 0};
  for (const auto& [id, it] : holders_) {
    const AllowanceLimits most = MostOf(it, now);
    sum.requests_per_second +=
        base.requests_per_second + most.requests_per_second;
    sum.tokens_per_second += base.tokens_per_second + most.tokens_per_second;
    if (whole_.concurrent == kNoConcurrencyLimit)
      sum.concurrent = kNoConcurrencyLimit;
    else
      sum.concurrent += base.concurrent + most.concurrent;
  }
  return sum;
}

}  // namespace briarlead
