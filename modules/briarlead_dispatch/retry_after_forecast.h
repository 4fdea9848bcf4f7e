#ifndef BRIARLEAD_DISPATCH_RETRY_AFTER_FORECAST_H_
#define BRIARLEAD_DISPATCH_RETRY_AFTER_FORECAST_H_

#include <cstdint>

#include "briarlead_core/time.h"
#include "briarlead_dispatch/placement_queue.h"

namespace briarlead {

/// What works a queue off.
struct ServingCapacity {
  double decode_slots = 0.0;
  double prefill_engines = 0.0;
};

/// Forecasts how long the queue takes, for admission and for Retry-After.
class RetryAfterForecast {
 public:
  /// Returns how long `capacity` takes for `cost`.
  [[nodiscard]] static Duration DrainTime(const PlacementCost& cost,
                                          const ServingCapacity& capacity);

  /// Returns how long `capacity` takes for `ahead` while shorter work that
  /// arrives goes first.
  [[nodiscard]] static Duration Wait(const WorkAhead& ahead,
                                     const ServingCapacity& capacity);

  /// Returns when to come back, given that the wait now is `wait` and may be
  /// at most `limit`; spread by `salt`, so that callers do not come together.
  [[nodiscard]] static Duration RetryAfter(Duration wait,
                                           Duration limit,
                                           std::uint64_t salt);
};

}  // namespace briarlead

#endif  // BRIARLEAD_DISPATCH_RETRY_AFTER_FORECAST_H_
