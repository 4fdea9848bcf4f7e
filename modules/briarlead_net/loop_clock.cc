#include "briarlead_net/loop_clock.h"

#include <time.h>

namespace briarlead {

TimePoint LoopNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::seconds(now.tv_sec) +
      std::chrono::nanoseconds(now.tv_nsec)));
}

}  // namespace briarlead
