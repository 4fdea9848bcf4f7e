#include "briarlead_dispatch/decaying_histogram.h"

#include <algorithm>
#include <cmath>

namespace briarlead {
namespace {

/// Returns the position of `value` on the scale of buckets; whole numbers are
/// bucket bounds.
double Position(double value) {
  static const double kInverseLog =
      1.0 / std::log(DecayingHistogram::kBucketRatio);
  return std::log(std::max(value, 1.0)) * kInverseLog;
}

double LowerBound(std::size_t bucket) {
  return std::pow(DecayingHistogram::kBucketRatio, static_cast<double>(bucket));
}

}  // namespace

void DecayingHistogram::Add(double value) {
  for (double& it : buckets_)
    it *= kDecayPerSample;
  weight_ = weight_ * kDecayPerSample + 1.0;
  sum_ = sum_ * kDecayPerSample + std::max(value, 1.0);
  const auto bucket = static_cast<std::size_t>(Position(value));
  buckets_[std::min(bucket, kBucketCount - 1)] += 1.0;
}

double DecayingHistogram::Mean() const {
  return weight_ > 0.0 ? sum_ / weight_ : 0.0;
}

double DecayingHistogram::ShareAbove(double value) const {
  if (weight_ <= 0.0)
    return 1.0;
  const double position = Position(value);
  const auto bucket =
      std::min(static_cast<std::size_t>(position), kBucketCount - 1);
  double above = 0.0;
  for (std::size_t i = bucket + 1; i < kBucketCount; ++i)
    above += buckets_[i];
  const double inside =
      std::clamp(position - static_cast<double>(bucket), 0.0, 1.0);
  above += buckets_[bucket] * (1.0 - inside);
  return std::clamp(above / weight_, 0.0, 1.0);
}

double DecayingHistogram::Quantile(double q) const {
  if (weight_ <= 0.0)
    return 0.0;
  const double wanted = q * weight_;
  double below = 0.0;
  for (std::size_t i = 0; i < kBucketCount; ++i) {
    if (below + buckets_[i] >= wanted && buckets_[i] > 0.0) {
      const double inside = (wanted - below) / buckets_[i];
      return LowerBound(i) * std::pow(kBucketRatio, inside);
    }
    below += buckets_[i];
  }
  return LowerBound(kBucketCount);
}

}  // namespace briarlead
