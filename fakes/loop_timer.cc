#include "fakes/loop_timer.h"

#include <algorithm>
#include <utility>

#include "briarlead_http/ready_time_source.h"

namespace briarlead {

TimePoint LoopNow() {
  return TimePoint(Duration(g_get_monotonic_time()));
}

void LoopTimer::StartOnce(Duration delay, std::function<void()> action) {
  Start(delay, Duration(0), std::move(action));
}

void LoopTimer::StartEvery(Duration period, std::function<void()> action) {
  Start(period, period, std::move(action));
}

void LoopTimer::Start(Duration delay,
                      Duration period,
                      std::function<void()> action) {
  action_ = std::move(action);
  period_ = period;
  next_ = LoopNow() + delay;
  const GSourceFunc fire = [](gpointer self) {
    static_cast<LoopTimer*>(self)->Fire();
    return static_cast<gboolean>(G_SOURCE_CONTINUE);
  };
  source_ = MakeReadyTimeSource(fire, this);
  g_source_set_ready_time(source_.get(), next_.time_since_epoch().count());
}

void LoopTimer::Stop() {
  source_.reset();
  action_ = nullptr;
}

void LoopTimer::Fire() {
  if (period_.count() == 0) {
    source_.reset();
    // The action may start or destroy this timer.
    const auto action = std::exchange(action_, nullptr);
    action();
    return;
  }
  // A loop that fell behind skips the missed periods.
  next_ = std::max(next_ + period_, LoopNow());
  g_source_set_ready_time(source_.get(), next_.time_since_epoch().count());
  const auto action = action_;
  action();
}

}  // namespace briarlead
