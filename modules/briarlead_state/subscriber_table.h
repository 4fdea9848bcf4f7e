#ifndef BRIARLEAD_STATE_SUBSCRIBER_TABLE_H_
#define BRIARLEAD_STATE_SUBSCRIBER_TABLE_H_

#include <cstdint>
#include <map>
#include <vector>

#include "briarlead_core/time.h"
#include "briarlead_state/control_message.h"

namespace briarlead {

/// Names a connection of the process to another, as its adapter counts them.
using PeerId = std::uint64_t;

/// The hosts that take lists from this process, and which revision each one
/// serves on.
class SubscriberTable {
 public:
  /// Time after which a host that is not heard from counts as silent.
  static constexpr Duration kHostSilence = std::chrono::seconds(3);
  /// Time after which a silent host is forgotten.
  static constexpr Duration kHostMemory = std::chrono::minutes(10);
  /// Time after which a push that changed nothing is sent again.
  static constexpr Duration kPushInterval = std::chrono::seconds(1);

  /// `data_centres` are reported even when no host of theirs is known.
  explicit SubscriberTable(std::vector<DataCentreId> data_centres);

  /// Takes a heartbeat; one of an earlier incarnation is dropped.
  void Hear(PeerId peer, const ListsHeartbeat& heartbeat, TimePoint now);

  /// The connection is gone; its host is known but can't be pushed to.
  void ForgetPeer(PeerId peer);

  /// Forgets hosts that were silent for long.
  void Expire(TimePoint now);

  /// Returns the peers to push `revision` to now, and counts it as pushed.
  std::vector<PeerId> TakeDue(std::uint64_t revision, TimePoint now);

  /// Returns how far `revision` came.
  [[nodiscard]] ReachReport Reach(std::uint64_t revision, TimePoint now) const;

 private:
  struct Subscriber {
    ListsHeartbeat heartbeat;
    PeerId peer = 0;  ///< Zero while there is no connection.
    TimePoint last_heard;
    std::uint64_t pushed_revision = 0;
    TimePoint pushed_at;
  };

  std::vector<DataCentreId> data_centres_;
  std::map<HostId, Subscriber> subscribers_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_STATE_SUBSCRIBER_TABLE_H_
