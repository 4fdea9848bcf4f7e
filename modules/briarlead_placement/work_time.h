#ifndef BRIARLEAD_PLACEMENT_WORK_TIME_H_
#define BRIARLEAD_PLACEMENT_WORK_TIME_H_

#include <chrono>
#include <cmath>

#include "briarlead_core/time.h"

namespace briarlead {

/// How long a service's servers take for a request, learnt as exponentially
/// weighted averages of the time and of its deviation.
class WorkTime {
 public:
  static constexpr Duration kInitialMean = std::chrono::milliseconds(50);
  static constexpr Duration kInitialDeviation = std::chrono::milliseconds(25);
  /// Weight of one observation.
  static constexpr double kWeight = 1.0 / 64;

  void OnServed(Duration took) {
    const double seconds = ToSeconds(took);
    const double error = std::abs(seconds - mean_);
    mean_ += kWeight * (seconds - mean_);
    deviation_ += kWeight * (error - deviation_);
  }

  [[nodiscard]] Duration mean() const { return FromSeconds(mean_); }
  /// Returns a time in which most requests are done.
  [[nodiscard]] Duration usual() const {
    return FromSeconds(mean_ + kUsualDeviations * deviation_);
  }
  /// Returns a time that hardly any request exceeds.
  [[nodiscard]] Duration longest() const {
    return FromSeconds(mean_ + kLongestDeviations * deviation_);
  }

 private:
  static constexpr double kUsualDeviations = 2;
  static constexpr double kLongestDeviations = 6;

  double mean_ = ToSeconds(kInitialMean);
  double deviation_ = ToSeconds(kInitialDeviation);
};

}  // namespace briarlead

#endif  // BRIARLEAD_PLACEMENT_WORK_TIME_H_
