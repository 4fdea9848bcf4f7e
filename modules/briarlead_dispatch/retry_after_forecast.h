#ifndef BRIARLEAD_DISPATCH_RETRY_AFTER_FORECAST_H_
#define BRIARLEAD_DISPATCH_RETRY_AFTER_FORECAST_H_

#include <cstdint>

#include "briarlead_core/time.h"
#include "briarlead_dispatch/placement_queue.h"

namespace briarlead {

/// Capacity that serves a queue.
struct ServingCapacity {
  double decode_slots = 0.0;
  double prefill_engines = 0.0;
};

/// Forecasts waiting times in the queue, for admission and for Retry-After.
class RetryAfterForecast {
 public:
  /// Returns the time in which `capacity` completes work of `cost`.
  [[nodiscard]] static Duration DrainTime(const PlacementCost& cost,
                                          const ServingCapacity& capacity);

  /// Returns the time in which `capacity` completes `ahead.queued` while
  /// shorter work that keeps arriving goes first.
  [[nodiscard]] static Duration Wait(const WorkAhead& ahead,
                                     const ServingCapacity& capacity);

  /// Returns after what time a refused caller should retry, given that the wait
  /// now is `wait` and may be at most `limit`. Adds jitter derived from
  /// `jitter_seed`, so that callers do not retry at the same time.
  [[nodiscard]] static Duration RetryAfter(Duration wait,
                                           Duration limit,
                                           std::uint64_t jitter_seed);
};

}  // namespace briarlead

#endif  // BRIARLEAD_DISPATCH_RETRY_AFTER_FORECAST_H_
