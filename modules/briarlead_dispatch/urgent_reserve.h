#ifndef BRIARLEAD_DISPATCH_URGENT_RESERVE_H_
#define BRIARLEAD_DISPATCH_URGENT_RESERVE_H_

#include <cstdint>

#include "briarlead_core/time.h"

namespace briarlead {

/// Learns how many decode slots to keep free for urgent requests: the least
/// number with which arrivals within their waiting time outrun the free and
/// freed slots too rarely to matter, corrected by how many were late.
class UrgentReserve {
 public:
  /// `confidence` is the share of urgent requests that are to find a slot.
  explicit UrgentReserve(double confidence) : confidence_(confidence) {}

  /// An urgent request arrived that can wait for `patience` for a slot.
  void OnArrival(Duration patience, TimePoint now);

  /// A decode slot became free.
  void OnSlotFreed(TimePoint now);

  /// An urgent request started, in time or not.
  void OnStarted(bool on_time);

  /// Returns how many decode slots become free a second.
  [[nodiscard]] double FreesPerSecond(TimePoint now) const {
    return frees_.PerSecond(now);
  }

  /// Returns the number of slots to keep free, at most `limit`.
  [[nodiscard]] std::uint32_t Slots(std::uint32_t limit, TimePoint now) const;

 private:
  /// Events a second, the older ones fading.
  struct Rate {
    double weight = 0.0;
    TimePoint updated;
    void Add(TimePoint now);
    [[nodiscard]] double PerSecond(TimePoint now) const;
  };

  double confidence_;
  Rate arrivals_;
  Rate frees_;
  double patience_seconds_ = 0.0;
  double correction_ = 0.0;  ///< In slots.
};

}  // namespace briarlead

#endif  // BRIARLEAD_DISPATCH_URGENT_RESERVE_H_
