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

  /// Returns how long a request waits that has `ahead` of its own customer
  /// before it and is entitled to `share` of the rank; `whole_rank` is the cost
  /// of all that wait in the rank.
  [[nodiscard]] static Duration Wait(const PlacementCost& ahead,
                                     double share,
                                     const PlacementCost& whole_rank,
                                     const ServingCapacity& capacity);

  /// Returns when to come back, given that the wait now is `wait` and may be
  /// at most `limit`; spread by `salt`, so that callers do not come together.
  [[nodiscard]] static Duration RetryAfter(Duration wait,
                                           Duration limit,
                                           std::uint64_t salt);
};

}  // namespace briarlead

#endif  // BRIARLEAD_DISPATCH_RETRY_AFTER_FORECAST_H_
