#ifndef BENCH_PLACEMENT_COST_H_
#define BENCH_PLACEMENT_COST_H_

#include <cstdint>

namespace briarlead::bench {

/// Returns the nanoseconds of processor time for one placement (enqueue, start,
/// prefill done, first token, end) in a shard of `engines` engines, half of
/// them for prefill, with `queued` requests waiting.
double MeasurePlacementNanoseconds(std::uint32_t engines, std::uint32_t queued);

}  // namespace briarlead::bench

#endif  // BENCH_PLACEMENT_COST_H_
