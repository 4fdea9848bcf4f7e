#ifndef BRIARLEAD_METRICS_LATENCY_HISTOGRAM_H_
#define BRIARLEAD_METRICS_LATENCY_HISTOGRAM_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "briarlead_core/time.h"

namespace briarlead {

/// Observations up to and including a bound.
struct CumulativeBucket {
  double upper_seconds = 0;
  std::uint64_t count = 0;  ///< Observations at or below the bound.
};

/// Counts latencies in buckets of logarithmic width from 100 us to 100 s.
/// Memory is fixed, whatever is observed.
class LatencyHistogram {
 public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(LatencyHistogram&&) noexcept;
  LatencyHistogram& operator=(LatencyHistogram&&) noexcept;

  void Observe(Duration latency);

  /// Returns the number of observations.
  [[nodiscard]] std::uint64_t count() const { return count_; }
  [[nodiscard]] double sum_seconds() const { return sum_seconds_; }

  /// Returns the buckets in order of bound; observations above the last bound
  /// stand only in count().
  [[nodiscard]] std::vector<CumulativeBucket> Buckets() const;

  /// Returns the bound below which the part `fraction` (0 to 1) of the
  /// observations lies: the upper bound of its bucket, zero with none.
  [[nodiscard]] Duration Quantile(double fraction) const;

 private:
  struct Storage;
  std::unique_ptr<Storage> storage_;
  std::uint64_t count_ = 0;
  double sum_seconds_ = 0;
};

}  // namespace briarlead

#endif  // BRIARLEAD_METRICS_LATENCY_HISTOGRAM_H_
