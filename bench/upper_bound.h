#ifndef BENCH_UPPER_BOUND_H_
#define BENCH_UPPER_BOUND_H_

#include <vector>

#include "bench/scenario.h"
#include "bench/workload.h"

namespace briarlead::bench {

/// Returns an upper bound on the share of requests, of those that are counted,
/// that any policy can serve within both targets. It knows every length and
/// arrival beforehand, may split requests, and lets all engines of a pool share
/// work freely. What binds: the seconds of decode and of prefill, each by
/// itself and both together at several prices, between each request's arrival
/// and its deadline; and the link's time, for which a decode slot is taken.
double UpperBoundShare(const Deployment& deployment,
                       const Scenario& scenario,
                       const std::vector<Arrival>& arrivals);

}  // namespace briarlead::bench

#endif  // BENCH_UPPER_BOUND_H_
