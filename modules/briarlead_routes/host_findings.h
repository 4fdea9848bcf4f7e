#ifndef BRIARLEAD_ROUTES_HOST_FINDINGS_H_
#define BRIARLEAD_ROUTES_HOST_FINDINGS_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "briarlead_core/identifiers.h"
#include "briarlead_routes/server_record.h"

namespace briarlead {

/// What a host has used of one service's retry budget in the present window.
struct RetryUse {
  ServiceId service;
  std::uint32_t requests = 0;
  std::uint32_t extras = 0;  ///< Sends beyond the first of each request.

  friend bool operator==(const RetryUse&, const RetryUse&) = default;
};

/// What one entry host has found out and done that the others should know at
/// once. Of servers it proves nothing: a host that is cut off finds sound ones
/// down.
struct HostFindings {
  /// Entries of one kind that are told.
  static constexpr std::size_t kMostServers = 20;
  static constexpr std::size_t kMostServices = 12;

  std::vector<ServerStart> down;  ///< Take no connection from this host.
  std::vector<RetryUse> retries;

  friend bool operator==(const HostFindings&, const HostFindings&) = default;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ROUTES_HOST_FINDINGS_H_
