#include "briarlead_http/problem_details.h"

#include <array>
#include <nlohmann/json.hpp>

#include "briarlead_http/json_access.h"

namespace briarlead {

namespace {

constexpr std::array<Execution, 3> kExecutions = {
    Execution::kNotRun, Execution::kRan, Execution::kUnknown};

std::string RetryAfterSeconds(Duration delay) {
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(delay).count();
  return std::to_string(seconds < 1 ? 1 : seconds);
}

}  // namespace

std::string_view ToString(Execution execution) {
  switch (execution) {
    case Execution::kNotRun:
      return "not_run";
    case Execution::kRan:
      return "ran";
    case Execution::kUnknown:
      return "unknown";
  }
  return "unknown";
}

HttpResponse ToHttpResponse(const ProblemDetails& problem) {
  nlohmann::ordered_json body = {{"type", "about:blank"},
                                 {"title", problem.title},
                                 {"status", problem.status}};
  if (!problem.detail.empty())
    body["detail"] = problem.detail;
  body["execution"] = ToString(problem.execution);
  if (!problem.request_id.empty())
    body["request_id"] = problem.request_id;
  HttpResponse response{.status = problem.status,
                        .content_type = "application/problem+json",
                        .body = DumpJson(body)};
  if (problem.retry_after) {
    response.headers.Add("Retry-After",
                         RetryAfterSeconds(*problem.retry_after));
  }
  return response;
}

Result<ProblemDetails> ParseProblemDetails(std::string_view body) {
  BOOST_OUTCOME_TRY(const nlohmann::json json, ParseJsonObject(body));
  ProblemDetails problem;
  problem.status = static_cast<int>(UnsignedMember(json, "status").value_or(0));
  problem.title = StringMember(json, "title").value_or("");
  problem.detail = StringMember(json, "detail").value_or("");
  problem.request_id = StringMember(json, "request_id").value_or("");
  const std::string execution = StringMember(json, "execution").value_or("");
  for (const Execution it : kExecutions) {
    if (execution != ToString(it))
      continue;
    problem.execution = it;
    return problem;
  }
  return Fail(ErrorCode::kCorrupt, "problem details without \"execution\"");
}

}  // namespace briarlead
