#include "briarlead_metrics/metrics.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>

namespace briarlead {

TEST_GROUP(Metrics) {
  Metrics metrics_;
};

TEST(Metrics, RendersEachSeriesOfACounter) {
  const auto id =
      metrics_.AddCounter("requests_total", "Requests.", LabelSet::kRank);
  metrics_.Increment(id, {.rank = Rank::kPatient}, 3);
  metrics_.Increment(id, {.rank = Rank::kPatient});
  STRCMP_EQUAL(
      "# HELP requests_total Requests.\n"
      "# TYPE requests_total counter\n"
      "requests_total{rank=\"urgent\"} 0\n"
      "requests_total{rank=\"patient\"} 4\n",
      metrics_.Render().c_str());
}

TEST(Metrics, EachPairOfRankAndOutcomeIsASeparateSeries) {
  const auto id =
      metrics_.AddCounter("r", "Requests.", LabelSet::kRankAndOutcome);
  std::uint64_t n = 0;
  for (const Rank rank : kRanks) {
    for (const RequestOutcome outcome : kRequestOutcomes)
      metrics_.Increment(id, {rank, outcome}, ++n);
  }
  LONGS_EQUAL(1, metrics_.Value(id, {Rank::kUrgent, RequestOutcome::kOnTime}));
  LONGS_EQUAL(14,
              metrics_.Value(id, {Rank::kPatient, RequestOutcome::kCancelled}));
  STRCMP_CONTAINS("r{rank=\"patient\",outcome=\"late\"} 9\n",
                  metrics_.Render().c_str());
}

TEST(Metrics, AGaugeKeepsItsLastValue) {
  const auto id = metrics_.AddGauge("queue", "Waiting.");
  metrics_.Set(id, 7);
  metrics_.Set(id, 2.5);
  STRCMP_CONTAINS("\nqueue 2.5\n", metrics_.Render().c_str());
}

TEST(Metrics, HistogramBucketsAreCumulative) {
  const auto id = metrics_.AddHistogram("latency_seconds", "Latency.");
  metrics_.Observe(id, std::chrono::microseconds(1));
  metrics_.Observe(id, std::chrono::milliseconds(10));
  metrics_.Observe(id, std::chrono::milliseconds(20));
  metrics_.Observe(id, std::chrono::seconds(1000));
  const auto buckets = metrics_.Value(id).Buckets();
  CHECK_TRUE(std::ranges::is_sorted(buckets, {}, &CumulativeBucket::count));
  LONGS_EQUAL(1, buckets.front().count);
  LONGS_EQUAL(3, buckets.back().count);
  const std::string text = metrics_.Render();
  STRCMP_CONTAINS("latency_seconds_bucket{le=\"0.0001\"} 1\n", text.c_str());
  STRCMP_CONTAINS("latency_seconds_bucket{le=\"100\"} 3\n", text.c_str());
  STRCMP_CONTAINS("latency_seconds_bucket{le=\"+Inf\"} 4\n", text.c_str());
  STRCMP_CONTAINS("latency_seconds_count 4\n", text.c_str());
}

TEST(Metrics, AQuantileIsTheUpperBoundOfItsBucket) {
  LatencyHistogram histogram;
  CHECK_TRUE(histogram.Quantile(0.5) == Duration::zero());
  for (int milliseconds = 1; milliseconds <= 1000; ++milliseconds)
    histogram.Observe(std::chrono::milliseconds(milliseconds));
  const double median = ToSeconds(histogram.Quantile(0.5));
  CHECK_TRUE(median >= 0.5 && median < 0.5 * 1.34);
  const double p99 = ToSeconds(histogram.Quantile(0.99));
  CHECK_TRUE(p99 >= 0.99 && p99 < 0.99 * 1.34);
}

TEST(Metrics, ObservationsDoNotAddSeries) {
  const auto id = metrics_.AddHistogram("l", "L.", LabelSet::kRankAndOutcome);
  const auto lines = [&] {
    return std::ranges::count(metrics_.Render(), '\n');
  };
  const auto before = lines();
  for (int milliseconds = 0; milliseconds < 100000; ++milliseconds)
    metrics_.Observe(id, Duration(milliseconds * 1000));
  LONGS_EQUAL(before, lines());
}

}  // namespace briarlead
