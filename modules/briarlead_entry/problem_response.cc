#include "briarlead_entry/problem_response.h"

namespace briarlead {

HttpResponse MakeProblem(int status,
                         std::string_view title,
                         std::string_view detail,
                         Execution execution,
                         std::optional<Duration> retry_after) {
  ProblemDetails problem;
  problem.status = status;
  problem.title = title;
  problem.detail = detail;
  problem.execution = execution;
  problem.retry_after = retry_after;
  return ToHttpResponse(problem);
}

}  // namespace briarlead
