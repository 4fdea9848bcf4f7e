#ifndef BRIARLEAD_ROUTES_HOST_REPORT_H_
#define BRIARLEAD_ROUTES_HOST_REPORT_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "briarlead_core/identifiers.h"
#include "briarlead_routes/server_record.h"

namespace briarlead {

/// A host's usage of one service's retry budget in the current window.
struct RetryUsage {
  ServiceId service;
  std::uint32_t requests = 0;
  std::uint32_t retries = 0;  ///< Sends after the first of their kind.

  friend bool operator==(const RetryUsage&, const RetryUsage&) = default;
};

/// The observations of one entry host that the other entry hosts need at once.
/// They don't prove that a server is down: a host that is isolated by a network
/// partition finds healthy servers down.
struct HostReport {
  /// Maximum number of entries of each kind in one message.
  static constexpr std::size_t kMaxServers = 20;
  static constexpr std::size_t kMaxServices = 12;

  std::vector<ServerIncarnation>
      down;  ///< Accept no connection from this host.
  std::vector<RetryUsage> retry_usage;

  friend bool operator==(const HostReport&, const HostReport&) = default;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ROUTES_HOST_REPORT_H_
