#ifndef BENCH_SCENARIO_H_
#define BENCH_SCENARIO_H_

#include <chrono>
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
  /// When requests stop to arrive.
  TimePoint arrivals_end{std::chrono::seconds(240)};
};

/// Times of a run.
inline constexpr TimePoint kCountFrom{std::chrono::seconds(60)};
inline constexpr TimePoint kEventFrom{std::chrono::seconds(120)};
inline constexpr TimePoint kEventTo{std::chrono::seconds(180)};
/// Time from the last arrival to the end of the run.
inline constexpr Duration kDrainTime{std::chrono::seconds(180)};
/// End of the arrivals of a run at constant load: long, so that what the bound
/// may do before the first and after the last counted request weighs little.
inline constexpr TimePoint kLongArrivalsEnd{std::chrono::seconds(660)};

/// Returns every scenario of the table.
std::vector<Scenario> AllScenarios();

/// Returns the scenario called `name`, which must exist.
Scenario ScenarioNamed(const std::string& name);

}  // namespace briarlead::bench

#endif  // BENCH_SCENARIO_H_
