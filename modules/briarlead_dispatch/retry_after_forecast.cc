#include "briarlead_dispatch/retry_after_forecast.h"

#include <algorithm>
#include <chrono>

namespace briarlead {
namespace {

constexpr Duration kMinRetryAfter = std::chrono::seconds(1);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(120);
constexpr Duration kMaxWait = std::chrono::hours(1);
/// Minimum share of the capacity that a forecast assumes is left over by
/// shorter work.
constexpr double kMinCapacityShare = 0.02;
/// Largest jitter, as a share of the retry time.
constexpr double kMaxJitterShare = 0.3;
constexpr std::uint64_t kJitterSteps = 1024;
constexpr std::uint64_t kJitterMultiplier = 0x9E3779B97F4A7C15U;

Duration TimeAtRate(double seconds, double rate) {
  if (seconds <= 0.0)
    return Duration::zero();
  if (rate <= 0.0)
    return kMaxWait;
  return FromSeconds(std::min(seconds / rate, ToSeconds(kMaxWait)));
}

}  // namespace

Duration RetryAfterForecast::DrainTime(const PlacementCost& cost,
                                       const ServingCapacity& capacity) {
  return std::max(TimeAtRate(cost.slot_seconds, capacity.decode_slots),
                  TimeAtRate(cost.prefill_seconds, capacity.prefill_engines));
}

Duration RetryAfterForecast::Wait(const WorkAhead& ahead,
                                  const ServingCapacity& capacity) {
  const ServingCapacity remaining = {
      std::max(capacity.decode_slots - ahead.arriving_per_second.slot_seconds,
               capacity.decode_slots * kMinCapacityShare),
      std::max(
          capacity.prefill_engines - ahead.arriving_per_second.prefill_seconds,
          capacity.prefill_engines * kMinCapacityShare)};
  return DrainTime(ahead.queued, remaining);
}

Duration RetryAfterForecast::RetryAfter(Duration wait,
                                        Duration limit,
                                        std::uint64_t jitter_seed) {
  const Duration base =
      std::clamp(wait - limit, kMinRetryAfter, kMaxRetryAfter);
  const std::uint64_t step =
      (jitter_seed * kJitterMultiplier >> 32) % kJitterSteps;
  const double jitter = kMaxJitterShare * static_cast<double>(step) /
                        static_cast<double>(kJitterSteps);
  return base + FromSeconds(ToSeconds(base) * jitter);
}

}  // namespace briarlead
