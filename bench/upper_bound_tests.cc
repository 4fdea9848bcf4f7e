#include "bench/upper_bound.h"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <vector>

namespace briarlead::bench {

TEST_GROUP(UpperBound){
    /// Returns `count` patient requests of `tokens` output tokens that arrive
    /// together, after counting began.
    static std::vector<Arrival> Together(std::uint32_t count,
                                         std::uint32_t tokens){Arrival arrival;
arrival.when = kEventFrom;
arrival.prompt_tokens = 100;
arrival.output_tokens = tokens;
return std::vector<Arrival>(count, arrival);
}  // namespace briarlead::bench
}
;

TEST(UpperBound, IsWholeWhenEverythingFits) {
  const Deployment deployment = CooperativeDeployment();
  DOUBLES_EQUAL(1.0, UpperBoundShare(deployment, {}, Together(10, 100)), 1e-9);
}

TEST(UpperBound, LeavesOutWhatDecodeCannotGenerateInTime) {
  const Deployment deployment = CooperativeDeployment();
  const double share = UpperBoundShare(deployment, {}, Together(2'000, 100));
  // 2000 * 100 tokens in at most 10 s + 100 * 63 ms, up to two bins longer.
  const double seconds = 16.3 + 8.0;
  const double most =
      kDataCentres * deployment.decode.TokensPerSecond() * seconds;
  CHECK_TRUE(share <= most / 200'000.0);
  CHECK_TRUE(share > 0.5 * most / 200'000.0);
}

TEST(UpperBound, ServesTheShortOnesFirst) {
  const Deployment deployment = CooperativeDeployment();
  std::vector<Arrival> arrivals = Together(500, 400);
  const std::vector<Arrival> shorter = Together(500, 10);
  arrivals.insert(arrivals.end(), shorter.begin(), shorter.end());
  CHECK_TRUE(UpperBoundShare(deployment, {}, arrivals) > 0.5);
}

}  // namespace briarlead::bench
