#ifndef BRIARLEAD_BLACKBOARD_HELD_ATTEMPT_H_
#define BRIARLEAD_BLACKBOARD_HELD_ATTEMPT_H_

#include <compare>
#include <cstdint>

#include "briarlead_core/request_id.h"

namespace briarlead {

/// An attempt of a request for which an engine holds slots or memory.
struct HeldAttempt {
  RequestId request;
  std::uint32_t attempt = 0;

  friend auto operator<=>(const HeldAttempt&, const HeldAttempt&) = default;
};

}  // namespace briarlead

#endif  // BRIARLEAD_BLACKBOARD_HELD_ATTEMPT_H_
