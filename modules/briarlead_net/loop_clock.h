#ifndef BRIARLEAD_NET_LOOP_CLOCK_H_
#define BRIARLEAD_NET_LOOP_CLOCK_H_

#include "briarlead_core/time.h"

namespace briarlead {

/// Returns the present time of a clock that never goes back and that goes on
/// while the machine sleeps, since leases end by it. Only adapters call it;
/// deciding functions are given the time.
TimePoint LoopNow();

}  // namespace briarlead

#endif  // BRIARLEAD_NET_LOOP_CLOCK_H_
