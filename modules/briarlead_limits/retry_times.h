#ifndef BRIARLEAD_LIMITS_RETRY_TIMES_H_
#define BRIARLEAD_LIMITS_RETRY_TIMES_H_

#include <chrono>

#include "briarlead_core/time.h"

namespace briarlead {

/// Chooses the times at which callers that exceed a quota are told to come
/// back: each later one is told a later time, and none a later one than when
/// there is room for it and for those that were told before.
class RetryTimes {
 public:
  /// How far the times are spread at most. They become denser towards the end:
  /// not all callers come back, and the quota of those that don't is free.
  static constexpr Duration kMaxSpread = std::chrono::seconds(2);

  /// Returns the time for an amount that has room by itself at `room_at` and
  /// that the quota refills in `refill`.
  TimePoint Tell(TimePoint room_at, Duration refill);

 private:
  TimePoint told_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_LIMITS_RETRY_TIMES_H_
