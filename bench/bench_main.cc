#include <fmt/format.h>

#include <cstdint>
#include <cstdio>
#include <cxxopts.hpp>
#include <exception>
#include <string>
#include <vector>

#include "bench/placement_cost.h"
#include "bench/report.h"
#include "bench/run_policies.h"

namespace briarlead::bench {
namespace {

void PrintRow(const ReportRow& row) {
  const auto mean = [&row](auto part) { return row.Mean(part); };
  fmt::print(
      "{:12} {:20} {:12} goodput {:.3f} bound {:.3f} ratio {:.3f} waste {:.4f} "
      "urgent {:.4f} patient {:.3f} answered {:.3f} event urgent {:.3f} rest "
      "{:.3f} rest urgent {:.3f} floor {:.2f} use {:.3f}/{:.3f} unanswered "
      "{:.1f} held {:.1f} double {:.1f}\n",
      row.deployment, row.scenario, row.policy,
      mean([](const Measures& m) { return m.all.GoodShare(); }),
      mean([](const Measures& m) { return m.bound_share; }), row.GoodputRatio(),
      mean([](const Measures& m) { return m.wasted_prefill_share; }),
      mean([](const Measures& m) { return m.urgent.GoodShare(); }),
      mean([](const Measures& m) { return m.patient.GoodShare(); }),
      mean([](const Measures& m) { return m.patient.AnsweredShare(); }),
      mean([](const Measures& m) { return m.event_urgent.GoodShare(); }),
      mean([](const Measures& m) { return m.event_rest.GoodShare(); }),
      mean([](const Measures& m) { return m.event_rest_urgent.GoodShare(); }),
      mean([](const Measures& m) { return m.patient_floor_use; }),
      mean([](const Measures& m) { return m.decode_use; }),
      mean([](const Measures& m) { return m.prefill_use; }),
      mean([](const Measures& m) { return static_cast<double>(m.unanswered); }),
      mean(
          [](const Measures& m) { return static_cast<double>(m.held_at_end); }),
      mean([](const Measures& m) {
        return static_cast<double>(m.double_tokens);
      }));
  std::fflush(stdout);
}

void PrintCosts() {
  fmt::print("engines  queued  ns per placement\n");
  for (const std::uint32_t engines : {8U, 16U, 32U, 64U}) {
    for (const std::uint32_t queued : {10U, 100U, 1'000U, 10'000U})
      fmt::print("{:7}  {:6}  {:.0f}\n", engines, queued,
                 MeasurePlacementNanoseconds(engines, queued));
  }
}

std::vector<ReportRow> RunAll(const std::string& scenario,
                              bool baselines,
                              std::uint64_t seeds) {
  std::vector<ReportRow> rows;
  for (const Deployment& deployment :
       {CooperativeDeployment(), HemlineDeployment()}) {
    for (const Scenario& it : AllScenarios()) {
      if (it.name.find(scenario) == std::string::npos)
        continue;
      for (const std::string& policy : PolicyNames()) {
        if (!baselines && policy != PolicyNames().front())
          continue;
        ReportRow row{deployment.name, it.name, policy, {}};
        for (std::uint64_t seed = 1; seed <= seeds; ++seed)
          row.runs.push_back(RunPolicy(policy, deployment, it, seed));
        PrintRow(row);
        rows.push_back(std::move(row));
      }
    }
  }
  return rows;
}

int Main(int argc, char** argv) {
  cxxopts::Options options("briarlead_bench",
                           "Measures the dispatch policy in virtual time.");
  options.add_options()("scenario", "only scenarios whose name has this part",
                        cxxopts::value<std::string>()->default_value(""))(
      "seeds", "number of seeds, from 1",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "baselines", "run the baselines too")(
      "report", "write the table and the plots into this directory",
      cxxopts::value<std::string>()->default_value(""))(
      "cost", "measure the processor time of a placement instead")(
      "help", "print this");
  const auto given = options.parse(argc, argv);
  if (given.count("help") > 0) {
    fmt::print("{}", options.help());
    return 0;
  }
  if (given.count("cost") > 0) {
    PrintCosts();
    return 0;
  }
  const auto directory = given["report"].as<std::string>();
  const auto rows = RunAll(given["scenario"].as<std::string>(),
                           given.count("baselines") > 0 || !directory.empty(),
                           given["seeds"].as<std::uint64_t>());
  if (!directory.empty() && !WriteReport(rows, directory)) {
    fmt::print(stderr, "cannot write into {}\n", directory);
    return 1;
  }
  return 0;
}

}  // namespace
}  // namespace briarlead::bench

int main(int argc, char** argv) {
  try {
    return briarlead::bench::Main(argc, argv);
  } catch (const std::exception& error) {
    fmt::print(stderr, "{}\n", error.what());
    return 2;
  }
}
