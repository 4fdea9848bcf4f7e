#ifndef BRIARLEAD_DISPATCH_URGENT_RESERVE_H_
#define BRIARLEAD_DISPATCH_URGENT_RESERVE_H_

#include <cstdint>

#include "briarlead_core/time.h"

namespace briarlead {

/// Learns how many decode slots to keep free for urgent requests: the smallest
/// number for which arrivals rarely exceed the kept and the newly freed slots
/// within the time that such a request can wait, corrected by how many requests
/// started late.
class UrgentReserve {
 public:
  /// `confidence` is the share of urgent requests that should find a slot in
  /// time.
  explicit UrgentReserve(double confidence) : confidence_(confidence) {}

  /// An urgent request arrived that can wait `max_wait` for a slot.
  void OnArrival(Duration max_wait, TimePoint now);

  /// A decode slot became free.
  void OnSlotFreed(TimePoint now);

  /// An urgent request started, on time or late.
  void OnStarted(bool on_time);

  /// Returns the rate at which decode slots become free.
  [[nodiscard]] double SlotsFreedPerSecond(TimePoint now) const {
    return freed_slots_.PerSecond(now);
  }

  /// Returns the number of slots to keep free, at most `limit`.
  [[nodiscard]] std::uint32_t Slots(std::uint32_t limit, TimePoint now) const;

 private:
  /// Event rate with exponential decay of older events.
  struct DecayingRate {
    double weight = 0.0;
    TimePoint updated;
    void Add(TimePoint now);
    [[nodiscard]] double PerSecond(TimePoint now) const;
  };

  double confidence_;
  DecayingRate arrivals_;
  DecayingRate freed_slots_;
  double max_wait_seconds_ = 0.0;
  double correction_ = 0.0;  ///< In slots.
};

}  // namespace briarlead

#endif  // BRIARLEAD_DISPATCH_URGENT_RESERVE_H_
