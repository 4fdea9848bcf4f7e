#ifndef BRIARLEAD_HTTP_LOOP_DRIVER_FOR_TESTS_H_
#define BRIARLEAD_HTTP_LOOP_DRIVER_FOR_TESTS_H_

#include <glib.h>

#include "briarlead_core/time.h"

namespace briarlead {

/// Longest time that RunUntil() waits.
inline constexpr Duration kLoopLimit = std::chrono::seconds(20);

/// Runs GLib's default main context until `condition` holds. Returns false
/// when it doesn't within a limit that only a failure reaches.
template <typename Condition>
bool RunUntil(const Condition& condition) {
  const std::int64_t end = g_get_monotonic_time() + kLoopLimit.count();
  // Wakes the loop for conditions that no event announces.
  const guint tick = g_timeout_add(
      5, [](gpointer) { return static_cast<gboolean>(TRUE); }, nullptr);
  bool holds = condition();
  while (!holds && g_get_monotonic_time() < end) {
    g_main_context_iteration(nullptr, TRUE);
    holds = condition();
  }
  g_source_remove(tick);
  return holds;
}

/// Runs what is pending on GLib's default main context.
inline void RunPending() {
  while (g_main_context_iteration(nullptr, FALSE)) {
  }
}

}  // namespace briarlead

#endif  // BRIARLEAD_HTTP_LOOP_DRIVER_FOR_TESTS_H_
