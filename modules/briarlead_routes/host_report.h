#ifndef BRIARLEAD_ROUTES_HOST_REPORT_H_
#define BRIARLEAD_ROUTES_HOST_REPORT_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "briarlead_core/identifiers.h"
#include "briarlead_routes/server_record.h"

namespace briarlead {

/// What a host has used of one service's retry budget in the present window.
struct RetryUsage {
  ServiceId service;
  std::uint32_t requests = 0;
  std::uint32_t retries = 0;  ///< Sends beyond the first of each request.

  friend bool operator==(const RetryUsage&, const RetryUsage&) = default;
};

/// What one entry host has found out and done that the others should know at
/// once. Of servers it proves nothing: a host that is cut off finds sound ones
/// down.
struct HostReport {
  /// Entries of one kind that are told.
  static constexpr std::size_t kMaxServers = 20;
  static constexpr std::size_t kMaxServices = 12;

  std::vector<ServerIncarnation> down;  ///< Take no connection from this host.
  std::vector<RetryUsage> retry_usage;

  friend bool operator==(const HostReport&, const HostReport&) = default;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ROUTES_HOST_REPORT_H_
