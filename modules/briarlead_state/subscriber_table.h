#ifndef BRIARLEAD_STATE_SUBSCRIBER_TABLE_H_
#define BRIARLEAD_STATE_SUBSCRIBER_TABLE_H_

#include <cstdint>
#include <map>
#include <vector>

#include "briarlead_core/time.h"
#include "briarlead_state/control_message.h"

namespace briarlead {

/// Identifies a connection to another process. Numbers are assigned by the
/// adapter that owns the connections.
using PeerId = std::uint64_t;

/// The hosts that receive lists from this process, and the revision that is in
/// force on each of them.
class SubscriberTable {
 public:
  /// Time without a heartbeat after which a host counts as silent.
  static constexpr Duration kSilenceTimeout = std::chrono::seconds(3);
  /// Time without a heartbeat after which a host is removed.
  static constexpr Duration kHostRetention = std::chrono::minutes(10);
  /// Time after which lists are pushed again to a host that doesn't report them
  /// as in force.
  static constexpr Duration kPushRetryInterval = std::chrono::seconds(1);

  /// Reach() reports on each of `data_centres`, including those without a known
  /// host.
  explicit SubscriberTable(std::vector<DataCentreId> data_centres);

  /// Records a heartbeat. Ignores one from an earlier incarnation of the host.
  void OnHeartbeat(PeerId peer, const ListsHeartbeat& heartbeat, TimePoint now);

  /// The connection was closed. Its host stays in the table, but lists can't be
  /// pushed to it.
  void OnPeerDisconnected(PeerId peer);

  /// Removes hosts without a heartbeat for kHostRetention.
  void Expire(TimePoint now);

  /// Returns the peers to push `revision` to now, and records it as pushed.
  std::vector<PeerId> TakeDuePushes(std::uint64_t revision, TimePoint now);

  /// Returns on how many hosts of each data centre `revision` is in force.
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
