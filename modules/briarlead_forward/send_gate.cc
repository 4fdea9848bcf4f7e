#include "briarlead_forward/send_gate.h"

namespace briarlead {

SendVerdict SendGate::Check(const CustomerId& account,
                            const KeyDigest& key,
                            TimePoint now) const {
  // A list without accounts needs no key.
  if (!HasAccounts())
    return SendVerdict::kMaySend;
  if (lease_ != nullptr && !lease_->IsHeld(now))
    return SendVerdict::kLeaseEnded;
  const ClientAccount* found = table_->accounts()->Find(key);
  if (found == nullptr || found->id != account)
    return SendVerdict::kKeyUnknown;
  return SendVerdict::kMaySend;
}

bool SendGate::NeedsLease() const {
  return lease_ != nullptr && HasAccounts();
}

bool SendGate::MayRelay(const CustomerId& account,
                        const KeyDigest& key,
                        TimePoint now) const {
  return HasAccounts() && Check(account, key, now) == SendVerdict::kMaySend;
}

std::optional<Duration> SendGate::LeaseAge(TimePoint now) const {
  return NeedsLease() ? lease_->Age(now) : std::nullopt;
}

std::int64_t SendGate::LeaseAgeMs(TimePoint now) const {
  const std::optional<Duration> age = LeaseAge(now);
  if (!age.has_value())
    return -1;
  return std::chrono::duration_cast<std::chrono::milliseconds>(*age).count();
}

}  // namespace briarlead
