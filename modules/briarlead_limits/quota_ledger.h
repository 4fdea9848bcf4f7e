#ifndef BRIARLEAD_LIMITS_QUOTA_LEDGER_H_
#define BRIARLEAD_LIMITS_QUOTA_LEDGER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <span>

#include "briarlead_accounts/client_account.h"
#include "briarlead_core/endpoint.h"
#include "briarlead_core/time.h"
#include "briarlead_limits/quota_bounds.h"
#include "briarlead_limits/retry_times.h"
#include "briarlead_routes/quota_message.h"

namespace briarlead {

/// The token buckets of all limited accounts, on the leader of the control
/// group. All begin empty: what two leaders grant, one after the other, is then
/// within one bucket's rate and burst.
class QuotaLedger {
 public:
  /// Amounts for requests to come are granted down to this share of a full
  /// bucket. Below it they could lapse unused and then be missed.
  static constexpr double kAheadShare = 0.75;

  /// Time for which a bucket goes on filling above its burst for a request that
  /// needs it and is asked for again later.
  static constexpr Duration kLargeRequestTime = std::chrono::seconds(2);

  explicit QuotaLedger(const QuotaBounds& bounds) : bounds_(bounds) {}

  /// Begins with empty buckets, as a new leader.
  void Start(TimePoint now);

  /// Sets the accounts of the list in force. A changed rate holds from `now`
  /// on.
  void SetAccounts(std::span<const ClientAccount> accounts, TimePoint now);

  /// Answers an issuer; a repeated number gets the same answer. Accounts that
  /// the list doesn't limit are left out.
  QuotaGrantReply OnRequest(const Endpoint& issuer,
                            const QuotaGrantRequest& request,
                            TimePoint now);

 private:
  struct Bucket {
    AccountQuota quota;
    double amount = 0;
    TimePoint filled_at;
    /// Above the burst, while a request that needs it was asked for lately.
    std::uint64_t large_amount = 0;
    TimePoint large_until;
    RetryTimes retry_times;
  };

  /// Adds what has come in since the last time.
  void Fill(Bucket& bucket, TimePoint now) const;
  QuotaGrantReply::Grant Grant(Bucket& bucket,
                               const QuotaGrantRequest::Want& want,
                               TimePoint now) const;

  QuotaBounds bounds_;
  std::map<CustomerId, Bucket> buckets_;
  /// The latest reply to each issuer.
  std::map<Endpoint, QuotaGrantReply> replies_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_LIMITS_QUOTA_LEDGER_H_
