#ifndef BRIARLEAD_NET_LOOP_CLOCK_H_
#define BRIARLEAD_NET_LOOP_CLOCK_H_

#include <glib.h>

#include "briarlead_core/time.h"

namespace briarlead {

/// Returns the present time of the monotonic clock. Only adapters call it;
/// deciding functions are given the time.
inline TimePoint LoopNow() {
  return TimePoint(Duration(g_get_monotonic_time()));
}

}  // namespace briarlead

#endif  // BRIARLEAD_NET_LOOP_CLOCK_H_
