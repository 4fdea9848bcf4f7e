#ifndef BRIARLEAD_FORWARD_RETRY_BUDGET_H_
#define BRIARLEAD_FORWARD_RETRY_BUDGET_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <vector>

#include "briarlead_core/identifiers.h"
#include "briarlead_core/time.h"
#include "briarlead_routes/host_findings.h"

namespace briarlead {

/// Bounds of all hosts together on sending requests once more.
struct RetryLimits {
  double ratio = 0.2;   ///< Extra sends a request.
  double slack = 10.0;  ///< Extra sends beyond that, in one window.
  Duration window = std::chrono::seconds(10);
};

/// The retry budget of each service, which all entry hosts share. No host asks
/// another for a send: each may use a small part of its own at any time, and of
/// what is common and the others have left, as they told it last, an even part
/// at once. The two sides of a cut each use only their own part of it.
class RetryBudget {
 public:
  /// Share of the limits that is used; the rest covers what hosts don't know of
  /// each other yet.
  static constexpr double kUsedShare = 0.85;
  /// Share of a host's even part that it may use without a word of the others.
  static constexpr double kOwnShare = 0.3;
  /// Time in which what a host has used reaches the others.
  static constexpr Duration kTellTime = std::chrono::milliseconds(80);
  /// A host that is silent for this long may be on the other side of a cut.
  static constexpr Duration kWordLife = std::chrono::milliseconds(1200);

  explicit RetryBudget(const RetryLimits& limits) : limits_(limits) {}

  /// Notes how many entry hosts share the budget, this one included.
  void SetHosts(std::uint32_t hosts) { hosts_ = hosts == 0 ? 1 : hosts; }

  /// Takes what another host has used.
  void OnOtherHost(const HostId& host,
                   std::span<const RetryUse> uses,
                   TimePoint now);

  /// Counts a request for `service`.
  void OnRequest(const ServiceId& service, TimePoint now);

  /// Counts `count` more sends if the budget has room for them; returns whether
  /// it has.
  bool TakeExtras(const ServiceId& service, unsigned count, TimePoint now);

  /// Counts a send that can't be avoided any more.
  void Charge(const ServiceId& service, TimePoint now);

  /// Takes back what was counted for `count` sends that were not made.
  void GiveBack(const ServiceId& service, unsigned count, TimePoint now);

  /// Returns what this host has used, for the others.
  [[nodiscard]] std::vector<RetryUse> Own(TimePoint now) const;
  /// Grows with each extra send.
  [[nodiscard]] std::uint64_t own_revision() const { return own_revision_; }

 private:
  /// Parts of the window. Extra sends count for one part longer than requests,
  /// so that no window of any beginning holds more than is allowed.
  static constexpr std::size_t kSlots = 10;

  /// Counts of one part of the window.
  struct Slot {
    std::int64_t number = -1;
    std::uint32_t requests = 0;
    std::uint32_t extras = 0;
  };
  /// What this host has used of one service's budget.
  struct OwnUse {
    std::array<Slot, kSlots + 1> slots;
    std::deque<TimePoint> lately;  ///< Extra sends that others may not know of.
  };
  struct OtherHost {
    std::map<ServiceId, RetryUse> uses;
    TimePoint heard;
  };

  Slot& SlotAt(OwnUse& use, TimePoint now) const;
  [[nodiscard]] std::int64_t SlotNumber(TimePoint now) const;
  [[nodiscard]] RetryUse SumOf(const ServiceId& service,
                               const OwnUse& use,
                               TimePoint now) const;
  /// Returns what a host that has had `requests` may use without a word of the
  /// others.
  [[nodiscard]] double OwnPart(std::uint32_t requests) const;
  /// Returns what a host has used beyond that, of what is common to all.
  [[nodiscard]] double BeyondOwnPart(const RetryUse& use) const;
  /// Returns what this host may take at once; `own` is what it has used
  /// without what the others may not know of.
  [[nodiscard]] double AvailableAtOnce(const RetryUse& own,
                                       TimePoint now) const;
  void Count(const ServiceId& service, unsigned count, TimePoint now);
  /// Forgets the extra sends of which every host in touch must have heard.
  void SettleLately(OwnUse& use, TimePoint now) const;

  RetryLimits limits_;
  std::uint32_t hosts_ = 1;
  std::map<ServiceId, OwnUse> services_;
  std::map<HostId, OtherHost> others_;
  std::uint64_t own_revision_ = 0;
};

}  // namespace briarlead

#endif  // BRIARLEAD_FORWARD_RETRY_BUDGET_H_
