#ifndef BRIARLEAD_ROUTES_HOST_FINDINGS_H_
#define BRIARLEAD_ROUTES_HOST_FINDINGS_H_

#include <cstddef>
#include <vector>

#include "briarlead_routes/server_record.h"

namespace briarlead {

/// What one entry host has found out and the others should know at once. It
/// proves nothing to them: a host that is cut off finds sound servers down.
struct HostFindings {
  /// Servers that are told; there is room for them in a datagram.
  static constexpr std::size_t kMostServers = 24;

  std::vector<ServerStart> down;  ///< Take no connection from this host.

  friend bool operator==(const HostFindings&, const HostFindings&) = default;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ROUTES_HOST_FINDINGS_H_
