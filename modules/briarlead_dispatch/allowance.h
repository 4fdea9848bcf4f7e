#ifndef BRIARLEAD_DISPATCH_ALLOWANCE_H_
#define BRIARLEAD_DISPATCH_ALLOWANCE_H_

#include <compare>
#include <cstdint>
#include <limits>

#include "briarlead_core/identifiers.h"
#include "briarlead_core/time.h"

namespace briarlead {

/// What an allowance is for: a model or a plain service.
using UseId = Identifier<struct UseTag>;

/// Whoever holds a portion of an allowance: a data centre or a host.
using AllowanceHolderId = Identifier<struct AllowanceHolderTag>;

/// Names one allowance.
struct AllowanceKey {
  CustomerId customer;
  UseId use;

  friend auto operator<=>(const AllowanceKey&, const AllowanceKey&) = default;
};

inline constexpr double kNoRateLimit = std::numeric_limits<double>::infinity();
inline constexpr std::uint32_t kNoConcurrencyLimit =
    std::numeric_limits<std::uint32_t>::max();

/// An allowance, or a portion of one.
struct AllowanceLimits {
  double requests_per_second = kNoRateLimit;
  double tokens_per_second = kNoRateLimit;  ///< Prompt and output together.
  std::uint32_t concurrent = kNoConcurrencyLimit;

  friend bool operator==(const AllowanceLimits&,
                         const AllowanceLimits&) = default;
};

/// What a holder was asked for lately, admitted or not.
struct AllowanceDemand {
  double requests_per_second = 0.0;
  double tokens_per_second = 0.0;
  double concurrent = 0.0;
};

/// A portion of an allowance, on loan.
struct AllowanceLease {
  std::uint64_t number = 0;  ///< Grows with each grant to any holder.
  AllowanceLimits portion;
  /// What the holder keeps after the lease ends: nobody else is given it.
  AllowanceLimits base;
  /// Counted by the holder from when it sent its request.
  Duration duration{};
};

}  // namespace briarlead

#endif  // BRIARLEAD_DISPATCH_ALLOWANCE_H_
