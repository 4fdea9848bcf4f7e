#include "briarlead_dispatch/allowance_meter.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace briarlead {
namespace {

/// Minimum capacity of the buckets, so that a low rate still admits requests.
constexpr double kMinRequestCapacity = 1.0;
constexpr double kMinTokenCapacity = 1.0;
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(100);
constexpr Duration kMaxRetryAfter = std::chrono::minutes(10);
constexpr Duration kConcurrencyRetryAfter = std::chrono::seconds(1);

Duration TimeToFill(double missing, double rate) {
  if (rate <= 0.0)
    return kMaxRetryAfter;
  const double seconds = std::min(missing / rate, ToSeconds(kMaxRetryAfter));
  return std::max(FromSeconds(seconds), kMinRetryAfter);
}

}  // namespace

const char* ToString(ExceededLimit exceeded_limit) {
  switch (exceeded_limit) {
    case ExceededLimit::kNone:
      return "none";
    case ExceededLimit::kRequests:
      return "requests";
    case ExceededLimit::kTokens:
      return "tokens";
    case ExceededLimit::kConcurrent:
      return "concurrent";
    case ExceededLimit::kUnknown:
      return "unknown";
  }
  return "unknown";
}

double AllowanceMeter::Bucket::Capacity(double min_capacity) const {
  return std::max(rate * kBurstSeconds, min_capacity);
}

void AllowanceMeter::Bucket::Refill(double seconds, double min_capacity) {
  if (std::isinf(rate))
    return;
  level = std::min(level + rate * seconds, Capacity(min_capacity));
}

void AllowanceMeter::Refill(KeyState& state, TimePoint now) {
  TimePoint until = now;
  if (state.lease_end <= now) {
    // Refills at the rates of the lease up to its end, then at those of the
    // base.
    until = std::max(state.lease_end, state.refilled_at);
  }
  for (;;) {
    const double seconds = ToSeconds(until - state.refilled_at);
    state.requests.Refill(seconds, kMinRequestCapacity);
    state.tokens.Refill(seconds, kMinTokenCapacity);
    state.refilled_at = until;
    if (state.lease_end > until)
      return;
    Apply(state, state.base);
    state.lease_end = TimePoint::max();
    until = now;
  }
}

void AllowanceMeter::Apply(KeyState& state, const AllowanceLimits& limits) {
  state.requests.rate = limits.requests_per_second;
  state.tokens.rate = limits.tokens_per_second;
  state.concurrent_limit = limits.concurrent;
  state.requests.Refill(0.0, kMinRequestCapacity);
  state.tokens.Refill(0.0, kMinTokenCapacity);
}

AllowanceMeter::KeyState& AllowanceMeter::StateOf(const AllowanceKey& key,
                                                  TimePoint now) {
  const auto [it, added] = states_.try_emplace(key);
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
  KeyState& state = StateOf(key, now);
  state.base = portion;
  state.lease_end = TimePoint::max();
  Apply(state, portion);
}

void AllowanceMeter::SetLease(const AllowanceKey& key,
                              const AllowanceLease& lease,
                              TimePoint sent_at,
                              TimePoint now) {
  KeyState& state = StateOf(key, now);
  state.base = lease.base;
  state.lease_end = sent_at + lease.duration;
  if (state.lease_end <= now) {
    state.lease_end = TimePoint::max();
    Apply(state, lease.base);
    return;
  }
  Apply(state, lease.portion);
}

AllowanceDecision AllowanceMeter::Admit(const AllowanceKey& key,
                                        std::uint32_t tokens,
                                        TimePoint now) {
  const auto it = states_.find(key);
  if (it == states_.end())
    return {false, ExceededLimit::kUnknown, kConcurrencyRetryAfter};
  KeyState& state = it->second;
  Refill(state, now);
  state.offered_requests += 1.0;
  state.offered_tokens += tokens;
  state.peak_running = std::max(state.peak_running, state.running + 1);
  if (state.running >= state.concurrent_limit)
    return {false, ExceededLimit::kConcurrent, kConcurrencyRetryAfter};
  const bool requests_limited = !std::isinf(state.requests.rate);
  if (requests_limited && state.requests.level < 1.0)
    return {false, ExceededLimit::kRequests,
            TimeToFill(1.0 - state.requests.level, state.requests.rate)};
  // A request that needs more than the bucket's capacity is admitted when the
  // bucket is full and leaves a negative level.
  const bool tokens_limited = !std::isinf(state.tokens.rate);
  const double needed =
      std::min<double>(tokens, state.tokens.Capacity(kMinTokenCapacity));
  if (tokens_limited &&
      (state.tokens.rate <= 0.0 || state.tokens.level < needed))
    return {false, ExceededLimit::kTokens,
            TimeToFill(needed - state.tokens.level, state.tokens.rate)};
  if (requests_limited)
    state.requests.level -= 1.0;
  if (tokens_limited)
    state.tokens.level -= tokens;
  ++state.running;
  return {true, ExceededLimit::kNone, Duration::zero()};
}

void AllowanceMeter::OnDone(const AllowanceKey& key,
                            std::uint32_t charged_tokens,
                            std::uint32_t used_tokens,
                            TimePoint now) {
  const auto it = states_.find(key);
  if (it == states_.end())
    return;
  KeyState& state = it->second;
  Refill(state, now);
  if (state.running > 0)
    --state.running;
  if (std::isinf(state.tokens.rate))
    return;
  state.tokens.level += static_cast<double>(charged_tokens) - used_tokens;
  state.tokens.Refill(0.0, kMinTokenCapacity);
}

AllowanceDemand AllowanceMeter::TakeDemand(const AllowanceKey& key,
                                           TimePoint now) {
  const auto it = states_.find(key);
  if (it == states_.end())
    return {};
  KeyState& state = it->second;
  AllowanceDemand demand;
  const double seconds = ToSeconds(now - state.demand_since);
  if (seconds > 0.0) {
    demand.requests_per_second = state.offered_requests / seconds;
    demand.tokens_per_second = state.offered_tokens / seconds;
  }
  demand.concurrent = state.peak_running;
  state.demand_since = now;
  state.offered_requests = 0.0;
  state.offered_tokens = 0.0;
  state.peak_running = state.running;
  return demand;
}

}  // namespace briarlead
