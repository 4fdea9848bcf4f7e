#include "briarlead_placement/pair_fit.h"

#include <algorithm>
#include <vector>

namespace briarlead {

namespace {

/// Points after which the fit is made anew.
constexpr std::size_t kFitInterval = 12;

double MedianOf(std::vector<double>& values) {
  const auto middle =
      values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace

bool PairFit::Add(const ServerIncarnation& engine, double x, double y) {
  points_.push_back({engine, x, y});
  if (points_.size() > kMaxPoints)
    points_.pop_front();
  if (++added_ < kFitInterval)
    return false;
  added_ = 0;
  const bool had_fit = fitted_;
  Fit();
  return fitted_ && !had_fit;
}

void PairFit::Fit() {
  std::vector<double> constants;
  std::vector<double> slopes;
  for (const Point& low : points_) {
    for (const Point& high : points_) {
      if (high.x < low.x * kMinSpread || high.engine != low.engine)
        continue;
      const double slope = (high.y - low.y) / (high.x - low.x);
      constants.push_back(low.y - slope * low.x);
      slopes.push_back(slope);
    }
  }
  if (constants.size() < kMinPairs)
    return;
  fitted_ = true;
  constant_ = std::max(MedianOf(constants), 0.0);
  const double slope = std::max(MedianOf(slopes), 0.0);
  relative_slope_ = constant_ > 0 ? slope / constant_ : 0;
}

}  // namespace briarlead
