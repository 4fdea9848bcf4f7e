#ifndef FAKES_LOOP_TIMER_H_
#define FAKES_LOOP_TIMER_H_

#include <glib.h>

#include <functional>
#include <memory>

#include "briarlead_core/time.h"
#include "briarlead_net/loop_clock.h"

namespace briarlead {

struct SourceDestroy {
  void operator()(GSource* source) const {
    g_source_destroy(source);
    g_source_unref(source);
  }
};

/// One timer on GLib's default main context. Destroying it stops it.
class LoopTimer {
 public:
  LoopTimer() = default;
  LoopTimer(const LoopTimer&) = delete;
  LoopTimer& operator=(const LoopTimer&) = delete;

  /// Calls `action` once after `delay`. Replaces what was started before.
  void StartOnce(Duration delay, std::function<void()> action);

  /// Calls `action` every `period`, until Stop().
  void StartEvery(Duration period, std::function<void()> action);

  void Stop();

  [[nodiscard]] bool running() const { return source_ != nullptr; }

 private:
  void Start(Duration delay, Duration period, std::function<void()> action);
  void Fire();

  std::unique_ptr<GSource, SourceDestroy> source_;
  std::function<void()> action_;
  Duration period_{0};
  TimePoint next_;
};

}  // namespace briarlead

#endif  // FAKES_LOOP_TIMER_H_
