#ifndef BRIARLEAD_HTTP_PROBLEM_DETAILS_H_
#define BRIARLEAD_HTTP_PROBLEM_DETAILS_H_

#include <optional>
#include <string>
#include <string_view>

#include "briarlead_core/error.h"
#include "briarlead_core/time.h"
#include "briarlead_http/http_types.h"

namespace briarlead {

/// Whether the operation that a request asked for has been run.
enum class Execution {
  kNotRun,   ///< Certainly not; sending it again can't run it twice.
  kRan,      ///< Certainly.
  kUnknown,  ///< It may have been run.
};

/// Returns "not_run", "ran" or "unknown".
std::string_view ToString(Execution execution);

/// An error response (RFC 9457) with its extension member "execution".
struct ProblemDetails {
  int status = 500;
  std::string title;   ///< Short, the same for each problem of its kind.
  std::string detail;  ///< About this one; may be empty.
  Execution execution = Execution::kUnknown;
  /// When coming back may help; sent as Retry-After, rounded up to seconds.
  std::optional<Duration> retry_after;
  std::string request_id;  ///< As the logs name the request; may be empty.
};

/// Makes the response of type application/problem+json. Bytes that are not
/// UTF-8 are replaced.
HttpResponse ToHttpResponse(const ProblemDetails& problem);

/// Reads the body of such a response. Fails with kCorrupt. The Retry-After is
/// not in the body and left empty.
Result<ProblemDetails> ParseProblemDetails(std::string_view body);

}  // namespace briarlead

#endif  // BRIARLEAD_HTTP_PROBLEM_DETAILS_H_
