#ifndef BRIARLEAD_FORWARD_SEND_GATE_H_
#define BRIARLEAD_FORWARD_SEND_GATE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <utility>

#include "briarlead_accounts/briarlead_accounts.h"
#include "briarlead_core/time.h"
#include "briarlead_routes/route_table.h"

namespace briarlead {

/// Whether a request of an account may be sent to a server.
enum class SendVerdict {
  kMaySend,
  kLeaseEnded,  ///< This host may not use keys: one may have been revoked.
  kKeyUnknown,  ///< The list in force doesn't give the key to the account.
};

/// Decides for each request of a client account, whenever it is about to be
/// sent, whether it may be, by the list in force and the key lease.
class SendGate {
 public:
  /// Without `lease`, keys may be used whether or not this host is in touch
  /// with the control group. It must outlive the gate.
  explicit SendGate(const KeyLease* lease = nullptr) : lease_(lease) {}

  /// Sets the list in force.
  void SetTable(std::shared_ptr<const RouteTable> table) {
    table_ = std::move(table);
  }

  /// Returns whether a request with `key`, which is of `account`, may be sent
  /// at `now`. Read the clock for `now` after the request has arrived: a host
  /// that was suspended then sees that its lease has ended.
  [[nodiscard]] SendVerdict Check(const CustomerId& account,
                                  const KeyDigest& key,
                                  TimePoint now) const;

  /// Returns whether keys are used only while the key lease is held: it is
  /// required, and the list has accounts.
  [[nodiscard]] bool NeedsLease() const;

  /// As Check(), for a request that another host passes on to this one. A list
  /// without accounts can't tell whether the key is valid.
  [[nodiscard]] bool MayRelay(const CustomerId& account,
                              const KeyDigest& key,
                              TimePoint now) const;

  /// Returns the time since the list was last known to be in force; nullopt if
  /// no lease is needed, or none was held yet.
  [[nodiscard]] std::optional<Duration> LeaseAge(TimePoint now) const;
  /// The same in milliseconds, for logs; -1 for nullopt.
  [[nodiscard]] std::int64_t LeaseAgeMs(TimePoint now) const;

 private:
  [[nodiscard]] bool HasAccounts() const {
    return table_ != nullptr && table_->accounts() != nullptr;
  }

  const KeyLease* lease_;
  std::shared_ptr<const RouteTable> table_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_FORWARD_SEND_GATE_H_
