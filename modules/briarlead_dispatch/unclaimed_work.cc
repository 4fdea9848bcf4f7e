#include "briarlead_dispatch/unclaimed_work.h"

#include <utility>

namespace briarlead {

std::vector<HeldAttempt> UnclaimedWork::OnReport(
    const BackendServerId& server,
    std::span<const HeldAttempt> held,
    const IsClaimed& is_claimed,
    TimePoint now) {
  std::vector<HeldAttempt> overdue;
  std::map<HeldAttempt, TimePoint> still_unclaimed;
  auto& known = first_seen_[server];
  for (const HeldAttempt& it : held) {
    if (is_claimed(it))
      continue;
    const auto seen = known.find(it);
    const TimePoint since = seen != known.end() ? seen->second : now;
    still_unclaimed[it] = since;
    if (now - since >= grace_)
      overdue.push_back(it);
  }
  known = std::move(still_unclaimed);
  if (known.empty())
    first_seen_.erase(server);
  return overdue;
}

}  // namespace briarlead
