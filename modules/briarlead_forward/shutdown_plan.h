#ifndef BRIARLEAD_FORWARD_SHUTDOWN_PLAN_H_
#define BRIARLEAD_FORWARD_SHUTDOWN_PLAN_H_

#include <algorithm>
#include <chrono>
#include <optional>

#include "briarlead_core/time.h"

namespace briarlead {

/// Decides what an entry process that stops may still begin, and when it ends.
///
/// | time                  | no server has the request | a server has it   |
/// |-----------------------|---------------------------|-------------------|
/// | first kOpenTime       | it is sent                | goes on           |
/// | then                  | sent if MaySend()         | goes on           |
/// | from last_answers_at()| refused                   | gets a last answer|
///
/// From ends_at() on the process ends; after kKeepTime also once it is idle.
class ShutdownPlan {
 public:
  /// Time after the start in which all requests are accepted: the balancer
  /// goes on sending until it has noticed. Half of the stop timeout if that is
  /// shorter.
  static constexpr Duration kOpenTime = std::chrono::milliseconds(2800);
  /// Time after the start for which connections without a request are kept and
  /// the process doesn't end.
  static constexpr Duration kKeepTime = std::chrono::milliseconds(3000);
  /// Time before the stop timeout at which what is left gets its final answer.
  static constexpr Duration kLastAnswersMargin = std::chrono::milliseconds(250);
  /// Time before the stop timeout at which the process ends in any case.
  static constexpr Duration kEndMargin = std::chrono::milliseconds(100);

  /// The process is killed `stop_timeout` after it was told to stop.
  explicit ShutdownPlan(Duration stop_timeout) : stop_timeout_(stop_timeout) {}

  void Begin(TimePoint now) { began_at_ = now; }

  [[nodiscard]] bool begun() const { return began_at_.has_value(); }

  /// Returns whether connections without a request may be closed, and the
  /// process may end once it has no work left.
  [[nodiscard]] bool MayEndIdle(TimePoint now) const {
    return begun() && now >= *began_at_ + kKeepTime;
  }

  /// Returns whether a request that no server has may be sent to one, when it
  /// has its answer by `deadline` at the latest.
  [[nodiscard]] bool MaySend(TimePoint deadline, TimePoint now) const {
    if (!begun())
      return true;
    const Duration open_time = std::min(kOpenTime, stop_timeout_ / 2);
    return now < *began_at_ + open_time || deadline <= last_answers_at();
  }

  /// Returns when the requests in progress get their final answers;
  /// TimePoint::max() before Begin().
  [[nodiscard]] TimePoint last_answers_at() const {
    return EndLess(kLastAnswersMargin);
  }

  /// Returns when the process ends though requests are in progress;
  /// TimePoint::max() before Begin().
  [[nodiscard]] TimePoint ends_at() const { return EndLess(kEndMargin); }

 private:
  [[nodiscard]] TimePoint EndLess(Duration margin) const {
    if (!begun())
      return TimePoint::max();
    return *began_at_ + std::max(stop_timeout_ - margin, Duration::zero());
  }

  Duration stop_timeout_;
  std::optional<TimePoint> began_at_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_FORWARD_SHUTDOWN_PLAN_H_
