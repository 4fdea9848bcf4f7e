#ifndef BRIARLEAD_ROUTES_LEAVING_REPORT_H_
#define BRIARLEAD_ROUTES_LEAVING_REPORT_H_

#include <cstddef>
#include <vector>

#include "briarlead_routes/server_record.h"

namespace briarlead {

/// The servers that told the sender in an answer that they leave, and whose
/// announcements don't say so.
struct LeavingReport {
  /// Maximum number of entries in one message.
  static constexpr std::size_t kMaxServers = 24;

  std::vector<ServerIncarnation> servers;

  friend bool operator==(const LeavingReport&, const LeavingReport&) = default;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ROUTES_LEAVING_REPORT_H_
