#include "briarlead_forward/output_length_estimator.h"

#include <algorithm>
#include <cmath>

namespace briarlead {

namespace {

/// Share of the maximum output that is expected before any output was observed.
constexpr double kInitialShare = 0.5;
/// Number of outputs over which the moving average runs.
constexpr std::uint32_t kMeanWindow = 200;

}  // namespace

std::uint32_t OutputLengthEstimator::Estimate(const RequestFacts& facts) const {
  const double most = std::max<double>(facts.max_output_tokens, 1);
  const double usual =
      sample_count_ > 0 ? std::exp(mean_log_) : kInitialShare * most;
  double expected = usual;
  if (facts.output_estimate > 0)
    expected = std::sqrt(usual * facts.output_estimate);
  if (facts.max_output_tokens > 0)
    expected = std::min(expected, most);
  return static_cast<std::uint32_t>(std::max(expected, 1.0));
}

void OutputLengthEstimator::OnOutput(std::uint32_t tokens) {
  sample_count_ = std::min(sample_count_ + 1, kMeanWindow);
  const double value = std::log(std::max<double>(tokens, 1));
  mean_log_ += (value - mean_log_) / sample_count_;
}

}  // namespace briarlead
