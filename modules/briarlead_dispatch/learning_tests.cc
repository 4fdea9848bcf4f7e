#include <chrono>
#include <vector>

#include "briarlead_dispatch/cost_model.h"
#include "briarlead_dispatch/decaying_histogram.h"
#include "briarlead_dispatch/engine_health.h"
#include "briarlead_dispatch/prefix_cache_estimate.h"
#include "briarlead_dispatch/shard_chooser.h"
#include "briarlead_dispatch/urgent_reserve.h"

// After everything that uses the global operator new.
#include <CppUTest/TestHarness.h>

namespace briarlead {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(DispatchLearning) {
  TimePoint now_{seconds(10)};

  static ShardSummary MakeShard(const char* name, Duration wait) {
    ShardSummary shard;
    shard.data_centre = DataCentreId(name);
    shard.decode_slots = 16;
    shard.expected_urgent_wait = wait;
    shard.expected_patient_wait = wait;
    return shard;
  }
};

TEST(DispatchLearning, HistogramGivesQuantilesAndFollowsChange) {
  DecayingHistogram histogram;
  for (int i = 0; i < 500; ++i)
    histogram.Add(i % 2 == 0 ? 100.0 : 400.0);
  DOUBLES_EQUAL(0.5, histogram.ShareAbove(200.0), 0.02);
  DOUBLES_EQUAL(0.0, histogram.ShareAbove(600.0), 1e-9);
  CHECK_TRUE(histogram.Quantile(0.25) < 130.0);
  CHECK_TRUE(histogram.Quantile(0.9) > 320.0);
  for (int i = 0; i < 3000; ++i)
    histogram.Add(100.0);
  CHECK_TRUE(histogram.ShareAbove(200.0) < 0.01);
}

TEST(DispatchLearning, LearnsOutputLengthsByClassFromACautiousPrior) {
  CostModel costs;
  PlacementRequest summary;
  summary.customer = CustomerId("visits");
  summary.max_output_tokens = 160;
  CHECK_TRUE(costs.ExpectedOutput(summary) >= 80.0);
  DOUBLES_EQUAL(1.0, costs.ProbabilityLongerThan(summary, 100.0), 1e-9);
  PlacementRequest note = summary;
  note.max_output_tokens = 500;
  for (int i = 0; i < 50; ++i) {
    costs.LearnOutput(summary, 60);
    costs.LearnOutput(note, 300);
  }
  DOUBLES_EQUAL(60.0, costs.ExpectedOutput(summary), 1.0);
  DOUBLES_EQUAL(300.0, costs.ExpectedOutput(note), 1.0);
  note.delivered_tokens = 100;
  DOUBLES_EQUAL(200.0, costs.ExpectedOutput(note), 1.0);
}

TEST(DispatchLearning, EngineIsEjectedProbedAndStartsSlowly) {
  EngineHealth health;
  const BackendServerId server("decode-1");
  for (std::uint32_t i = 0; i < EngineHealth::kFailuresToEject; ++i) {
    CHECK_EQUAL(16, health.AllowedSlots(server, 16, now_));
    health.OnFailure(server, now_);
  }
  CHECK_EQUAL(0, health.AllowedSlots(server, 16, now_));
  now_ = health.NextProbe(now_).value();
  CHECK_EQUAL(1, health.AllowedSlots(server, 16, now_));
  health.OnFailure(server, now_);
  const TimePoint second = health.NextProbe(now_).value();
  CHECK_TRUE(second - now_ >= seconds(4));
  now_ = second;
  health.OnSuccess(server, now_);
  CHECK_EQUAL(4, health.AllowedSlots(server, 16, now_));
  CHECK_EQUAL(16, health.AllowedSlots(server, 16, now_ + seconds(5)));
}

TEST(DispatchLearning, PrefixEstimateEvictsTheOldestAndFollowsEvents) {
  PrefixCacheEstimate prefixes(3);
  const BackendServerId server("prefill-1");
  const std::vector<std::uint64_t> first = {1, 2};
  const std::vector<std::uint64_t> second = {8, 9};
  prefixes.OnCached(server, first);
  const std::uint32_t block = PrefixCacheEstimate::kBlockTokens;
  CHECK_EQUAL(2 * block, prefixes.CachedTokens(server, first));
  prefixes.OnCached(server, second);
  CHECK_EQUAL(0, prefixes.CachedTokens(server, first));
  CHECK_EQUAL(2 * block, prefixes.CachedTokens(server, second));
  const std::vector<std::uint64_t> evicted = {9};
  prefixes.OnEvicted(server, evicted);
  CHECK_EQUAL(block, prefixes.CachedTokens(server, second));
}

TEST(DispatchLearning, ReserveGrowsWithUrgentDemand) {
  UrgentReserve reserve(0.995);
  CHECK_EQUAL(0, reserve.Slots(8, now_));
  for (int i = 0; i < 300; ++i) {
    now_ += milliseconds(500);
    reserve.OnArrival(seconds(1), now_);
    if (i % 2 == 0)
      reserve.OnSlotFreed(now_);
  }
  const std::uint32_t kept = reserve.Slots(8, now_);
  CHECK_TRUE(kept >= 2);
  for (int i = 0; i < 8; ++i)
    reserve.OnStarted(false);
  CHECK_TRUE(reserve.Slots(8, now_) > kept);
  CHECK_EQUAL(0, reserve.Slots(8, now_ + seconds(600)));
}

TEST(DispatchLearning, ChooserLeavesHomeOnlyForAShorterWait) {
  RandomSource random(1);
  std::vector<ShardSummary> shards = {MakeShard("home", seconds(0)),
                                      MakeShard("other", seconds(0))};
  const DataCentreId home("home");
  CHECK_EQUAL(0, *ShardChooser::Choose(shards, home, Rank::kPatient,
                                       std::nullopt, random));
  shards[0].expected_patient_wait = seconds(3);
  CHECK_EQUAL(1, *ShardChooser::Choose(shards, home, Rank::kPatient,
                                       std::nullopt, random));
  shards[1].expected_patient_wait = seconds(3);
  CHECK_EQUAL(0, *ShardChooser::Choose(shards, home, Rank::kPatient,
                                       std::nullopt, random));
  CHECK_FALSE(ShardChooser::Choose(shards, home, Rank::kPatient, home, random));
  shards[0].decode_slots = 0;
  CHECK_EQUAL(
      1, *ShardChooser::Choose(shards, home, Rank::kPatient, home, random));
  shards[1].decode_slots = 0;
  CHECK_FALSE(
      ShardChooser::Choose(shards, home, Rank::kPatient, std::nullopt, random));
}

}  // namespace briarlead
