#ifndef BRIARLEAD_CONSENSUS_REPLICA_SETTINGS_H_
#define BRIARLEAD_CONSENSUS_REPLICA_SETTINGS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "briarlead_core/identifiers.h"
#include "briarlead_core/time.h"

namespace briarlead::consensus {

/// Times and bounds of a replica; all replicas of a cluster use the same times.
struct ReplicaSettings {
  Duration heartbeat_interval = std::chrono::milliseconds(100);
  /// A replica gives no vote for this long after it heard from a leader.
  Duration election_timeout_min = std::chrono::milliseconds(500);
  Duration election_timeout_max = std::chrono::milliseconds(1000);
  /// How long a leadership transfer may take.
  Duration transfer_timeout = std::chrono::milliseconds(1000);
  /// How often a replica that is no member asks to join.
  Duration join_interval = std::chrono::milliseconds(1000);
  /// A member that hears of no leader for this long asks to join, too.
  Duration orphan_timeout = std::chrono::milliseconds(3000);
  /// Bound on a clock's rate error against real time, as a fraction.
  double max_clock_drift = 0.01;

  std::size_t max_payload_bytes = std::size_t{4} << 20;
  std::size_t max_uncommitted_bytes = std::size_t{16} << 20;
  std::size_t max_append_bytes = std::size_t{256} << 10;
  std::size_t max_append_entries = 1024;
  std::size_t max_appends_in_flight = 8;
  std::size_t snapshot_chunk_bytes = std::size_t{64} << 10;
  std::uint64_t max_snapshot_bytes = std::uint64_t{256} << 20;
  /// Entries kept behind a snapshot for followers that lag a little.
  std::size_t trailing_entries = 1000;

  /// Hosts to which a replica that is no member sends its join request.
  std::vector<HostId> seed_hosts;

  /// Returns how long a leader holds its lease after a majority heard from it:
  /// by its fastest clock still less than election_timeout_min by the slowest.
  [[nodiscard]] Duration LeaseDuration() const {
    return FromSeconds(ToSeconds(election_timeout_min) *
                       (1.0 - max_clock_drift) / (1.0 + max_clock_drift));
  }
};

}  // namespace briarlead::consensus

#endif  // BRIARLEAD_CONSENSUS_REPLICA_SETTINGS_H_
