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

/// Which labels the series of a metric carry. There are no others, so that no
/// input of a caller can make new series.
enum class LabelSet { kNone, kRank, kOutcome, kRankAndOutcome };

/// Values of the labels of one series; those that the metric does not carry
/// are passed over.
struct Labels {
  Rank rank = Rank::kUrgent;
  RequestOutcome outcome = RequestOutcome::kOnTime;
};

/// The metrics of one process. Metrics are added at start, each name once;
/// names follow Prometheus ("briarlead_requests_total").
class Metrics {
 public:
  /// Names a metric that was added.
  template <typename Tag>
  struct Id {
    std::size_t index = 0;
  };
  using CounterId = Id<struct CounterTag>;
  using GaugeId = Id<struct GaugeTag>;
  using HistogramId = Id<struct HistogramTag>;

  CounterId AddCounter(std::string_view name,
                       std::string_view help,
                       LabelSet labels = LabelSet::kNone);
  GaugeId AddGauge(std::string_view name,
                   std::string_view help,
                   LabelSet labels = LabelSet::kNone);
  /// Adds a latency histogram in seconds.
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

  /// Returns every metric as Prometheus text (format 0.0.4), in the order in
  /// which they were added by kind: counters, gauges, histograms.
  [[nodiscard]] std::string Render() const;

 private:
  template <typename Cell>
  struct Family {
    std::string name;
    std::string help;
    LabelSet labels = LabelSet::kNone;
    std::vector<Cell> cells;  ///< One a series.
  };

  std::vector<Family<std::uint64_t>> counters_;
  std::vector<Family<double>> gauges_;
  std::vector<Family<LatencyHistogram>> histograms_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_METRICS_METRICS_H_
