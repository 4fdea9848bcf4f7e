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
/// when it cannot be reached, and the rest in leases according to demand. The
/// bases and all leases together never exceed the total, also while leases move
/// between holders: an amount is granted to another holder only when the lease
/// on it has ended by this side's clock plus a margin, or when its holder has
/// confirmed a later lease.
class AllowanceShares {
 public:
  /// Share of the allowance that is divided evenly as bases.
  static constexpr double kBaseShare = 0.5;

  /// Divides `total` among `holders`. `lease_duration` is the length of a
  /// lease; `clock_margin` covers clocks that run at different rates.
  AllowanceShares(const AllowanceLimits& total,
                  std::span<const AllowanceHolderId> holders,
                  Duration lease_duration,
                  Duration clock_margin);

  /// Grants a portion to `holder` in answer to its request. `confirmed_number`
  /// is the number of the last lease that the holder has in force, 0 when it
  /// has none. An unknown holder gets an empty portion.
  AllowanceLease Grant(const AllowanceHolderId& holder,
                       const AllowanceDemand& demand,
                       std::uint64_t confirmed_number,
                       TimePoint now);

  /// Changes the allowance. Leases of the previous one run to their end; until
  /// then the sum in force may be that of the previous allowance.
  void SetTotal(const AllowanceLimits& total) { total_ = total; }

  /// Returns the upper bound of what all holders together may use at `now`.
  [[nodiscard]] AllowanceLimits TotalInForce(TimePoint now) const;

 private:
  /// A grant that its holder may still be using.
  struct OutstandingGrant {
    std::uint64_t number = 0;
    AllowanceLimits extra;  ///< Portion above the base.
    TimePoint expires_at;
  };
  struct Holder {
    AllowanceDemand demand;
    TimePoint requested_at;
    bool has_requested = false;
    std::vector<OutstandingGrant> grants;
  };

  [[nodiscard]] AllowanceLimits Base() const;
  /// Returns the largest portion above the base of the grants to `holder` that
  /// have not expired.
  [[nodiscard]] static AllowanceLimits MaxOutstanding(const Holder& holder,
                                                      TimePoint now);
  /// Returns the share of the leased pool that `holder` gets for its demand,
  /// measured by `demand_of`.
  template <typename DemandOf>
  [[nodiscard]] double PoolShare(const Holder& holder,
                                 DemandOf demand_of,
                                 TimePoint now) const;

  AllowanceLimits total_;
  std::map<AllowanceHolderId, Holder> holders_;
  Duration lease_duration_;
  Duration clock_margin_;
  std::uint64_t last_number_ = 0;
};

}  // namespace briarlead

#endif  // BRIARLEAD_DISPATCH_ALLOWANCE_SHARES_H_
