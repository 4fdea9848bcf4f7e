#include "briarlead_dispatch/orphaned_work.h"

#include <utility>

namespace briarlead {

std::vector<HeldRequest> OrphanedWork::OnReport(
    const BackendServerId& server,
    std::span<const HeldRequest> held,
    const IsKnown& is_known,
    TimePoint now) {
  std::vector<HeldRequest> overdue;
  std::map<HeldRequest, TimePoint> still_orphaned;
  auto& known = first_seen_[server];
  for (const HeldRequest& it : held) {
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
