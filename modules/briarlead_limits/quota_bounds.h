#ifndef BRIARLEAD_LIMITS_QUOTA_BOUNDS_H_
#define BRIARLEAD_LIMITS_QUOTA_BOUNDS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "briarlead_accounts/client_account.h"
#include "briarlead_core/time.h"

namespace briarlead {

/// Time after which a granted amount lapses, counted from when it was asked
/// for: at an issuer, and once more at the host that it grants the amount to.
inline constexpr Duration kGrantLife = std::chrono::milliseconds(300);

/// By how much the requests of an account may exceed its quota: in any
/// `window`, (rate x window + burst) x (1 + excess) + slack.
struct QuotaBounds {
  Duration window = std::chrono::seconds(8);
  double excess = 0;
  double slack = 0;  ///< In the unit of the quota.
};

/// Returns what an account's bucket holds at most while a request of `amount`
/// waits for it. A request above the burst is admitted up to a tenth of the
/// slack, which the reserve leaves free.
double BucketCapacity(const AccountQuota& quota,
                      std::uint64_t amount,
                      const QuotaBounds& bounds);

/// Returns whether a request of `amount` can ever be served under `quota`.
bool FitsQuota(const AccountQuota& quota,
               std::uint64_t amount,
               const QuotaBounds& bounds);

/// Returns what the issuers of all data centres together may grant in any
/// ReserveWindow() while no leader answers.
double ReserveOf(const AccountQuota& quota, const QuotaBounds& bounds);

/// Returns the time over which the reserve is counted: what was granted before
/// may still arrive at a server within QuotaBounds::window.
Duration ReserveWindow(const QuotaBounds& bounds);

}  // namespace briarlead

#endif  // BRIARLEAD_LIMITS_QUOTA_BOUNDS_H_
