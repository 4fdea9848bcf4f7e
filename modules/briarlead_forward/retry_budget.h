#ifndef BRIARLEAD_FORWARD_RETRY_BUDGET_H_
#define BRIARLEAD_FORWARD_RETRY_BUDGET_H_

#include <array>
#include <cstdint>
#include <map>

#include "briarlead_core/identifiers.h"
#include "briarlead_core/time.h"

namespace briarlead {

/// Bounds of all hosts together on sending requests once more.
struct RetryLimits {
  double ratio = 0.2;   ///< Extra sends a request.
  double slack = 10.0;  ///< Extra sends beyond that, in one window.
  Duration window = std::chrono::seconds(10);
};

/// This host's part of the retry budget of each service. Hosts need not agree:
/// each spends at most the ratio of its own requests and its part of the slack.
class RetryBudget {
 public:
  /// Share of the limits that is spent; the rest covers what hosts can't know
  /// of each other.
  static constexpr double kUsedShare = 0.7;

  explicit RetryBudget(const RetryLimits& limits) : limits_(limits) {}

  /// Notes how many entry hosts share the slack.
  void SetHosts(std::uint32_t hosts) { hosts_ = hosts == 0 ? 1 : hosts; }

  /// Counts a request for `service`.
  void OnRequest(const ServiceId& service, TimePoint now);

  /// Counts `count` more sends if the budget has room for them; returns whether
  /// it has.
  bool TakeExtras(const ServiceId& service, unsigned count, TimePoint now);

  /// Counts a send that can't be avoided any more.
  void Charge(const ServiceId& service, TimePoint now);

  /// Takes back what was counted for `count` sends that were not made.
  void GiveBack(const ServiceId& service, unsigned count, TimePoint now);

 private:
  static constexpr std::size_t kSlots = 10;

  /// Counts of one part of the window.
  struct Slot {
    std::int64_t number = -1;
    std::uint32_t requests = 0;
    std::uint32_t extras = 0;
  };
  using Slots = std::array<Slot, kSlots>;

  Slot& SlotAt(Slots& slots, TimePoint now) const;
  [[nodiscard]] std::int64_t SlotNumber(TimePoint now) const;

  RetryLimits limits_;
  std::uint32_t hosts_ = 1;
  std::map<ServiceId, Slots> services_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_FORWARD_RETRY_BUDGET_H_
