#include "briarlead_dispatch/orphaned_work.h"

#include <utility>

namespace briarlead {

std::vector<HeldAttempt> OrphanedWork::OnReport(
    const BackendServerId& server,
    std::span<const HeldAttempt> held,
    const IsKnown& is_known,
    TimePoint now) {
  std::vector<HeldAttempt> overdue;
  std::map<HeldAttempt, TimePoint> still_orphaned;
  auto& known = first_seen_[server];
  for (const HeldAttempt& it : held) {
    if (is_known(it))
      continue;
    const auto seen = known.find(it);
    const TimePoint since = seen != known.end() ? seen->second : now;
    still_orphaned[it] = since;
    if (now - since >= grace_)
      overdue.push_back(it);
  }
  known = std::move(still_orphaned);
  if (known.empty())
    first_seen_.erase(server);
  return overdue;
}

}  // namespace briarlead
