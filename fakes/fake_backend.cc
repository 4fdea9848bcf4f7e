#include "fakes/fake_backend.h"

#include <charconv>
#include <utility>

#include "briarlead_http/json_access.h"
#include "fakes/fake_decode.h"
#include "fakes/fake_prefill.h"
#include "fakes/fake_service.h"
#include "fakes/loop_timer.h"

namespace briarlead {

void FakeBackend::Handle(std::shared_ptr<HttpExchange> exchange) {
  const std::string_view path = exchange->path();
  const bool post = exchange->method() == "POST";
  if (path == "/v1/held" && !post)
    return AnswerHeld(*exchange);
  if (path == "/v1/cancel" && post)
    return TakeCancel(*exchange);
  if (path == "/v1/orders" && post)
    return TakeOrder(*exchange);
  HandleWork(std::move(exchange));
}

void FakeBackend::Leave() {
  if (!leaving_since_)
    leaving_since_ = LoopNow();
}

void FakeBackend::Record(RunEvent event) {
  if (leaving_since_) {
    event.leaving_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                           LoopNow() - *leaving_since_)
                           .count();
  }
  recorder_->Record(event);
}

void FakeBackend::AnswerHeld(HttpExchange& exchange) const {
  nlohmann::json body = {{"requests", nlohmann::json::array()},
                         {"kv_bytes", load().kv_used_bytes}};
  for (const HeldAttempt& it : held()) {
    body["requests"].push_back(
        {{"request", ToString(it.request)}, {"attempt", it.attempt}});
  }
  RespondJson(exchange, DumpJson(body));
}

void FakeBackend::TakeCancel(HttpExchange& exchange) {
  const auto attempt = ParseCancel(exchange.body());
  if (!attempt) {
    return RespondProblem(exchange, 400, attempt.error().message,
                          Execution::kNotRun);
  }
  Cancel(attempt.value());
  RespondJson(exchange, "{}");
}

void FakeBackend::TakeOrder(HttpExchange& exchange) {
  const auto json = ParseJsonObject(exchange.body());
  const auto fencing =
      json ? UnsignedMember(json.value(), "fencing") : std::nullopt;
  if (!fencing) {
    return RespondProblem(exchange, 400, "fencing: expected a number",
                          Execution::kNotRun);
  }
  const std::string order = StringMember(json.value(), "order").value_or("");
  if (!orders_.Admit(*fencing)) {
    Record({.event = "order_refused", .key = order, .number = *fencing});
    return RespondProblem(
        exchange, 409,
        "old fencing number; highest is " + std::to_string(orders_.highest()),
        Execution::kNotRun);
  }
  Record({.event = "order",
          .key = order,
          .body = std::string(exchange.body()),
          .number = *fencing});
  RespondJson(exchange, "{}");
}

std::unique_ptr<FakeBackend> MakeFakeBackend(const BackendOptions& options,
                                             RunRecorder* recorder) {
  switch (options.role) {
    case BackendServerRole::kPrefill:
      return std::make_unique<FakePrefill>(options, recorder);
    case BackendServerRole::kDecode:
      return std::make_unique<FakeDecode>(options, recorder);
    case BackendServerRole::kService:
      break;
  }
  return std::make_unique<FakeService>(options, recorder);
}

std::optional<HeldAttempt> ReadAttempt(const HttpExchange& exchange) {
  const auto request =
      ParseRequestId(exchange.Header(kRequestIdHeader).value_or(""));
  if (!request)
    return std::nullopt;
  HeldAttempt attempt{*request, 0};
  const std::string_view text = exchange.Header(kAttemptHeader).value_or("");
  std::from_chars(text.data(), text.data() + text.size(), attempt.attempt);
  return attempt;
}

void RespondProblem(HttpExchange& exchange,
                    int status,
                    std::string title,
                    Execution execution) {
  exchange.Respond(ToHttpResponse(
      {.status = status, .title = std::move(title), .execution = execution}));
}

void RespondJson(HttpExchange& exchange, std::string body) {
  exchange.Respond(
      {.content_type = "application/json", .body = std::move(body)});
}

}  // namespace briarlead
