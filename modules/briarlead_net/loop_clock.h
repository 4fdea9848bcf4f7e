#ifndef BRIARLEAD_NET_LOOP_CLOCK_H_
#define BRIARLEAD_NET_LOOP_CLOCK_H_

#include <cstdint>

#include "briarlead_core/time.h"

namespace briarlead {

/// Returns the current time of a monotonic clock that also advances while the
/// machine is suspended, because leases expire by it. Only I/O adapters call
/// this function; decision logic takes the time as an argument.
TimePoint LoopNow();

/// Returns the Unix time in milliseconds, by the clock of this host.
std::uint64_t UnixNowMs();

}  // namespace briarlead

#endif  // BRIARLEAD_NET_LOOP_CLOCK_H_
