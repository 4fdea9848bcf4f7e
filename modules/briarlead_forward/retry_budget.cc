#include "briarlead_forward/retry_budget.h"

#include <algorithm>

namespace briarlead {

std::int64_t RetryBudget::SlotNumber(TimePoint now) const {
  return now.time_since_epoch().count() /
         (limits_.window.count() / static_cast<std::int64_t>(kSlots));
}

RetryBudget::Slot& RetryBudget::SlotAt(Slots& slots, TimePoint now) const {
  const std::int64_t number = SlotNumber(now);
  Slot& slot = slots[static_cast<std::size_t>(number) % kSlots];
  if (slot.number != number)
    slot = {number, 0, 0};
  return slot;
}

void RetryBudget::OnRequest(const ServiceId& service, TimePoint now) {
  ++SlotAt(services_[service], now).requests;
}

bool RetryBudget::TakeExtras(const ServiceId& service,
                             unsigned count,
                             TimePoint now) {
  Slots& slots = services_[service];
  const std::int64_t oldest =
      SlotNumber(now) - static_cast<std::int64_t>(kSlots) + 1;
  std::uint32_t requests = 0;
  std::uint32_t extras = 0;
  for (const Slot& it : slots) {
    if (it.number < oldest)
      continue;
    requests += it.requests;
    extras += it.extras;
  }
  const double limit =
      kUsedShare * (limits_.ratio * requests + limits_.slack / hosts_);
  if (extras + count > limit)
    return false;
  SlotAt(slots, now).extras += count;
  return true;
}

void RetryBudget::Charge(const ServiceId& service, TimePoint now) {
  ++SlotAt(services_[service], now).extras;
}

void RetryBudget::GiveBack(const ServiceId& service,
                           unsigned count,
                           TimePoint now) {
  Slot& slot = SlotAt(services_[service], now);
  slot.extras -= std::min(slot.extras, count);
}

}  // namespace briarlead
