#ifndef BRIARLEAD_HTTP_ANNOUNCEMENT_H_
#define BRIARLEAD_HTTP_ANNOUNCEMENT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "briarlead_blackboard/backend_server_record.h"
#include "briarlead_blackboard/held_attempt.h"
#include "briarlead_core/error.h"
#include "briarlead_core/request_id.h"

namespace briarlead {

/// What a backend server says of itself in POST /v1/announce.
struct Announcement {
  BackendServerRecord record;  ///< Its last_heard is not part of the message.
  /// Grows with each announcement of one incarnation, so that hosts can tell
  /// which of two they heard is the later one; at least 1.
  std::uint64_t sequence = 0;
  std::vector<HeldAttempt> held;
};

/// Writes the body of the request.
std::string WriteAnnouncement(const Announcement& announcement);

/// Reads it. Fails with kInvalidArgument and a message that names the member.
Result<Announcement> ParseAnnouncement(std::string_view body);

/// Writes and reads the body of POST /v1/cancel.
std::string WriteCancel(const HeldAttempt& attempt);
Result<HeldAttempt> ParseCancel(std::string_view body);

}  // namespace briarlead

#endif  // BRIARLEAD_HTTP_ANNOUNCEMENT_H_
