#ifndef BRIARLEAD_METRICS_REQUEST_OUTCOME_H_
#define BRIARLEAD_METRICS_REQUEST_OUTCOME_H_

#include <array>
#include <cstddef>
#include <string_view>

namespace briarlead {

/// How a caller's request ended.
enum class RequestOutcome {
  kOnTime,     ///< Answered in full within its targets.
  kLate,       ///< Answered in full, a target missed.
  kRefused,    ///< Not run: limits, overload or nowhere to run it.
  kInvalid,    ///< Not run: the request itself was at fault.
  kFailed,     ///< Ran and failed.
  kUnknown,    ///< May have run; its end is not known.
  kCancelled,  ///< The caller went away.
};

inline constexpr std::size_t kRequestOutcomeCount = 7;
inline constexpr std::array<RequestOutcome, kRequestOutcomeCount>
    kRequestOutcomes = {RequestOutcome::kOnTime,   RequestOutcome::kLate,
                        RequestOutcome::kRefused,  RequestOutcome::kInvalid,
                        RequestOutcome::kFailed,   RequestOutcome::kUnknown,
                        RequestOutcome::kCancelled};

/// Returns the label value of `outcome`, for example "on_time".
std::string_view ToString(RequestOutcome outcome);

}  // namespace briarlead

#endif  // BRIARLEAD_METRICS_REQUEST_OUTCOME_H_
