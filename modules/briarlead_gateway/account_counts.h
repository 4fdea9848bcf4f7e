#ifndef BRIARLEAD_GATEWAY_ACCOUNT_COUNTS_H_
#define BRIARLEAD_GATEWAY_ACCOUNT_COUNTS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "briarlead_core/identifiers.h"

namespace briarlead {

/// How a request of a client account ended.
enum class AccountOutcome : std::uint8_t {
  kServed,        ///< Response of a server.
  kUnauthorized,  ///< 401
  kLimited,       ///< 429
  kRefused,       ///< Another response that states that nothing has run.
  kFailed,        ///< Another response of this host, or a broken-off stream.
  kCallerGone,
};
inline constexpr std::size_t kAccountOutcomes = 6;

/// Counts the requests of client accounts by their outcome. The busiest
/// accounts have series of their own, all others share one.
class AccountCounts {
 public:
  /// Accounts with series of their own.
  static constexpr std::size_t kMaxSeries = 32;
  /// Accounts that are counted one by one.
  static constexpr std::size_t kMaxAccounts = 4096;

  /// Counts a request of `account`; an empty one stands for requests without a
  /// valid key.
  void Add(const CustomerId& account, AccountOutcome outcome);

  /// Returns the metric in the Prometheus text format; empty if nothing was
  /// counted. An account that becomes one of the busiest leaves "other", whose
  /// count then falls.
  [[nodiscard]] std::string Render() const;

 private:
  struct Counts {
    std::array<std::uint64_t, kAccountOutcomes> by_outcome{};
    std::uint64_t total = 0;
  };

  std::map<CustomerId, Counts> accounts_;
  Counts other_;  ///< Of accounts beyond kMaxAccounts.
};

}  // namespace briarlead

#endif  // BRIARLEAD_GATEWAY_ACCOUNT_COUNTS_H_
