#include "briarlead_dispatch/allowance_meter.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace briarlead {
namespace {

/// Least a request bucket can hold, so that low rates admit anything at all.
constexpr double kLeastRequests = 1.0;
constexpr double kLeastTokens = 1.0;
constexpr Duration kShortestRetryAfter = std::chrono::milliseconds(100);
constexpr Duration kLongestRetryAfter = std::chrono::minutes(10);
constexpr Duration kConcurrencyRetryAfter = std::chrono::seconds(1);

Duration TimeToFill(double missing, double rate) {
  if (rate <= 0.0)
    return kLongestRetryAfter;
  const double seconds =
      std::min(missing / rate, ToSeconds(kLongestRetryAfter));
  return std::max(FromSeconds(seconds), kShortestRetryAfter);
}

}  // namespace

const char* ToString(AllowanceBound bound) {
  switch (bound) {
    case AllowanceBound::kNone:
      return "none";
    case AllowanceBound::kRequests:
      return "requests";
    case AllowanceBound::kTokens:
      return "tokens";
    case AllowanceBound::kConcurrent:
      return "concurrent";
    case AllowanceBound::kUnknown:
      return "unknown";
  }
  return "unknown";
}

double AllowanceMeter::Bucket::Capacity(double least) const {
  return std::max(rate * kBurstSeconds, least);
}

void AllowanceMeter::Bucket::Refill(double seconds, double least) {
  if (std::isinf(rate))
    return;
  level = std::min(level + rate * seconds, Capacity(least));
}

void AllowanceMeter::Refill(Account& account, TimePoint now) {
  TimePoint until = now;
  if (account.lease_end <= now) {
    // The last of the lease first, then the base.
    until = std::max(account.lease_end, account.refilled_at);
  }
  for (;;) {
    const double seconds = ToSeconds(until - account.refilled_at);
    account.requests.Refill(seconds, kLeastRequests);
    account.tokens.Refill(seconds, kLeastTokens);
    account.refilled_at = until;
    if (account.lease_end > until)
      return;
    Apply(account, account.base);
    account.lease_end = TimePoint::max();
    until = now;
  }
}

void AllowanceMeter::Apply(Account& account, const AllowanceLimits& limits) {
  account.requests.rate = limits.requests_per_second;
  account.tokens.rate = limits.tokens_per_second;
  account.concurrent_limit = limits.concurrent;
  account.requests.Refill(0.0, kLeastRequests);
  account.tokens.Refill(0.0, kLeastTokens);
}

AllowanceMeter::Account& AllowanceMeter::AccountOf(const AllowanceKey& key,
                                                   TimePoint now) {
  const auto [it, added] = accounts_.try_emplace(key);
  if (added) {
    it->second.refilled_at = now;
    it->second.demand_since = now;
  }
  Refill(it->second, now);
  return it->second;
}

void AllowanceMeter::SetPortion(const AllowanceKey& key,
                                const AllowanceLimits& portion,
                                TimePoint now) {
  Account& account = AccountOf(key, now);
  account.base = portion;
  account.lease_end = TimePoint::max();
  Apply(account, portion);
}

void AllowanceMeter::SetLease(const AllowanceKey& key,
                              const AllowanceLease& lease,
                              TimePoint asked_at,
                              TimePoint now) {
  Account& account = AccountOf(key, now);
  account.base = lease.base;
  account.lease_end = asked_at + lease.duration;
  if (account.lease_end <= now) {
    account.lease_end = TimePoint::max();
    Apply(account, lease.base);
    return;
  }
  Apply(account, lease.portion);
}

AllowanceVerdict AllowanceMeter::Admit(const AllowanceKey& key,
                                       std::uint32_t tokens,
                                       TimePoint now) {
  const auto it = accounts_.find(key);
  if (it == accounts_.end())
    return {false, AllowanceBound::kUnknown, kConcurrencyRetryAfter};
  Account& account = it->second;
  Refill(account, now);
  account.asked_requests += 1.0;
  account.asked_tokens += tokens;
  account.most_running = std::max(account.most_running, account.running + 1);
  if (account.running >= account.concurrent_limit)
    return {false, AllowanceBound::kConcurrent, kConcurrencyRetryAfter};
  const bool requests_limited = !std::isinf(account.requests.rate);
  if (requests_limited && account.requests.level < 1.0)
    return {false, AllowanceBound::kRequests,
            TimeToFill(1.0 - account.requests.level, account.requests.rate)};
  // A request over the bucket's size runs once the bucket is full, and leaves
  // a debt.
  const bool tokens_limited = !std::isinf(account.tokens.rate);
  const double needed =
      std::min<double>(tokens, account.tokens.Capacity(kLeastTokens));
  if (tokens_limited &&
      (account.tokens.rate <= 0.0 || account.tokens.level < needed))
    return {false, AllowanceBound::kTokens,
            TimeToFill(needed - account.tokens.level, account.tokens.rate)};
  if (requests_limited)
    account.requests.level -= 1.0;
  if (tokens_limited)
    account.tokens.level -= tokens;
  ++account.running;
  return {true, AllowanceBound::kNone, Duration::zero()};
}

void AllowanceMeter::OnDone(const AllowanceKey& key,
                            std::uint32_t charged_tokens,
                            std::uint32_t used_tokens,
                            TimePoint now) {
  const auto it = accounts_.find(key);
  if (it == accounts_.end())
    return;
  Account& account = it->second;
  Refill(account, now);
  if (account.running > 0)
    --account.running;
  if (std::isinf(account.tokens.rate))
    return;
  account.tokens.level += static_cast<double>(charged_tokens) - used_tokens;
  account.tokens.Refill(0.0, kLeastTokens);
}

AllowanceDemand AllowanceMeter::TakeDemand(const AllowanceKey& key,
                                           TimePoint now) {
  const auto it = accounts_.find(key);
  if (it == accounts_.end())
    return {};
  Account& account = it->second;
  AllowanceDemand demand;
  const double seconds = ToSeconds(now - account.demand_since);
  if (seconds > 0.0) {
    demand.requests_per_second = account.asked_requests / seconds;
    demand.tokens_per_second = account.asked_tokens / seconds;
  }
  demand.concurrent = account.most_running;
  account.demand_since = now;
  account.asked_requests = 0.0;
  account.asked_tokens = 0.0;
  account.most_running = account.running;
  return demand;
}

}  // namespace briarlead
