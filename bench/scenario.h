#ifndef BENCH_SCENARIO_H_
#define BENCH_SCENARIO_H_

#include <optional>
#include <string>
#include <vector>

#include "bench/workload.h"
#include "briarlead_core/time.h"

namespace briarlead::bench {

/// What fails during a run.
enum class Fault {
  kNone,
  kHalfOfEnginesLost,  ///< Both engines of two data centres die.
  kDecodeEnginesLost,  ///< The decode engines of two data centres die.
  kStalledLinks,       ///< The link of one decode engine moves nothing.
  kDataCentreCutOff,   ///< One data centre reaches no other.
  kDispatcherKilled,   ///< One dispatcher dies, another takes over.
};

/// One run of the bench.
struct Scenario {
  std::string name;
  double load = 0.8;
  std::optional<Flood> flood;
  Fault fault = Fault::kNone;
  bool cold_start = false;  ///< Counts from the first request on.
};

/// Times of a run.
inline constexpr TimePoint kCountFrom{std::chrono::seconds(60)};
inline constexpr TimePoint kEventFrom{std::chrono::seconds(120)};
inline constexpr TimePoint kEventTo{std::chrono::seconds(180)};
inline constexpr TimePoint kArrivalsEnd{std::chrono::seconds(240)};
inline constexpr TimePoint kRunEnd{std::chrono::seconds(420)};

/// Returns every scenario of the table.
std::vector<Scenario> AllScenarios();

/// Returns the scenario called `name`, which must exist.
Scenario ScenarioNamed(const std::string& name);

}  // namespace briarlead::bench

#endif  // BENCH_SCENARIO_H_
