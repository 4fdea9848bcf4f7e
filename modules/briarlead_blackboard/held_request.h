#ifndef BRIARLEAD_BLACKBOARD_HELD_REQUEST_H_
#define BRIARLEAD_BLACKBOARD_HELD_REQUEST_H_

#include <compare>
#include <cstdint>

#include "briarlead_core/request_id.h"

namespace briarlead {

/// One attempt of a request that an engine holds slots or memory for.
struct HeldRequest {
  RequestId request;
  std::uint32_t attempt = 0;

  friend auto operator<=>(const HeldRequest&, const HeldRequest&) = default;
};

}  // namespace briarlead

#endif  // BRIARLEAD_BLACKBOARD_HELD_REQUEST_H_
