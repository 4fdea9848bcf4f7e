#ifndef BRIARLEAD_STATE_LISTS_FOLLOWER_H_
#define BRIARLEAD_STATE_LISTS_FOLLOWER_H_

#include <cstdint>

#include "briarlead_state/control_message.h"

namespace briarlead {

/// An entry host's copy of the lists. Its revision only rises: lists that
/// come late, twice or from a control process that lags are dropped.
///
/// A host that has just started knows no revision that it served before, so
/// it serves only when it has reached the highest revision that anybody told
/// it of (see RequireAtLeast()).
class ListsFollower {
 public:
  /// `identity` is what the heartbeats say of this host.
  explicit ListsFollower(ListsHeartbeat identity);

  /// Takes lists from control or from a peer; returns whether they are now
  /// in force because they are newer.
  bool Offer(const ListsInForce& lists);

  /// A peer or a control process serves `revision`: this host must not serve
  /// anything older.
  void RequireAtLeast(std::uint64_t revision);

  /// Returns whether the lists may be served on.
  [[nodiscard]] bool ready() const {
    return lists_.revision > 0 && lists_.revision >= required_revision_;
  }

  /// Returns the lists in force; revision zero when there are none.
  [[nodiscard]] const ListsInForce& in_force() const { return lists_; }

  /// Returns the heartbeat to send to control.
  [[nodiscard]] ListsHeartbeat Heartbeat() const;

 private:
  ListsHeartbeat identity_;
  ListsInForce lists_;
  std::uint64_t required_revision_ = 0;
};

}  // namespace briarlead

#endif  // BRIARLEAD_STATE_LISTS_FOLLOWER_H_
