#ifndef BRIARLEAD_FORWARD_OUTPUT_LENGTH_ESTIMATOR_H_
#define BRIARLEAD_FORWARD_OUTPUT_LENGTH_ESTIMATOR_H_

#include <cstdint>

#include "briarlead_forward/forward_command.h"

namespace briarlead {

/// Estimates the length of a model's output as the geometric mean of the
/// caller's own estimate and the lengths observed so far: callers' estimates
/// are right at the median but often far off.
class OutputLengthEstimator {
 public:
  /// Returns the expected number of output tokens of a request; at least 1.
  [[nodiscard]] std::uint32_t Estimate(const RequestFacts& facts) const;

  /// Records the length of a completed output.
  void OnOutput(std::uint32_t tokens);

 private:
  double mean_log_ = 0;             ///< Moving average of ln(tokens).
  std::uint32_t sample_count_ = 0;  ///< Stops at the length of the average.
};

}  // namespace briarlead

#endif  // BRIARLEAD_FORWARD_OUTPUT_LENGTH_ESTIMATOR_H_
