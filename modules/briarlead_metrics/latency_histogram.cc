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
/// Eight to each factor of ten: a quantile is at most a third too high.
constexpr int kBuckets = 48;

using LogAxis =
    histogram::axis::regular<double, histogram::axis::transform::log>;
using Counts = std::vector<std::uint64_t>;

LogAxis MakeAxis() {
  return {kBuckets, kLowestSeconds, kHighestSeconds};
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
  // Index -1 holds what lies below the lowest bound.
  std::uint64_t below = counts.at(-1);
  for (int it = 0; it < axis.size(); ++it) {
    buckets.push_back({axis.bin(it).lower(), below});
    below += counts.at(it);
  }
  buckets.push_back({axis.bin(axis.size() - 1).upper(), below});
  return buckets;
}

Duration LatencyHistogram::Quantile(double fraction) const {
  if (count_ == 0)
    return Duration::zero();
  const double wanted = fraction * static_cast<double>(count_);
  for (const CumulativeBucket& it : Buckets()) {
    if (static_cast<double>(it.count) >= wanted)
      return FromSeconds(it.upper_seconds);
  }
  return FromSeconds(kHighestSeconds);
}

}  // namespace briarlead
