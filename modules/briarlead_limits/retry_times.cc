#include "briarlead_limits/retry_times.h"

#include <algorithm>

namespace briarlead {

TimePoint RetryTimes::Tell(TimePoint room_at, Duration refill) {
  if (told_ + refill <= room_at) {
    told_ = room_at;
    return told_;
  }
  const double used =
      std::clamp(ToSeconds(told_ - room_at) / ToSeconds(kMaxSpread), 0.0, 1.0);
  const Duration step = FromSeconds(ToSeconds(refill) * (1 - used));
  told_ += std::max(step, Duration(1));
  return told_;
}

}  // namespace briarlead
