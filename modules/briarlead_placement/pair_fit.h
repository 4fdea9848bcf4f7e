#ifndef BRIARLEAD_PLACEMENT_PAIR_FIT_H_
#define BRIARLEAD_PLACEMENT_PAIR_FIT_H_

#include <cstddef>
#include <deque>

#include "briarlead_routes/server_record.h"

namespace briarlead {

/// Fits the constant and the slope of "y = constant + slope * x" by the medians
/// over pairs of points of the same engine (Theil-Sen). Pairs of one engine
/// only, since engines of different speed lie on different lines.
class PairFit {
 public:
  static constexpr std::size_t kMaxPoints = 144;
  /// Fewer pairs than this give no fit.
  static constexpr std::size_t kMinPairs = 48;
  /// The two x of a pair differ by at least this factor: the constant of closer
  /// ones is mostly measurement error.
  static constexpr double kMinSpread = 1.4;

  /// Returns whether this gave the first fit.
  bool Add(const ServerIncarnation& engine, double x, double y);

  /// Returns whether there is a fit, or there are so many points without one
  /// that x hardly differs.
  [[nodiscard]] bool settled() const {
    return fitted_ || points_.size() >= kMaxPoints;
  }
  /// Returns y at x = 0; `otherwise` without a fit.
  [[nodiscard]] double ConstantOr(double otherwise) const {
    return fitted_ ? constant_ : otherwise;
  }
  /// Returns the slope divided by the constant; zero without a fit.
  [[nodiscard]] double relative_slope() const { return relative_slope_; }

 private:
  struct Point {
    ServerIncarnation engine;
    double x = 0;
    double y = 0;
  };

  void Fit();

  std::deque<Point> points_;
  std::size_t added_ = 0;  ///< Since the last fit.
  bool fitted_ = false;
  double constant_ = 0;
  double relative_slope_ = 0;
};

}  // namespace briarlead

#endif  // BRIARLEAD_PLACEMENT_PAIR_FIT_H_
