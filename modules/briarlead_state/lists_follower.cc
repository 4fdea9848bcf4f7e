#include "briarlead_state/lists_follower.h"

#include <algorithm>
#include <utility>

namespace briarlead {

ListsFollower::ListsFollower(ListsHeartbeat identity)
    : identity_(std::move(identity)) {}

bool ListsFollower::Offer(const ListsInForce& lists) {
  if (lists.revision <= lists_.revision)
    return false;
  lists_ = lists;
  return true;
}

void ListsFollower::RequireAtLeast(std::uint64_t revision) {
  required_revision_ = std::max(required_revision_, revision);
}

ListsHeartbeat ListsFollower::Heartbeat() const {
  ListsHeartbeat heartbeat = identity_;
  heartbeat.revision = lists_.revision;
  return heartbeat;
}

}  // namespace briarlead
