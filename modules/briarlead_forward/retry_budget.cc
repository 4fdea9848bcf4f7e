#include "briarlead_forward/retry_budget.h"

#include <algorithm>

namespace briarlead {

std::int64_t RetryBudget::SlotNumber(TimePoint now) const {
  return now.time_since_epoch().count() /
         (limits_.window.count() / static_cast<std::int64_t>(kSlots));
}

RetryBudget::Slot& RetryBudget::SlotAt(OwnUse& use, TimePoint now) const {
  const std::int64_t number = SlotNumber(now);
  Slot& slot = use.slots[static_cast<std::size_t>(number) % use.slots.size()];
  if (slot.number != number)
    slot = {number, 0, 0};
  return slot;
}

RetryUse RetryBudget::SumOf(const ServiceId& service,
                            const OwnUse& use,
                            TimePoint now) const {
  const std::int64_t oldest =
      SlotNumber(now) - static_cast<std::int64_t>(kSlots);
  RetryUse sum{service, 0, 0};
  for (const Slot& it : use.slots) {
    if (it.number >= oldest)
      sum.extras += it.extras;
    if (it.number > oldest)
      sum.requests += it.requests;
  }
  return sum;
}

void RetryBudget::OnOtherHost(const HostId& host,
                              std::span<const RetryUse> uses,
                              TimePoint now) {
  std::erase_if(others_, [&](const auto& it) {
    return now - it.second.heard >= limits_.window + limits_.window / kSlots;
  });
  OtherHost& other = others_[host];
  other.heard = now;
  other.uses.clear();
  for (const RetryUse& it : uses)
    other.uses[it.service] = it;
}

void RetryBudget::OnRequest(const ServiceId& service, TimePoint now) {
  ++SlotAt(services_[service], now).requests;
}

double RetryBudget::OwnPart(std::uint32_t requests) const {
  return kUsedShare *
         (limits_.ratio * requests + kOwnShare * limits_.slack / hosts_);
}

double RetryBudget::BeyondOwnPart(const RetryUse& use) const {
  return std::max(0.0, use.extras - OwnPart(use.requests));
}

double RetryBudget::AvailableAtOnce(const RetryUse& own, TimePoint now) const {
  const double common = kUsedShare * (1 - kOwnShare) * limits_.slack;
  double used_in_touch = BeyondOwnPart(own);
  double used_by_silent = 0;
  std::uint32_t in_touch = 1;
  for (const auto& [host, other] : others_) {
    const bool is_in_touch = now - other.heard < kWordLife;
    in_touch += is_in_touch ? 1 : 0;
    const auto found = other.uses.find(own.service);
    if (found == other.uses.end())
      continue;
    (is_in_touch ? used_in_touch : used_by_silent) +=
        BeyondOwnPart(found->second);
  }
  const double hosts = std::max(hosts_, in_touch);
  // Those on the other side of a cut use their part of it without a word.
  const double part_in_touch =
      std::min(common * in_touch / hosts, common - used_by_silent);
  const double rest = (part_in_touch - used_in_touch) / in_touch;
  const double own_left = std::max(0.0, OwnPart(own.requests) - own.extras);
  return own_left + std::max(0.0, rest);
}

void RetryBudget::SettleLately(OwnUse& use, TimePoint now) const {
  // A host that was heard after a send, had the time to hear of it. One that
  // wasn't may be cut off since, and use what this host used.
  TimePoint heard_from_all = now;
  for (const auto& [host, other] : others_) {
    if (now - other.heard < kWordLife)
      heard_from_all = std::min(heard_from_all, other.heard);
  }
  while (!use.lately.empty() &&
         use.lately.front() + kTellTime <= heard_from_all) {
    use.lately.pop_front();
  }
}

bool RetryBudget::TakeExtras(const ServiceId& service,
                             unsigned count,
                             TimePoint now) {
  OwnUse& use = services_[service];
  SettleLately(use, now);
  const auto lately = static_cast<unsigned>(use.lately.size());
  RetryUse known = SumOf(service, use, now);
  known.extras -= std::min(known.extras, lately);
  if (lately + count > AvailableAtOnce(known, now))
    return false;
  Count(service, count, now);
  return true;
}

void RetryBudget::Charge(const ServiceId& service, TimePoint now) {
  Count(service, 1, now);
}

void RetryBudget::Count(const ServiceId& service,
                        unsigned count,
                        TimePoint now) {
  OwnUse& use = services_[service];
  SlotAt(use, now).extras += count;
  use.lately.insert(use.lately.end(), count, now);
  ++own_revision_;
}

void RetryBudget::GiveBack(const ServiceId& service,
                           unsigned count,
                           TimePoint now) {
  if (count == 0)
    return;
  OwnUse& use = services_[service];
  Slot& slot = SlotAt(use, now);
  slot.extras -= std::min(slot.extras, count);
  for (unsigned i = 0; i < count && !use.lately.empty(); ++i)
    use.lately.pop_back();
  ++own_revision_;
}

std::vector<RetryUse> RetryBudget::Own(TimePoint now) const {
  std::vector<RetryUse> uses;
  for (const auto& [service, use] : services_) {
    const RetryUse sum = SumOf(service, use, now);
    if (sum.requests > 0 || sum.extras > 0)
      uses.push_back(sum);
  }
  return uses;
}

}  // namespace briarlead
