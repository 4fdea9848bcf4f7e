#ifndef BRIARLEAD_ENTRY_PROBLEM_RESPONSE_H_
#define BRIARLEAD_ENTRY_PROBLEM_RESPONSE_H_

#include <optional>
#include <string>
#include <string_view>

#include "briarlead_core/time.h"
#include "briarlead_http/briarlead_http.h"

namespace briarlead {

/// Returns a problem details response (RFC 9457) whose member "execution" says
/// "not_run", "ran" or "unknown". With `retry_after` it says when to come back,
/// rounded up to whole seconds.
HttpResponse MakeProblem(int status,
                         std::string_view title,
                         std::string_view detail,
                         Execution execution,
                         std::optional<Duration> retry_after = std::nullopt);

}  // namespace briarlead

#endif  // BRIARLEAD_ENTRY_PROBLEM_RESPONSE_H_
