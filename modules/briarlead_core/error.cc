#include "briarlead_core/error.h"

namespace briarlead {

std::string_view ToString(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidArgument:
      return "invalid_argument";
    case ErrorCode::kNotFound:
      return "not_found";
    case ErrorCode::kConflict:
      return "conflict";
    case ErrorCode::kUnauthenticated:
      return "unauthenticated";
    case ErrorCode::kUnavailable:
      return "unavailable";
    case ErrorCode::kTimedOut:
      return "timed_out";
    case ErrorCode::kTooLarge:
      return "too_large";
    case ErrorCode::kCorrupt:
      return "corrupt";
    case ErrorCode::kIo:
      return "io";
  }
  return "unknown";
}

}  // namespace briarlead
