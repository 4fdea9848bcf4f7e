#include "briarlead_entry/lists_follower.h"

#include <utility>

namespace briarlead {

bool ListsFollower::OnLists(const ListsInForce& lists) {
  if (lists.revision <= texts_.revision)
    return false;
  Findings findings;
  std::optional<Lists> parsed =
      ParseLists(lists.customers, lists.plans, findings);
  // Lists are validated before control accepts them; a host whose software
  // version cannot parse them keeps its present lists.
  if (!parsed.has_value())
    return false;
  parsed->set_revision(lists.revision);
  texts_ = lists;
  lists_ = std::make_shared<const Lists>(std::move(*parsed));
  return true;
}

void ListsFollower::OnLeaderRevision(std::uint64_t revision) {
  confirmed_ = confirmed_ || texts_.revision >= revision;
}

bool ListsFollower::Ready(TimePoint now) const {
  if (texts_.revision == 0)
    return false;
  return confirmed_ || now - start_ >= kPeerWait;
}

}  // namespace briarlead
