#include "briarlead_dispatch/retry_after_forecast.h"

#include <algorithm>
#include <chrono>

namespace briarlead {
namespace {

constexpr Duration kShortestRetryAfter = std::chrono::seconds(1);
constexpr Duration kLongestRetryAfter = std::chrono::seconds(120);
constexpr Duration kLongestWait = std::chrono::hours(1);
/// Part of the capacity that shorter work never takes in a forecast.
constexpr double kLeastCapacityLeft = 0.02;
/// Part of the time to come back that is spread over callers.
constexpr double kSpread = 0.3;
constexpr std::uint64_t kSpreadSteps = 1024;
constexpr std::uint64_t kSaltMultiplier = 0x9E3779B97F4A7C15U;

Duration Divide(double seconds, double rate) {
  if (seconds <= 0.0)
    return Duration::zero();
  if (rate <= 0.0)
    return kLongestWait;
  return FromSeconds(std::min(seconds / rate, ToSeconds(kLongestWait)));
}

}  // namespace

Duration RetryAfterForecast::DrainTime(const PlacementCost& cost,
                                       const ServingCapacity& capacity) {
  return std::max(Divide(cost.slot_seconds, capacity.decode_slots),
                  Divide(cost.prefill_seconds, capacity.prefill_engines));
}

Duration RetryAfterForecast::Wait(const WorkAhead& ahead,
                                  const ServingCapacity& capacity) {
  const ServingCapacity left = {
      std::max(capacity.decode_slots - ahead.arriving_per_second.slot_seconds,
               capacity.decode_slots * kLeastCapacityLeft),
      std::max(
          capacity.prefill_engines - ahead.arriving_per_second.prefill_seconds,
          capacity.prefill_engines * kLeastCapacityLeft)};
  return DrainTime(ahead.queued, left);
}

Duration RetryAfterForecast::RetryAfter(Duration wait,
                                        Duration limit,
                                        std::uint64_t salt) {
  const Duration base =
      std::clamp(wait - limit, kShortestRetryAfter, kLongestRetryAfter);
  const std::uint64_t step = (salt * kSaltMultiplier >> 32) % kSpreadSteps;
  const double spread =
      kSpread * static_cast<double>(step) / static_cast<double>(kSpreadSteps);
  return base + FromSeconds(ToSeconds(base) * spread);
}

}  // namespace briarlead
