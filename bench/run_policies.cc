#include "bench/run_policies.h"

#include "bench/bench_run.h"

namespace briarlead::bench {

const std::vector<std::string>& PolicyNames() {
  static const std::vector<std::string> kNames = {"briarlead", "round robin",
                                                  "least loaded", "first come"};
  return kNames;
}

Measures RunPolicy(const std::string& policy,
                   const Deployment& deployment,
                   const Scenario& scenario,
                   std::uint64_t seed) {
  if (policy == "briarlead")
    return BenchRun(BriarleadPolicy(), deployment, scenario, seed).Run();
  Baseline way = Baseline::kFirstCome;
  if (policy == "round robin")
    way = Baseline::kRoundRobin;
  else if (policy == "least loaded")
    way = Baseline::kLeastLoadedGreedy;
  return BenchRun(BaselinePolicy(way), deployment, scenario, seed).Run();
}

}  // namespace briarlead::bench
