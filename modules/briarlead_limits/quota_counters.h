#ifndef BRIARLEAD_LIMITS_QUOTA_COUNTERS_H_
#define BRIARLEAD_LIMITS_QUOTA_COUNTERS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "briarlead_core/identifiers.h"
#include "briarlead_routes/quota_message.h"

namespace briarlead {

/// Counts by account what this host was granted, used and refused. The accounts
/// come from the list of routes, so callers can't create series.
class QuotaCounters {
 public:
  /// Accounts with series of their own: those that used most. The others are
  /// added up as "other".
  static constexpr std::size_t kMaxAccounts = 32;

  void OnGranted(const CustomerId& account, std::uint64_t amount) {
    counts_[account].granted += amount;
  }
  void OnUsed(const CustomerId& account, std::uint64_t amount) {
    counts_[account].used += amount;
  }
  void OnRefused(const CustomerId& account, QuotaRefusal why);

  /// Returns the counters in the Prometheus text format; empty if there are
  /// none.
  [[nodiscard]] std::string Render() const;

 private:
  struct Counts {
    std::uint64_t granted = 0;
    std::uint64_t used = 0;
    std::uint64_t beyond_quota = 0;
    std::uint64_t unknown = 0;

    Counts& operator+=(const Counts& other);
  };

  std::map<CustomerId, Counts> counts_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_LIMITS_QUOTA_COUNTERS_H_
