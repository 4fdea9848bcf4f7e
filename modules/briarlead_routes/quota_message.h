#ifndef BRIARLEAD_ROUTES_QUOTA_MESSAGE_H_
#define BRIARLEAD_ROUTES_QUOTA_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "briarlead_core/identifiers.h"
#include "briarlead_core/time.h"

namespace briarlead {

/// Amounts are in the unit of the account's quota: requests or tokens.

/// Most amounts in one message for one account.
inline constexpr std::size_t kMaxQuotaAmounts = 32;

/// Asks an issuer of the sender's data centre for a part of an account's quota.
struct QuotaRequest {
  std::uint32_t number = 0;  ///< Repeated requests have the same one.
  CustomerId account;
  /// Of the requests that wait, in order; at most kMaxQuotaAmounts.
  std::vector<std::uint64_t> amounts;
  std::uint64_t ahead = 0;  ///< Wanted besides, for requests to come.

  friend bool operator==(const QuotaRequest&, const QuotaRequest&) = default;
};

/// Why an issuer granted less than was asked for.
enum class QuotaRefusal : std::uint8_t {
  kNone,
  kBeyondQuota,  ///< The account has used up its quota.
  kUnknown,      ///< The leader doesn't answer, and the reserve is used up.
};
inline constexpr QuotaRefusal kLastQuotaRefusal = QuotaRefusal::kUnknown;

/// The response to a QuotaRequest.
struct QuotaReply {
  std::uint32_t number = 0;  ///< As in the request.
  CustomerId account;
  /// How many of the amounts are granted: the first ones, each whole, so that
  /// no part is granted that serves no request.
  std::uint32_t granted = 0;
  std::uint64_t ahead = 0;  ///< Granted for requests to come.
  QuotaRefusal refusal = QuotaRefusal::kNone;
  /// Until there may be room for the first amount that isn't granted.
  Duration next_in = Duration::zero();

  friend bool operator==(const QuotaReply&, const QuotaReply&) = default;
};

/// Asks the leader of the control group to refill an issuer's stock.
struct QuotaGrantRequest {
  static constexpr std::size_t kMaxAccounts = 64;

  struct Want {
    CustomerId account;
    /// Of the requests that wait, in order; at most kMaxQuotaAmounts.
    std::vector<std::uint64_t> amounts;
    std::uint64_t ahead = 0;  ///< Wanted besides, for requests to come.

    friend bool operator==(const Want&, const Want&) = default;
  };

  std::uint32_t number = 0;  ///< Repeated requests have the same one.
  std::vector<Want> wants;

  friend bool operator==(const QuotaGrantRequest&,
                         const QuotaGrantRequest&) = default;
};

/// The response to a QuotaGrantRequest.
struct QuotaGrantReply {
  struct Grant {
    CustomerId account;
    std::uint32_t granted = 0;  ///< How many of the amounts: the first ones.
    std::uint64_t ahead = 0;    ///< Granted for requests to come.
    /// Until there is room for the first amount that isn't granted, and for all
    /// that others were told before.
    Duration next_in = Duration::zero();

    friend bool operator==(const Grant&, const Grant&) = default;
  };

  std::uint32_t number = 0;  ///< As in the request.
  std::vector<Grant> grants;

  friend bool operator==(const QuotaGrantReply&,
                         const QuotaGrantReply&) = default;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ROUTES_QUOTA_MESSAGE_H_
