#include "briarlead_metrics/latency_histogram.h"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <cmath>
#include <tuple>

namespace briarlead {

namespace {

namespace histogram = boost::histogram;

constexpr double kLowestSeconds = 1e-4;
constexpr double kHighestSeconds = 100.0;
/// Eight buckets per factor of ten, so that Quantile() is at most a third too
/// high within the bounds.
constexpr int kBucketCount = 48;

using LogAxis =
    histogram::axis::regular<double, histogram::axis::transform::log>;
using Counts = std::vector<std::uint64_t>;

LogAxis MakeAxis() {
  return {kBucketCount, kLowestSeconds, kHighestSeconds};
}

}  // namespace

struct LatencyHistogram::Storage {
  histogram::histogram<std::tuple<LogAxis>, histogram::storage_adaptor<Counts>>
      counts = histogram::make_histogram_with(Counts(), MakeAxis());
};

LatencyHistogram::LatencyHistogram() : storage_(std::make_unique<Storage>()) {}
LatencyHistogram::~LatencyHistogram() = default;
LatencyHistogram::LatencyHistogram(LatencyHistogram&&) noexcept = default;
LatencyHistogram& LatencyHistogram::operator=(LatencyHistogram&&) noexcept =
    default;

void LatencyHistogram::Observe(Duration latency) {
  const double seconds = std::max(0.0, ToSeconds(latency));
  storage_->counts(seconds);
  ++count_;
  sum_seconds_ += seconds;
}

std::vector<CumulativeBucket> LatencyHistogram::Buckets() const {
  const auto& counts = storage_->counts;
  const auto& axis = counts.axis(0);
  std::vector<CumulativeBucket> buckets;
  // Index -1 is the underflow bucket: observations below the lowest bound.
  std::uint64_t cumulative_count = counts.at(-1);
  for (int index = 0; index < axis.size(); ++index) {
    buckets.push_back({axis.bin(index).lower(), cumulative_count});
    cumulative_count += counts.at(index);
  }
  buckets.push_back({axis.bin(axis.size() - 1).upper(), cumulative_count});
  return buckets;
}

Duration LatencyHistogram::Quantile(double fraction) const {
  if (count_ == 0)
    return Duration::zero();
  const double target_count = fraction * static_cast<double>(count_);
  for (const CumulativeBucket& bucket : Buckets()) {
    if (static_cast<double>(bucket.count) >= target_count)
      return FromSeconds(bucket.upper_seconds);
  }
  return FromSeconds(kHighestSeconds);
}

}  // namespace briarlead
