#ifndef BRIARLEAD_MEMBERSHIP_MEMBERSHIP_SETTINGS_H_
#define BRIARLEAD_MEMBERSHIP_MEMBERSHIP_SETTINGS_H_

#include <cstddef>
#include <vector>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/time.h"

namespace briarlead {

/// Intervals and bounds of the membership protocol; the same on every host.
struct MembershipSettings {
  /// Peer endpoints of hosts to contact until they are known.
  std::vector<Endpoint> seeds;

  /// A host probes one other host of its data centre in each interval.
  Duration probe_interval = std::chrono::milliseconds(500);
  /// Without an answer for so long, others are asked to probe the host too.
  Duration probe_timeout = std::chrono::milliseconds(200);
  /// A suspect host that does not refute for so long is dead.
  Duration suspicion_timeout = std::chrono::seconds(2);
  /// Until then, each host that holds it suspect pings it this often.
  Duration suspect_ping_interval = std::chrono::milliseconds(300);
  /// Hosts that are asked to probe for another.
  std::size_t indirect_probes = 3;
  /// One dead host or unknown seed is tried in each interval.
  Duration rejoin_interval = std::chrono::seconds(1);

  /// Backend servers announce themselves at least this often.
  Duration announce_interval = std::chrono::milliseconds(500);
  /// A backend server whose last announcement is older is silent.
  Duration silence_timeout = std::chrono::seconds(2);
  /// A silent backend server is forgotten after this long.
  Duration forget_timeout = std::chrono::seconds(60);
  /// Announcements heard are passed to their watchers in this interval.
  Duration relay_interval = std::chrono::milliseconds(500);
  /// Announcements younger than this are passed on, more than once each.
  Duration relay_window = std::chrono::milliseconds(1000);

  /// A delegate sends the summary of its data centre in this interval.
  Duration summary_interval = std::chrono::seconds(2);
  /// A data centre without news for so long is suspect, then dead.
  Duration remote_suspect_timeout = std::chrono::seconds(15);
  Duration remote_dead_timeout = std::chrono::seconds(30);

  /// Bytes a second and at once that one host may spend on sending news to
  /// every host of its data centre; what goes beyond waits for the probes.
  double broadcast_bytes_per_second = 6000;
  double broadcast_burst_bytes = 65536;
};

}  // namespace briarlead

#endif  // BRIARLEAD_MEMBERSHIP_MEMBERSHIP_SETTINGS_H_
