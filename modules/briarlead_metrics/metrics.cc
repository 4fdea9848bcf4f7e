#include "briarlead_metrics/metrics.h"

#include <fmt/format.h>

#include <iterator>

namespace briarlead {

namespace {

bool HasRank(LabelSet set) {
  return set == LabelSet::kRank || set == LabelSet::kRankAndOutcome;
}

bool HasOutcome(LabelSet set) {
  return set == LabelSet::kOutcome || set == LabelSet::kRankAndOutcome;
}

std::size_t SeriesCount(LabelSet set) {
  const std::size_t ranks = HasRank(set) ? kRankCount : 1;
  const std::size_t outcomes = HasOutcome(set) ? kRequestOutcomeCount : 1;
  return ranks * outcomes;
}

/// Returns the index of the series with these labels in Family::series.
std::size_t SeriesIndex(LabelSet set, Labels labels) {
  const auto rank = static_cast<std::size_t>(labels.rank);
  const auto outcome = static_cast<std::size_t>(labels.outcome);
  const std::size_t rank_index = HasRank(set) ? rank : 0;
  if (!HasOutcome(set))
    return rank_index;
  return rank_index * kRequestOutcomeCount + outcome;
}

/// Returns the labels of series `index`: the inverse of SeriesIndex().
Labels SeriesLabels(LabelSet set, std::size_t index) {
  if (!HasOutcome(set))
    return {.rank = kRanks[index]};
  return {.rank = kRanks[index / kRequestOutcomeCount],
          .outcome = kRequestOutcomes[index % kRequestOutcomeCount]};
}

/// Returns the labels of series `index` that `set` has, for example
/// `rank="urgent",outcome="late"`.
std::string FormatLabels(LabelSet set, std::size_t index) {
  const Labels labels = SeriesLabels(set, index);
  std::string text;
  if (HasRank(set))
    text += fmt::format("rank=\"{}\"", ToString(labels.rank));
  if (HasOutcome(set)) {
    text += fmt::format("{}outcome=\"{}\"", text.empty() ? "" : ",",
                        ToString(labels.outcome));
  }
  return text;
}

/// Returns `labels` and `extra` in braces; an empty string when both are empty.
std::string InBraces(const std::string& labels, const std::string& extra = {}) {
  if (labels.empty() && extra.empty())
    return {};
  const char* comma = labels.empty() || extra.empty() ? "" : ",";
  return fmt::format("{{{}{}{}}}", labels, comma, extra);
}

void RenderHeader(std::string& out,
                  std::string_view name,
                  std::string_view help,
                  std::string_view type) {
  fmt::format_to(std::back_inserter(out), "# HELP {} {}\n# TYPE {} {}\n", name,
                 help, name, type);
}

void RenderHistogram(std::string& out,
                     std::string_view name,
                     const std::string& labels,
                     const LatencyHistogram& histogram) {
  auto output = std::back_inserter(out);
  for (const CumulativeBucket& bucket : histogram.Buckets()) {
    const std::string bound =
        fmt::format("le=\"{:.4g}\"", bucket.upper_seconds);
    fmt::format_to(output, "{}_bucket{} {}\n", name, InBraces(labels, bound),
                   bucket.count);
  }
  fmt::format_to(output, "{}_bucket{} {}\n", name,
                 InBraces(labels, "le=\"+Inf\""), histogram.count());
  fmt::format_to(output, "{}_sum{} {}\n", name, InBraces(labels),
                 histogram.sum_seconds());
  fmt::format_to(output, "{}_count{} {}\n", name, InBraces(labels),
                 histogram.count());
}

template <typename Family>
void RenderFamily(std::string& out,
                  const Family& family,
                  std::string_view type) {
  RenderHeader(out, family.name, family.help, type);
  for (std::size_t index = 0; index < family.series.size(); ++index) {
    fmt::format_to(std::back_inserter(out), "{}{} {}\n", family.name,
                   InBraces(FormatLabels(family.labels, index)),
                   family.series[index]);
  }
}

}  // namespace

Metrics::CounterId Metrics::AddCounter(std::string_view name,
                                       std::string_view help,
                                       LabelSet labels) {
  counters_.push_back({std::string(name), std::string(help), labels,
                       std::vector<std::uint64_t>(SeriesCount(labels))});
  return {counters_.size() - 1};
}

Metrics::GaugeId Metrics::AddGauge(std::string_view name,
                                   std::string_view help,
                                   LabelSet labels) {
  gauges_.push_back({std::string(name), std::string(help), labels,
                     std::vector<double>(SeriesCount(labels))});
  return {gauges_.size() - 1};
}

Metrics::HistogramId Metrics::AddHistogram(std::string_view name,
                                           std::string_view help,
                                           LabelSet labels) {
  histograms_.push_back({std::string(name), std::string(help), labels,
                         std::vector<LatencyHistogram>(SeriesCount(labels))});
  return {histograms_.size() - 1};
}

void Metrics::Increment(CounterId id, Labels labels, std::uint64_t n) {
  Family<std::uint64_t>& family = counters_[id.index];
  family.series[SeriesIndex(family.labels, labels)] += n;
}

void Metrics::Set(GaugeId id, double value, Labels labels) {
  Family<double>& family = gauges_[id.index];
  family.series[SeriesIndex(family.labels, labels)] = value;
}

void Metrics::Observe(HistogramId id, Duration latency, Labels labels) {
  Family<LatencyHistogram>& family = histograms_[id.index];
  family.series[SeriesIndex(family.labels, labels)].Observe(latency);
}

std::uint64_t Metrics::Value(CounterId id, Labels labels) const {
  const Family<std::uint64_t>& family = counters_[id.index];
  return family.series[SeriesIndex(family.labels, labels)];
}

const LatencyHistogram& Metrics::Value(HistogramId id, Labels labels) const {
  const Family<LatencyHistogram>& family = histograms_[id.index];
  return family.series[SeriesIndex(family.labels, labels)];
}

std::string Metrics::Render() const {
  std::string out;
  for (const auto& family : counters_)
    RenderFamily(out, family, "counter");
  for (const auto& family : gauges_)
    RenderFamily(out, family, "gauge");
  for (const auto& family : histograms_) {
    RenderHeader(out, family.name, family.help, "histogram");
    for (std::size_t index = 0; index < family.series.size(); ++index) {
      RenderHistogram(out, family.name, FormatLabels(family.labels, index),
                      family.series[index]);
    }
  }
  return out;
}

}  // namespace briarlead
