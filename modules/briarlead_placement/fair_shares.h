#ifndef BRIARLEAD_PLACEMENT_FAIR_SHARES_H_
#define BRIARLEAD_PLACEMENT_FAIR_SHARES_H_

#include <chrono>
#include <map>
#include <set>

#include "briarlead_core/identifiers.h"
#include "briarlead_core/time.h"

namespace briarlead {

/// What each client account was served lately, against its weighted fair share.
/// Answers the load under which one account floods the fleet: where room is
/// short, accounts above their share come after those below, so that a flood
/// costs the account that sends it.
class FairShares {
 public:
  /// Time constant with which served amounts are forgotten.
  static constexpr Duration kMemory = std::chrono::seconds(4);
  /// Part by which an account may exceed its share before it counts as above:
  /// accounts that use just their share would otherwise take turns.
  static constexpr double kTolerance = 0.25;

  /// Time for which a comparison of all accounts is used.
  static constexpr Duration kRefreshInterval = std::chrono::milliseconds(50);

  /// Records that the account was served `amount`. Requests without an account
  /// count as one account, with an empty id.
  void OnServed(const CustomerId& account,
                double weight,
                double amount,
                TimePoint now);

  /// Returns whether the account was served more than its share lately, as of
  /// the last kRefreshInterval.
  [[nodiscard]] bool IsAbove(const CustomerId& account, TimePoint now) const;

  /// Returns the account's part of the weights of all accounts that were
  /// served lately and itself.
  [[nodiscard]] double ShareOf(const CustomerId& account, double weight) const;

 private:
  struct Usage {
    double amount = 0;  ///< At `at`; decays since.
    double weight = 1;
    TimePoint at;
  };

  [[nodiscard]] static double AmountAt(const Usage& usage, TimePoint now);
  /// Compares all accounts with their shares.
  void Refresh(TimePoint now) const;
  /// Forgets the accounts whose amounts have decayed.
  void Expire(TimePoint now);

  std::map<CustomerId, Usage> usages_;
  mutable std::set<CustomerId> above_;
  mutable TimePoint refreshed_at_ = TimePoint::min();
  TimePoint next_expiry_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_PLACEMENT_FAIR_SHARES_H_
