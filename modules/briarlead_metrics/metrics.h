#ifndef BRIARLEAD_METRICS_METRICS_H_
#define BRIARLEAD_METRICS_METRICS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "briarlead_core/rank.h"
#include "briarlead_core/time.h"
#include "briarlead_metrics/latency_histogram.h"
#include "briarlead_metrics/request_outcome.h"

namespace briarlead {

/// The labels that the series of a metric have. Other labels aren't supported,
/// so that input from callers can't create new series.
enum class LabelSet { kNone, kRank, kOutcome, kRankAndOutcome };

/// Label values of one series. Labels that the metric doesn't have are ignored.
struct Labels {
  Rank rank = Rank::kUrgent;
  RequestOutcome outcome = RequestOutcome::kOnTime;
};

/// The metrics of one process. They are added at startup, each name once. Names
/// follow the conventions of Prometheus ("briarlead_requests_total").
class Metrics {
 public:
  /// Refers to a metric that was added.
  template <typename Tag>
  struct Id {
    std::size_t index = 0;
  };
  using CounterId = Id<struct CounterTag>;
  using GaugeId = Id<struct GaugeTag>;
  using HistogramId = Id<struct HistogramTag>;

  /// The Add functions add a metric with a Prometheus help text. They create
  /// all its series, one per combination of label values, with the value zero.
  CounterId AddCounter(std::string_view name,
                       std::string_view help,
                       LabelSet labels = LabelSet::kNone);
  GaugeId AddGauge(std::string_view name,
                   std::string_view help,
                   LabelSet labels = LabelSet::kNone);
  /// Adds a histogram of latencies, which is rendered in seconds.
  HistogramId AddHistogram(std::string_view name,
                           std::string_view help,
                           LabelSet labels = LabelSet::kNone);

  void Increment(CounterId id, Labels labels = {}, std::uint64_t n = 1);
  void Set(GaugeId id, double value, Labels labels = {});
  void Observe(HistogramId id, Duration latency, Labels labels = {});

  /// Returns the value of one series.
  [[nodiscard]] std::uint64_t Value(CounterId id, Labels labels = {}) const;
  [[nodiscard]] const LatencyHistogram& Value(HistogramId id,
                                              Labels labels = {}) const;

  /// Returns all metrics in the Prometheus text format (0.0.4): counters,
  /// gauges, then histograms, each in the order in which they were added.
  [[nodiscard]] std::string Render() const;

 private:
  /// A metric and the values of its series.
  template <typename SeriesValue>
  struct Family {
    std::string name;
    std::string help;
    LabelSet labels = LabelSet::kNone;
    std::vector<SeriesValue> series;  ///< One per combination of label values.
  };

  std::vector<Family<std::uint64_t>> counters_;
  std::vector<Family<double>> gauges_;
  std::vector<Family<LatencyHistogram>> histograms_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_METRICS_METRICS_H_
