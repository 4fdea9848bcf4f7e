#ifndef BRIARLEAD_ENTRY_LISTS_FOLLOWER_H_
#define BRIARLEAD_ENTRY_LISTS_FOLLOWER_H_

#include <cstdint>
#include <memory>
#include <optional>

#include "briarlead_core/time.h"
#include "briarlead_lists/briarlead_lists.h"
#include "briarlead_state/list_store.h"

namespace briarlead {

/// The customer and plan lists in force on an entry host. Their revision only
/// ever increases. After a start, the host is ready once the control leader has
/// confirmed that its lists are up to date. If no leader has done so within
/// kPeerWait, the host serves the highest revision that peers and control
/// followers sent, so that a disconnected data centre keeps serving.
class ListsFollower {
 public:
  /// Time after the start from which lists are used unconfirmed.
  static constexpr Duration kPeerWait = std::chrono::seconds(2);

  /// @param start when the process started
  explicit ListsFollower(TimePoint start) : start_(start) {}

  /// Handles lists from a control host or a peer. Returns true when they are
  /// newer than the present ones and came into force.
  bool OnLists(const ListsInForce& lists);

  /// The control leader reported that `revision` is in force.
  void OnLeaderRevision(std::uint64_t revision);

  /// Returns whether this host may serve requests.
  [[nodiscard]] bool Ready(TimePoint now) const;

  /// Returns the lists in force; empty lists until the first were received.
  [[nodiscard]] const Lists& lists() const { return *lists_; }

  /// Returns the source texts of the lists, for peers that request them.
  [[nodiscard]] const ListsInForce& texts() const { return texts_; }

  [[nodiscard]] std::uint64_t revision() const { return texts_.revision; }

 private:
  TimePoint start_;
  ListsInForce texts_;
  std::shared_ptr<const Lists> lists_ = std::make_shared<Lists>();
  bool confirmed_ = false;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ENTRY_LISTS_FOLLOWER_H_
