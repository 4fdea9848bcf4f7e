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

/// Settings of the roles that serve a list of routes: `briarlead gateway` and
/// `briarlead registry`. The first is an entry host, the second a control host.
struct RoutingSettings {
  std::string name;     ///< Of the host, for logs.
  std::string address;  ///< The host's IP address; names the host to others.
  DataCentreId data_centre;
  /// Where control and entry processes take frames, on every host.
  std::uint16_t control_peer_port = 0;
  std::uint16_t entry_peer_port = 0;
  /// Control hosts from which the others are found. Some may be gone.
  std::vector<Endpoint> seeds;
  bool first_start = false;    ///< The whole system starts with empty disks.
  std::size_t min_voters = 1;  ///< Replicas that hold a change before it
                               ///< counts as accepted.
  std::string data_folder;     ///< Control hosts only.
  Endpoint callers;            ///< Entry hosts: where requests come in.
  Endpoint ready;              ///< Entry hosts: the readiness check.
  Endpoint control;            ///< Control hosts: operators and servers.
  Endpoint metrics;            ///< Where metrics are served; may be none.
  double retry_ratio = 0.2;
  double retry_slack = 10;
  Duration retry_window = std::chrono::seconds(10);
  Duration stop_timeout = std::chrono::seconds(8);
  std::string frame_key;
  LogLevel log_level = LogLevel::kInfo;
};

/// Reads the settings in `text`, JSON with comments; adds a finding under
/// `file` for each fault. Returns nullopt when there is any.
std::optional<RoutingSettings> ParseRoutingSettings(std::string_view file,
                                                    std::string_view text,
                                                    Findings& findings);

}  // namespace briarlead

#endif  // BRIARLEAD_SETTINGS_ROUTING_SETTINGS_H_
