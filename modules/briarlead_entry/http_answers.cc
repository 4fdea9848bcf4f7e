#include "briarlead_entry/http_answers.h"

#include <utility>

#include "briarlead_net/loop_clock.h"

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

void Refuse(const EntryContext& context,
            HttpExchange& exchange,
            int status,
            std::string_view title,
            std::string_view detail,
            std::optional<Duration> retry_after) {
  context.logger.Info(LoopNow(), "request_refused",
                      {{"path", exchange.path()},
                       {"status", status},
                       {"reason", title},
                       {"detail", detail}});
  exchange.Respond(
      MakeProblem(status, title, detail, Execution::kNotRun, retry_after));
}

void RespondText(HttpExchange& exchange, int status, std::string_view text) {
  HttpResponse response;
  response.status = status;
  response.content_type = "text/plain; charset=utf-8";
  response.body = text;
  exchange.Respond(std::move(response));
}

void RespondJson(HttpExchange& exchange, std::string body) {
  HttpResponse response;
  response.content_type = "application/json";
  response.body = std::move(body);
  exchange.Respond(std::move(response));
}

}  // namespace briarlead
