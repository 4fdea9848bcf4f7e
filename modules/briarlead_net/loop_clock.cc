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

std::uint64_t UnixNowMs() {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  const auto since_epoch =
      std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
          .count());
}

}  // namespace briarlead
