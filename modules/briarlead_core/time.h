#ifndef BRIARLEAD_CORE_TIME_H_
#define BRIARLEAD_CORE_TIME_H_

#include <chrono>

namespace briarlead {

/// A length of time in microseconds.
using Duration = std::chrono::microseconds;

/// Clock type of the monotonic time points that controllers are given. It has
/// no now(): only the adapters read a clock; controllers take the present time
/// as an argument, so that tests and the bench can run them in virtual time.
struct MonotonicClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicClock>;
};

/// A point in time on the monotonic clock of one process. Time points of
/// different hosts can't be compared.
using TimePoint = MonotonicClock::time_point;

/// Returns `duration` in seconds.
constexpr double ToSeconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1e6;
}

/// Returns `seconds` as a Duration, rounded towards zero to whole microseconds.
constexpr Duration FromSeconds(double seconds) {
  return Duration(static_cast<Duration::rep>(seconds * 1e6));
}

}  // namespace briarlead

#endif  // BRIARLEAD_CORE_TIME_H_
