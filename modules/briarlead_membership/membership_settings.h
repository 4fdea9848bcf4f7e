#ifndef BRIARLEAD_MEMBERSHIP_MEMBERSHIP_SETTINGS_H_
#define BRIARLEAD_MEMBERSHIP_MEMBERSHIP_SETTINGS_H_

#include <cstddef>
#include <vector>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/time.h"

namespace briarlead {

/// Intervals and bounds of the membership protocol. Every host must use the
/// same values.
struct MembershipSettings {
  /// Peer endpoints of the hosts that this host contacts to join. An endpoint
  /// is retried until the host behind it is known.
  std::vector<Endpoint> seeds;

  /// In each interval, a host probes one other host of its data centre.
  Duration probe_interval = std::chrono::milliseconds(500);
  /// Time without an ack after which other hosts are asked to probe the host.
  Duration probe_timeout = std::chrono::milliseconds(200);
  /// A suspect host that does not refute the suspicion within this time is
  /// declared dead.
  Duration suspicion_timeout = std::chrono::seconds(2);
  /// Interval at which every host that suspects another one pings it.
  Duration suspect_ping_interval = std::chrono::milliseconds(300);
  /// Number of hosts asked to probe an unresponsive host.
  std::size_t indirect_probes = 3;
  /// In each interval, one dead host or one endpoint of an unknown host is
  /// pinged.
  Duration rejoin_interval = std::chrono::seconds(1);

  /// Longest interval between two announcements of a backend server.
  Duration announce_interval = std::chrono::milliseconds(500);
  /// A backend server whose last announcement is older than this is silent.
  Duration silence_timeout = std::chrono::seconds(2);
  /// A backend server that has been silent for this long is removed.
  Duration forget_timeout = std::chrono::seconds(60);
  /// Interval at which received announcements are relayed to the watchers of
  /// their servers.
  Duration relay_interval = std::chrono::milliseconds(500);
  /// Announcements younger than this are relayed. The window spans several
  /// relay intervals, so each announcement is sent more than once.
  Duration relay_window = std::chrono::milliseconds(1000);

  /// Mean interval at which a delegate sends the summary of its data centre.
  Duration summary_interval = std::chrono::seconds(2);
  /// Age of a data centre's latest summary at which its delegates become
  /// suspect, and at which they become dead.
  Duration remote_suspect_timeout = std::chrono::seconds(15);
  Duration remote_dead_timeout = std::chrono::seconds(30);

  /// Rate and burst size of the budget from which a host broadcasts updates
  /// within its data centre. Updates beyond the budget are piggybacked on
  /// probes instead.
  double broadcast_bytes_per_second = 6000;
  double broadcast_burst_bytes = 65536;
};

}  // namespace briarlead

#endif  // BRIARLEAD_MEMBERSHIP_MEMBERSHIP_SETTINGS_H_
