#ifndef BRIARLEAD_METRICS_REQUEST_OUTCOME_H_
#define BRIARLEAD_METRICS_REQUEST_OUTCOME_H_

#include <array>
#include <cstddef>
#include <string_view>

namespace briarlead {

/// How a caller's request ended.
enum class RequestOutcome {
  kOnTime,     ///< Answered in full within its targets.
  kLate,       ///< Answered in full, but missed a target.
  kRefused,    ///< Not run: limits, overload or no server to run it.
  kInvalid,    ///< Not run: the request was invalid.
  kFailed,     ///< Run, but failed.
  kUnknown,    ///< May have been run; its result is not known.
  kCancelled,  ///< The caller disconnected.
};

/// Number of request outcomes.
inline constexpr std::size_t kRequestOutcomeCount = 7;
/// All request outcomes, in the order of their values.
inline constexpr std::array<RequestOutcome, kRequestOutcomeCount>
    kRequestOutcomes = {RequestOutcome::kOnTime,   RequestOutcome::kLate,
                        RequestOutcome::kRefused,  RequestOutcome::kInvalid,
                        RequestOutcome::kFailed,   RequestOutcome::kUnknown,
                        RequestOutcome::kCancelled};

/// Returns the label value of `outcome`, for example "on_time".
std::string_view ToString(RequestOutcome outcome);

}  // namespace briarlead

#endif  // BRIARLEAD_METRICS_REQUEST_OUTCOME_H_
