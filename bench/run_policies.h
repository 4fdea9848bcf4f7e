#ifndef BENCH_RUN_POLICIES_H_
#define BENCH_RUN_POLICIES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "bench/measures.h"
#include "bench/scenario.h"
#include "bench/workload.h"

namespace briarlead::bench {

/// Returns the names of the policies: briarlead, then the baselines.
const std::vector<std::string>& PolicyNames();

/// Runs one scenario with the policy called `policy`, one of PolicyNames().
Measures RunPolicy(const std::string& policy,
                   const Deployment& deployment,
                   const Scenario& scenario,
                   std::uint64_t seed);

}  // namespace briarlead::bench

#endif  // BENCH_RUN_POLICIES_H_
