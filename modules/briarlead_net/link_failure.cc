#include "briarlead_net/link_failure.h"

namespace briarlead {

std::string_view ToString(LinkFailure failure) {
  switch (failure) {
    case LinkFailure::kNotConnected:
      return "not_connected";
    case LinkFailure::kClosed:
      return "closed";
    case LinkFailure::kSilent:
      return "silent";
    case LinkFailure::kOverflow:
      return "overflow";
  }
  return "unknown";
}

}  // namespace briarlead
