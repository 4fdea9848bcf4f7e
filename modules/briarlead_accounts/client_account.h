#ifndef BRIARLEAD_ACCOUNTS_CLIENT_ACCOUNT_H_
#define BRIARLEAD_ACCOUNTS_CLIENT_ACCOUNT_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "briarlead_accounts/key_digest.h"
#include "briarlead_core/identifiers.h"

namespace briarlead {

/// What the amounts of a quota count.
enum class QuotaUnit : std::uint8_t { kRequests, kTokens };

/// The usage limit of one account over the whole fleet, as a token bucket.
struct AccountQuota {
  QuotaUnit unit = QuotaUnit::kRequests;
  double rate_per_second = 0;  ///< In `unit`; zero: no limit.
  double burst = 0;            ///< In `unit`.
  /// What a request without token counts counts as; for QuotaUnit::kTokens.
  std::uint32_t default_tokens = 1;

  [[nodiscard]] bool limited() const { return rate_per_second > 0; }

  /// Returns what a request counts as; `tokens` is unset if it states none.
  [[nodiscard]] std::uint64_t AmountOf(
      std::optional<std::uint64_t> tokens) const {
    if (unit == QuotaUnit::kRequests)
      return 1;
    return tokens.value_or(default_tokens);
  }

  friend bool operator==(const AccountQuota&, const AccountQuota&) = default;
};

/// A client account of the list of routes.
struct ClientAccount {
  CustomerId id;
  std::vector<KeyDigest> keys;
  unsigned rank = 0;  ///< 0 is the most urgent; goes before a route's rank.
  AccountQuota quota;

  friend bool operator==(const ClientAccount&, const ClientAccount&) = default;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ACCOUNTS_CLIENT_ACCOUNT_H_
