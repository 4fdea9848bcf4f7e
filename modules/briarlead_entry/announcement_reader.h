#ifndef BRIARLEAD_ENTRY_ANNOUNCEMENT_READER_H_
#define BRIARLEAD_ENTRY_ANNOUNCEMENT_READER_H_

#include <cstddef>
#include <string_view>
#include <vector>

#include "briarlead_blackboard/backend_server_record.h"
#include "briarlead_core/error.h"
#include "briarlead_dispatch/placement.h"

namespace briarlead {

/// What a backend server said of itself in one announcement.
struct Announcement {
  BackendServerRecord server;     ///< `last_heard` is not set.
  std::vector<HeldRequest> held;  ///< Requests that an engine holds.
};

inline constexpr std::size_t kMaxAnnouncementBytes = 1U << 20;
/// Most requests that one engine may report to hold.
inline constexpr std::size_t kMaxHeldRequests = 4096;

/// Reads the JSON body of an announcement. Errors: kInvalidArgument with every
/// fault and its place, kTooLarge.
Result<Announcement> ReadAnnouncement(std::string_view body);

}  // namespace briarlead

#endif  // BRIARLEAD_ENTRY_ANNOUNCEMENT_READER_H_
