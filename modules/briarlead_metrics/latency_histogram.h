#ifndef BRIARLEAD_METRICS_LATENCY_HISTOGRAM_H_
#define BRIARLEAD_METRICS_LATENCY_HISTOGRAM_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "briarlead_core/time.h"

namespace briarlead {

/// Number of observations up to an upper bound.
struct CumulativeBucket {
  double upper_seconds = 0;
  std::uint64_t count = 0;  ///< Observations at or below the bound.
};

/// Latency histogram with logarithmic buckets from 100 us to 100 s. Its memory
/// use is fixed and doesn't grow with the observations.
class LatencyHistogram {
 public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(LatencyHistogram&&) noexcept;
  LatencyHistogram& operator=(LatencyHistogram&&) noexcept;

  /// Adds one observation. A negative latency counts as zero.
  void Observe(Duration latency);

  /// Returns the number of observations.
  [[nodiscard]] std::uint64_t count() const { return count_; }
  /// Returns the sum of all observations in seconds.
  [[nodiscard]] double sum_seconds() const { return sum_seconds_; }

  /// Returns the buckets by ascending bound. Observations above the last bound
  /// are included in count() only.
  [[nodiscard]] std::vector<CumulativeBucket> Buckets() const;

  /// Returns the quantile `fraction` (0 to 1), rounded up to the upper bound of
  /// its bucket: zero without observations, and 100 s, the last bound, when the
  /// quantile lies above it.
  [[nodiscard]] Duration Quantile(double fraction) const;

 private:
  struct Storage;
  std::unique_ptr<Storage> storage_;
  std::uint64_t count_ = 0;
  double sum_seconds_ = 0;
};

}  // namespace briarlead

#endif  // BRIARLEAD_METRICS_LATENCY_HISTOGRAM_H_
