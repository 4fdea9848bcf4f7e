#include "fakes/loop_timer.h"

#include <algorithm>
#include <utility>

namespace briarlead {

namespace {

/// A source that is due at its ready time, to the microsecond.
GSourceFuncs* ReadyTimeFunctions() {
  static GSourceFuncs functions = {
      .prepare = nullptr,
      .check = nullptr,
      .dispatch = [](GSource*, GSourceFunc callback,
                     gpointer data) { return callback(data); },
      .finalize = nullptr,
  };
  return &functions;
}

/// Returns `time` on GLib's monotonic clock.
gint64 ReadyTimeAt(TimePoint time) {
  return g_get_monotonic_time() + (time - LoopNow()).count();
}

}  // namespace

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
  source_.reset(g_source_new(ReadyTimeFunctions(), sizeof(GSource)));
  g_source_set_callback(source_.get(), fire, this, nullptr);
  g_source_set_ready_time(source_.get(), ReadyTimeAt(next_));
  g_source_attach(source_.get(), nullptr);
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
  g_source_set_ready_time(source_.get(), ReadyTimeAt(next_));
  const auto action = action_;
  action();
}

}  // namespace briarlead
