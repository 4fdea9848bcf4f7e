#ifndef BRIARLEAD_LIMITS_AMOUNT_LOTS_H_
#define BRIARLEAD_LIMITS_AMOUNT_LOTS_H_

#include <cstdint>
#include <deque>
#include <optional>

#include "briarlead_core/time.h"

namespace briarlead {

/// Granted amounts of one account, each with the time at which it lapses.
class AmountLots {
 public:
  void Add(std::uint64_t amount, TimePoint lapses_at);

  /// Takes `amount`, those that lapse first. Returns when the first of it
  /// lapses; takes nothing and returns nullopt if there isn't enough.
  std::optional<TimePoint> Take(std::uint64_t amount, TimePoint now);

  /// Returns what hasn't lapsed.
  [[nodiscard]] std::uint64_t Available(TimePoint now);

 private:
  struct Lot {
    std::uint64_t amount = 0;
    TimePoint lapses_at;
  };

  std::deque<Lot> lots_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_LIMITS_AMOUNT_LOTS_H_
