#include "briarlead_limits/quota_bounds.h"

#include <algorithm>

namespace briarlead {

namespace {

constexpr double kReserveRateShareS = 0.3;
constexpr double kReserveSlackShare = 0.9;
/// Share of the slack by which one request may exceed the burst.
constexpr double kLargeRequestSlackShare = 0.1;
/// How late a grant of the leader is used at most: two lives, and the way to
/// the server.
constexpr double kMaxLatenessS = 0.65;

}  // namespace

double BucketCapacity(const AccountQuota& quota,
                      std::uint64_t amount,
                      const QuotaBounds& bounds) {
  const double most =
      std::max(1.0, quota.burst + kLargeRequestSlackShare * bounds.slack);
  return std::max(quota.burst, std::min(static_cast<double>(amount), most));
}

bool FitsQuota(const AccountQuota& quota,
               std::uint64_t amount,
               const QuotaBounds& bounds) {
  return static_cast<double>(amount) <= BucketCapacity(quota, amount, bounds);
}

double ReserveOf(const AccountQuota& quota, const QuotaBounds& bounds) {
  const double rate = quota.rate_per_second;
  const double normal = rate * ToSeconds(bounds.window) + quota.burst;
  const double wanted =
      kReserveRateShareS * rate + kReserveSlackShare * bounds.slack;
  const double left = bounds.excess * normal +
                      kReserveSlackShare * bounds.slack - kMaxLatenessS * rate;
  // Without a leader, an account gets no more than with one.
  return std::max(0.0, std::min({wanted, left, normal}));
}

Duration ReserveWindow(const QuotaBounds& bounds) {
  return bounds.window + 2 * kGrantLife;
}

}  // namespace briarlead
