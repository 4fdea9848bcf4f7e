#ifndef BRIARLEAD_CORE_TIME_H_
#define BRIARLEAD_CORE_TIME_H_

#include <chrono>

namespace briarlead {

/// Length of time, in microseconds.
using Duration = std::chrono::microseconds;

/// Clock tag of the monotonic time that controllers are given. It has no
/// now(): only the adapters read a clock; controllers take the present time as
/// an argument, so that tests and the bench can run them in virtual time.
struct MonotonicClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicClock>;
};

/// A moment of one process's monotonic clock. Not comparable between hosts.
using TimePoint = MonotonicClock::time_point;

/// Returns `duration` in seconds.
constexpr double ToSeconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1e6;
}

/// Returns the duration of `seconds`, rounded towards zero to a microsecond.
constexpr Duration FromSeconds(double seconds) {
  return Duration(static_cast<Duration::rep>(seconds * 1e6));
}

}  // namespace briarlead

#endif  // BRIARLEAD_CORE_TIME_H_
