#ifndef BRIARLEAD_DISPATCH_ALLOWANCE_SHARES_H_
#define BRIARLEAD_DISPATCH_ALLOWANCE_SHARES_H_

#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include "briarlead_core/time.h"
#include "briarlead_dispatch/allowance.h"

namespace briarlead {

/// Divides one allowance among its holders: a base that each holder keeps even
/// when it is cut off, and the rest on leases by demand. What is on lease and
/// all bases together never exceed the whole, also while leases change hands:
/// an amount is given to another holder only once the lease on it has ended by
/// this side's clock and a margin, or its holder has confirmed a later one.
class AllowanceShares {
 public:
  /// Part of the allowance that is divided evenly as bases.
  static constexpr double kBaseShare = 0.5;

  /// `whole` is divided among `holders`. A lease lasts `lease`; `margin` covers
  /// clocks that run at different rates.
  AllowanceShares(const AllowanceLimits& whole,
                  std::span<const AllowanceHolderId> holders,
                  Duration lease,
                  Duration margin);

  /// Grants a portion to `holder` in answer to its request; `confirmed` is the
  /// number of the last lease that it has in force, 0 when none. An unknown
  /// holder gets nothing.
  AllowanceLease Grant(const AllowanceHolderId& holder,
                       const AllowanceDemand& demand,
                       std::uint64_t confirmed,
                       TimePoint now);

  /// Takes over a changed allowance. Leases of the old one run out: until then
  /// the sum may be that of the old one.
  void SetWhole(const AllowanceLimits& whole) { whole_ = whole; }

  /// Returns the most that all holders may use together at `now`.
  [[nodiscard]] AllowanceLimits InForce(TimePoint now) const;

 private:
  /// A grant that its holder may still be using.
  struct Outstanding {
    std::uint64_t number = 0;
    AllowanceLimits extra;  ///< Above the base.
    TimePoint until;
  };
  struct Holder {
    AllowanceDemand demand;
    TimePoint asked_at;
    bool asked = false;
    std::vector<Outstanding> grants;
  };

  [[nodiscard]] AllowanceLimits Base() const;
  [[nodiscard]] static AllowanceLimits MostOf(const Holder& holder,
                                              TimePoint now);
  /// Returns the part of the leased pool that the demand of `holder` earns,
  /// by `demand_of`.
  template <typename DemandOf>
  [[nodiscard]] double Earned(const Holder& holder,
                              DemandOf demand_of,
                              TimePoint now) const;

  AllowanceLimits whole_;
  std::map<AllowanceHolderId, Holder> holders_;
  Duration lease_;
  Duration margin_;
  std::uint64_t last_number_ = 0;
};

}  // namespace briarlead

#endif  // BRIARLEAD_DISPATCH_ALLOWANCE_SHARES_H_
