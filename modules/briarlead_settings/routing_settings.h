#ifndef BRIARLEAD_SETTINGS_ROUTING_SETTINGS_H_
#define BRIARLEAD_SETTINGS_ROUTING_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/findings.h"
#include "briarlead_core/identifiers.h"
#include "briarlead_core/logger.h"
#include "briarlead_core/time.h"

namespace briarlead {

/// Settings of the two roles that work with the list of routes:
/// `briarlead gateway`, which runs on entry hosts, and `briarlead registry`,
/// which runs on control hosts.
struct RoutingSettings {
  std::string name;  ///< Name of the host in logs.
  /// IP address of the host, by which other hosts identify it.
  std::string address;
  DataCentreId data_centre;
  /// Ports at which control and entry processes accept frames; the same on
  /// every host.
  std::uint16_t control_peer_port = 0;
  std::uint16_t entry_peer_port = 0;
  /// Port at which entry processes take requests that other ones pass on.
  std::uint16_t relay_port = 0;
  /// Control hosts through which the other hosts are discovered. Some of them
  /// may no longer exist.
  std::vector<Endpoint> seeds;
  /// True when the whole system starts for the first time, with empty disks.
  bool first_start = false;
  /// Voting replicas that the group must have before changes are accepted.
  std::size_t min_voters = 1;
  std::string data_folder;  ///< Control hosts only.
  Endpoint callers;         ///< Entry hosts: accepts requests of callers.
  Endpoint ready;           ///< Entry hosts: serves the readiness check.
  Endpoint control;         ///< Control hosts: for operators and servers.
  Endpoint metrics;         ///< Serves metrics; port 0 when not configured.
  /// Retries that all entry hosts together may send: `retry_ratio` per request
  /// and `retry_slack` more in each window.
  double retry_ratio = 0.2;
  double retry_slack = 10;
  Duration retry_window = std::chrono::seconds(10);
  Duration stop_timeout = std::chrono::seconds(8);  ///< For an orderly stop.
  /// Whether no host may use a client account's key later than
  /// `revocation_time` after the acknowledgement of a list without it, in touch
  /// with the control hosts or not.
  bool strict_revocation = false;
  Duration revocation_time = std::chrono::seconds(5);
  /// What the requests of an account may exceed its quota by in any
  /// `quota_window`: this share of it, and `quota_slack` more, in its unit.
  Duration quota_window = std::chrono::seconds(8);
  double quota_excess = 0;
  double quota_slack = 0;
  /// Resources of this host; zero if unknown.
  double cpu_share = 0;  ///< Of one core.
  std::uint32_t memory_mb = 0;
  double link_mbps = 0;
  std::uint32_t max_descriptors = 0;
  std::string frame_key;  ///< Bytes of the key that all hosts share.
  LogLevel log_level = LogLevel::kInfo;
};

/// Reads and checks the settings of a gateway or registry process from `text`,
/// which is JSON with comments. Adds a finding to `findings` for each fault,
/// with `file` as the file name. `findings` must be empty.
/// @returns the settings, or nullopt if there was a fault.
std::optional<RoutingSettings> ParseRoutingSettings(std::string_view file,
                                                    std::string_view text,
                                                    Findings& findings);

}  // namespace briarlead

#endif  // BRIARLEAD_SETTINGS_ROUTING_SETTINGS_H_
