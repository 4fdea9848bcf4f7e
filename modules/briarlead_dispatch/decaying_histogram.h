#ifndef BRIARLEAD_DISPATCH_DECAYING_HISTOGRAM_H_
#define BRIARLEAD_DISPATCH_DECAYING_HISTOGRAM_H_

#include <array>
#include <cstddef>

namespace briarlead {

/// Histogram of positive numbers with buckets of a constant ratio, in which
/// older samples lose weight as new ones are added. Uses a fixed amount of
/// memory.
class DecayingHistogram {
 public:
  /// Number of buckets; the last one also counts values above the range.
  static constexpr std::size_t kBucketCount = 56;
  /// Ratio of a bucket's upper bound to its lower bound.
  static constexpr double kBucketRatio = 1.2;
  /// Factor by which each new sample reduces the weight of the older ones.
  static constexpr double kDecayPerSample = 0.998;

  /// Adds `value`; values below 1 count as 1.
  void Add(double value);

  /// Returns the effective number of samples.
  [[nodiscard]] double weight() const { return weight_; }

  /// Returns the mean of the samples; 0 when there are none.
  [[nodiscard]] double Mean() const;

  /// Returns the share of samples above `value`; 1 when there are no samples.
  [[nodiscard]] double ShareAbove(double value) const;

  /// Returns the value below which the share `q` of the samples lies; 0 when
  /// there are no samples.
  [[nodiscard]] double Quantile(double q) const;

 private:
  std::array<double, kBucketCount> buckets_{};
  double weight_ = 0.0;
  double sum_ = 0.0;
};

}  // namespace briarlead

#endif  // BRIARLEAD_DISPATCH_DECAYING_HISTOGRAM_H_
