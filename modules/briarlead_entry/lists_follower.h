#ifndef BRIARLEAD_ENTRY_LISTS_FOLLOWER_H_
#define BRIARLEAD_ENTRY_LISTS_FOLLOWER_H_

#include <cstdint>
#include <memory>
#include <optional>

#include "briarlead_core/time.h"
#include "briarlead_lists/briarlead_lists.h"
#include "briarlead_state/list_store.h"

namespace briarlead {

/// The lists that an entry host serves on. They only ever move to a higher
/// revision. A host that has just started serves once the control leader has
/// confirmed what it has; when no leader can be reached, it serves on the
/// highest revision that peers and followers gave it in kPeerWait, so that a
/// data centre that is cut off goes on.
class ListsFollower {
 public:
  static constexpr Duration kPeerWait = std::chrono::seconds(2);

  /// @param start when the process started
  explicit ListsFollower(TimePoint start) : start_(start) {}

  /// Takes lists from a control host or a peer. Returns true when they are
  /// newer than what was held and have come into force.
  bool OnLists(const ListsInForce& lists);

  /// The control leader has `revision` in force.
  void OnLeaderRevision(std::uint64_t revision);

  /// Returns whether this host may serve.
  [[nodiscard]] bool Ready(TimePoint now) const;

  /// Returns the lists to serve on; empty lists before the first came.
  [[nodiscard]] const Lists& lists() const { return *lists_; }

  /// Returns the texts of the lists, for peers that ask.
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
