#ifndef BRIARLEAD_CONSENSUS_REPLICA_SETTINGS_H_
#define BRIARLEAD_CONSENSUS_REPLICA_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "briarlead_core/identifiers.h"
#include "briarlead_core/time.h"

namespace briarlead::consensus {

/// Timing and size limits of a replica. All replicas of a cluster must use the
/// same timing.
struct ReplicaSettings {
  Duration heartbeat_interval = std::chrono::milliseconds(100);
  /// After a message from a leader, a replica gives no vote for this long.
  Duration election_timeout_min = std::chrono::milliseconds(500);
  Duration election_timeout_max = std::chrono::milliseconds(1000);
  /// A leadership transfer that takes longer than this is abandoned.
  Duration transfer_timeout = std::chrono::milliseconds(1000);
  /// Interval between the join requests of a replica.
  Duration join_interval = std::chrono::milliseconds(1000);
  /// A member that hears from no leader for this long also asks to join.
  Duration leaderless_join_delay = std::chrono::milliseconds(3000);
  /// Largest error of a clock's rate against real time, as a fraction.
  double max_clock_drift = 0.01;

  std::size_t max_payload_bytes = std::size_t{4} << 20;
  std::size_t max_uncommitted_bytes = std::size_t{16} << 20;
  std::size_t max_append_bytes = std::size_t{256} << 10;
  std::size_t max_append_entries = 1024;
  std::size_t max_appends_in_flight = 8;
  std::size_t snapshot_chunk_bytes = std::size_t{64} << 10;
  std::uint64_t max_snapshot_bytes = std::uint64_t{256} << 20;
  /// Number of entries before a snapshot's end that stay in the log, so that a
  /// follower that lags a little needs no snapshot.
  std::size_t trailing_entries = 1000;

  /// Hosts to which join requests are sent.
  std::vector<HostId> seed_hosts;

  /// Returns how long a leader holds its lease, counted from when it sent the
  /// requests that a majority answered. Even if the leader's clock is as slow
  /// as max_clock_drift allows and a voter's clock as fast, the lease ends no
  /// later than election_timeout_min on the voter's clock.
  [[nodiscard]] Duration LeaseDuration() const {
    return FromSeconds(ToSeconds(election_timeout_min) *
                       (1.0 - max_clock_drift) / (1.0 + max_clock_drift));
  }
};

}  // namespace briarlead::consensus

#endif  // BRIARLEAD_CONSENSUS_REPLICA_SETTINGS_H_
