#ifndef BRIARLEAD_DISPATCH_ALLOWANCE_METER_H_
#define BRIARLEAD_DISPATCH_ALLOWANCE_METER_H_

#include <cstdint>
#include <map>

#include "briarlead_core/time.h"
#include "briarlead_dispatch/allowance.h"

namespace briarlead {

/// The limit that a request exceeded.
enum class ExceededLimit {
  kNone,
  kRequests,
  kTokens,
  kConcurrent,
  kUnknown,  ///< No portion has been set for the key.
};

/// Returns the name of `exceeded_limit` as it appears in logs.
const char* ToString(ExceededLimit exceeded_limit);

/// Whether a request is within its customer's allowance on this host.
struct AllowanceDecision {
  bool admitted = false;
  ExceededLimit exceeded_limit = ExceededLimit::kNone;
  Duration retry_after{};  ///< Set when not admitted.
};

/// Enforces this host's portions of the fleet-wide allowances: for each
/// customer and entitlement, token buckets for the request rate and the token
/// rate and a limit on concurrent requests. Buckets start empty, so that a
/// restart does not grant an extra burst.
class AllowanceMeter {
 public:
  /// Capacity of a bucket, in seconds of its rate.
  static constexpr double kBurstSeconds = 2.0;

  /// Sets a portion that stays in force until the next SetPortion() or
  /// SetLease() for `key`.
  void SetPortion(const AllowanceKey& key,
                  const AllowanceLimits& portion,
                  TimePoint now);

  /// Sets a leased portion that this host requested at `sent_at`. The lease's
  /// duration counts from then; when it ends, the base remains.
  void SetLease(const AllowanceKey& key,
                const AllowanceLease& lease,
                TimePoint sent_at,
                TimePoint now);

  /// Admits a request that is expected to use `tokens` tokens and charges it,
  /// or refuses it. Each admitted request needs one call of OnDone().
  AllowanceDecision Admit(const AllowanceKey& key,
                          std::uint32_t tokens,
                          TimePoint now);

  /// Ends an admitted request and returns the tokens that it was charged for
  /// and did not use.
  void OnDone(const AllowanceKey& key,
              std::uint32_t charged_tokens,
              std::uint32_t used_tokens,
              TimePoint now);

  /// Returns the demand since the last call for `key`.
  AllowanceDemand TakeDemand(const AllowanceKey& key, TimePoint now);

  /// Erases the state of `key`, for a customer or use that left the lists.
  void Erase(const AllowanceKey& key) { states_.erase(key); }

 private:
  struct Bucket {
    double rate = 0.0;
    double level = 0.0;
    [[nodiscard]] double Capacity(double min_capacity) const;
    void Refill(double seconds, double min_capacity);
  };
  struct KeyState {
    Bucket requests;
    Bucket tokens;
    std::uint32_t concurrent_limit = 0;
    std::uint32_t running = 0;
    TimePoint refilled_at;
    AllowanceLimits base;
    TimePoint lease_end = TimePoint::max();
    // Demand since `demand_since`.
    TimePoint demand_since;
    double offered_requests = 0.0;
    double offered_tokens = 0.0;
    /// Counts requests refused for concurrency.
    std::uint32_t peak_running = 0;
  };

  static void Apply(KeyState& state, const AllowanceLimits& limits);
  static void Refill(KeyState& state, TimePoint now);
  KeyState& StateOf(const AllowanceKey& key, TimePoint now);

  std::map<AllowanceKey, KeyState> states_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_DISPATCH_ALLOWANCE_METER_H_
