#ifndef BENCH_UPPER_BOUND_H_
#define BENCH_UPPER_BOUND_H_

#include <vector>

#include "bench/scenario.h"
#include "bench/workload.h"

namespace briarlead::bench {

/// Returns an upper bound on the share of requests, of those that are counted,
/// that any policy can serve within both targets. It knows every length and
/// arrival beforehand, may split requests, and lets all engines share work
/// freely; only the tokens a second of decode and of prefill bind, each by
/// itself, and each request's work must lie between its arrival and its
/// deadline.
double UpperBoundShare(const Deployment& deployment,
                       const Scenario& scenario,
                       const std::vector<Arrival>& arrivals);

}  // namespace briarlead::bench

#endif  // BENCH_UPPER_BOUND_H_
