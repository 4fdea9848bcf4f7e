#include "briarlead_limits/amount_lots.h"

#include <algorithm>

namespace briarlead {

void AmountLots::Add(std::uint64_t amount, TimePoint lapses_at) {
  if (amount == 0)
    return;
  const auto place = std::find_if(
      lots_.begin(), lots_.end(),
      [lapses_at](const Lot& it) { return it.lapses_at > lapses_at; });
  lots_.insert(place, {amount, lapses_at});
}

std::uint64_t AmountLots::Available(TimePoint now) {
  while (!lots_.empty() && lots_.front().lapses_at <= now)
    lots_.pop_front();
  std::uint64_t sum = 0;
  for (const Lot& it : lots_)
    sum += it.amount;
  return sum;
}

std::optional<TimePoint> AmountLots::Take(std::uint64_t amount, TimePoint now) {
  if (amount == 0 || Available(now) < amount)
    return std::nullopt;
  const TimePoint lapses_at = lots_.front().lapses_at;
  while (amount > 0) {
    Lot& lot = lots_.front();
    const std::uint64_t part = std::min(amount, lot.amount);
    amount -= part;
    lot.amount -= part;
    if (lot.amount == 0)
      lots_.pop_front();
  }
  return lapses_at;
}

}  // namespace briarlead
