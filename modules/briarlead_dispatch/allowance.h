#ifndef BRIARLEAD_DISPATCH_ALLOWANCE_H_
#define BRIARLEAD_DISPATCH_ALLOWANCE_H_

#include <compare>
#include <cstdint>
#include <limits>

#include "briarlead_core/identifiers.h"
#include "briarlead_core/time.h"

namespace briarlead {

/// Identifies what an allowance is for: a model or a plain service.
using UseId = Identifier<struct UseTag>;

/// Identifies the holder of a portion of an allowance: a data centre or a host.
using AllowanceHolderId = Identifier<struct AllowanceHolderTag>;

/// Identifies one allowance.
struct AllowanceKey {
  CustomerId customer;
  UseId use;

  friend auto operator<=>(const AllowanceKey&, const AllowanceKey&) = default;
};

inline constexpr double kNoRateLimit = std::numeric_limits<double>::infinity();
inline constexpr std::uint32_t kNoConcurrencyLimit =
    std::numeric_limits<std::uint32_t>::max();

/// The limits of an allowance or of a portion of one.
struct AllowanceLimits {
  double requests_per_second = kNoRateLimit;
  /// Prompt and output tokens together.
  double tokens_per_second = kNoRateLimit;
  std::uint32_t concurrent = kNoConcurrencyLimit;

  friend bool operator==(const AllowanceLimits&,
                         const AllowanceLimits&) = default;
};

/// Recent demand on a holder, refused requests included.
struct AllowanceDemand {
  double requests_per_second = 0.0;
  double tokens_per_second = 0.0;
  double concurrent = 0.0;
};

/// A portion of an allowance, granted for a limited time.
struct AllowanceLease {
  std::uint64_t number = 0;  ///< Increases with each grant to any holder.
  AllowanceLimits portion;
  /// Limits that the holder keeps after the lease ends; they are never granted
  /// to another holder.
  AllowanceLimits base;
  /// Starts when the holder sent its request.
  Duration duration{};
};

}  // namespace briarlead

#endif  // BRIARLEAD_DISPATCH_ALLOWANCE_H_
