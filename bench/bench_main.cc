#include <fmt/format.h>

#include <string>

#include "bench/bench_run.h"

namespace briarlead::bench {
namespace {

template <typename Policy>
void Print(const char* name,
           Policy policy,
           const Deployment& deployment,
           const Scenario& scenario,
           std::uint64_t seed) {
  const Measures m = BenchRun<Policy>(policy, deployment, scenario, seed).Run();
  fmt::print(
      "{:12} {:20} {:9} good={:.4f} bound={:.4f} ratio={:.3f} waste={:.4f} "
      "urg={:.4f} patOT={:.3f} patAns={:.3f} | ev urg={:.3f} pat={:.3f}/{:.3f} "
      "rest={:.3f} "
      "restU={:.3f} floor={:.2f} dec={:.3f} pre={:.3f} un={} held={} dbl={}\n",
      deployment.name, scenario.name, name, m.all.GoodShare(), m.bound_share,
      m.all.GoodShare() / m.bound_share, m.wasted_prefill_share,
      m.urgent.GoodShare(), m.patient.GoodShare(), m.patient.AnsweredShare(),
      m.event_urgent.GoodShare(), m.event_patient.GoodShare(),
      m.event_patient.AnsweredShare(), m.event_rest.GoodShare(),
      m.event_rest_urgent.GoodShare(), m.patient_floor_use, m.decode_use,
      m.prefill_use, m.unanswered, m.held_at_end, m.double_tokens);
  std::fflush(stdout);
}

}  // namespace
}  // namespace briarlead::bench

int main(int argc, char** argv) {
  using namespace briarlead::bench;
  const std::string only = argc > 1 ? argv[1] : "";
  const bool baselines = argc == 3;
  const std::uint64_t seed = argc > 3 ? std::stoull(argv[3]) : 1;
  briarlead::DispatcherOptions o;
  auto env = [](const char* k, double& v) {
    if (const char* e = getenv(k))
      v = std::stod(e);
  };
  env("LATE", o.late_share);
  env("MARGIN", o.admission_margin);
  env("OVER", o.overlap_confidence);
  env("RES", o.max_urgent_reserve);
  env("UCONF", o.urgent_confidence);
  env("CAP", o.customer_cap);
  env("FLOOR", o.patient_floor);
  double look = 0.03;
  env("LOOK", look);
  o.prefill_lookahead = briarlead::FromSeconds(look);
  double lb = 120;
  env("LB", lb);
  o.late_backlog_limit = briarlead::FromSeconds(lb);
  for (const Deployment& deployment :
       {CooperativeDeployment(), HemlineDeployment()}) {
    for (const Scenario& it : AllScenarios()) {
      if (!only.empty() && it.name.find(only) == std::string::npos)
        continue;
      Print("briarlead", BriarleadPolicy(o), deployment, it, seed);
      if (!baselines)
        continue;
      Print("rr", BaselinePolicy(Baseline::kRoundRobin), deployment, it, 1);
      Print("greedy", BaselinePolicy(Baseline::kLeastLoadedGreedy), deployment,
            it, 1);
      Print("fcfs", BaselinePolicy(Baseline::kFirstCome), deployment, it, 1);
    }
  }
}
