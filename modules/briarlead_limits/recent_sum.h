#ifndef BRIARLEAD_LIMITS_RECENT_SUM_H_
#define BRIARLEAD_LIMITS_RECENT_SUM_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>

#include "briarlead_core/time.h"

namespace briarlead {

/// The sum of the amounts of a recent time.
class RecentSum {
 public:
  /// Amounts within this time are kept as one.
  static constexpr Duration kCell = std::chrono::milliseconds(10);

  explicit RecentSum(Duration window) : window_(window) {}

  void Add(std::uint64_t amount, TimePoint now);

  /// Returns the sum of at least the amounts of the last `window`.
  [[nodiscard]] double Sum(TimePoint now);
  /// Returns how many amounts that are.
  [[nodiscard]] std::size_t Count(TimePoint now);

 private:
  struct Cell {
    TimePoint began;
    double sum = 0;
    std::size_t count = 0;
  };

  void Expire(TimePoint now);

  Duration window_;
  std::deque<Cell> cells_;
  double sum_ = 0;
  std::size_t count_ = 0;
};

}  // namespace briarlead

#endif  // BRIARLEAD_LIMITS_RECENT_SUM_H_
