#include "briarlead_metrics/request_outcome.h"

namespace briarlead {

std::string_view ToString(RequestOutcome outcome) {
  switch (outcome) {
    case RequestOutcome::kOnTime:
      return "on_time";
    case RequestOutcome::kLate:
      return "late";
    case RequestOutcome::kRefused:
      return "refused";
    case RequestOutcome::kInvalid:
      return "invalid";
    case RequestOutcome::kFailed:
      return "failed";
    case RequestOutcome::kUnknown:
      return "unknown";
    case RequestOutcome::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

}  // namespace briarlead
