#ifndef BRIARLEAD_DISPATCH_ALLOWANCE_METER_H_
#define BRIARLEAD_DISPATCH_ALLOWANCE_METER_H_

#include <cstdint>
#include <map>

#include "briarlead_core/time.h"
#include "briarlead_dispatch/allowance.h"

namespace briarlead {

/// Which limit a request met.
enum class AllowanceBound {
  kNone,
  kRequests,
  kTokens,
  kConcurrent,
  kUnknown,  ///< No portion was ever set for the key.
};

/// Returns the name of `bound` as it appears in logs.
const char* ToString(AllowanceBound bound);

/// Whether a request is within its customer's allowance on this host.
struct AllowanceVerdict {
  bool admitted = false;
  AllowanceBound bound = AllowanceBound::kNone;
  Duration retry_after{};  ///< Set when not admitted.
};

/// Holds this host's portions of the fleet-wide allowances: token buckets of
/// requests and of tokens, and a cap of requests at once, by customer and use.
/// Buckets start empty, so that restarts give nothing away.
class AllowanceMeter {
 public:
  /// What a bucket holds at most, in seconds of its rate.
  static constexpr double kBurstSeconds = 2.0;

  /// Sets a portion that stays until the next call.
  void SetPortion(const AllowanceKey& key,
                  const AllowanceLimits& portion,
                  TimePoint now);

  /// Sets a leased portion whose request was sent at `asked_at`. When the
  /// lease ends, its base remains.
  void SetLease(const AllowanceKey& key,
                const AllowanceLease& lease,
                TimePoint asked_at,
                TimePoint now);

  /// Charges a request expected to use `tokens` tokens, or refuses it. Each
  /// admitted request needs one call of OnDone().
  AllowanceVerdict Admit(const AllowanceKey& key,
                         std::uint32_t tokens,
                         TimePoint now);

  /// An admitted request ended; gives back the tokens that it did not use.
  void OnDone(const AllowanceKey& key,
              std::uint32_t charged_tokens,
              std::uint32_t used_tokens,
              TimePoint now);

  /// Returns what was asked for since the last call for `key`.
  AllowanceDemand TakeDemand(const AllowanceKey& key, TimePoint now);

  /// Forgets `key`, for a customer or use that left the lists.
  void Erase(const AllowanceKey& key) { accounts_.erase(key); }

 private:
  struct Bucket {
    double rate = 0.0;
    double level = 0.0;
    [[nodiscard]] double Capacity(double least) const;
    void Refill(double seconds, double least);
  };
  struct Account {
    Bucket requests;
    Bucket tokens;
    std::uint32_t concurrent_limit = 0;
    std::uint32_t running = 0;
    TimePoint refilled_at;
    AllowanceLimits base;
    TimePoint lease_end = TimePoint::max();
    // Demand since `demand_since`.
    TimePoint demand_since;
    double asked_requests = 0.0;
    double asked_tokens = 0.0;
    std::uint32_t most_running = 0;  ///< With those refused for concurrency.
  };

  static void Apply(Account& account, const AllowanceLimits& limits);
  static void Refill(Account& account, TimePoint now);
  Account& AccountOf(const AllowanceKey& key, TimePoint now);

  std::map<AllowanceKey, Account> accounts_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_DISPATCH_ALLOWANCE_METER_H_
