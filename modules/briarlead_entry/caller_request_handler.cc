#include "briarlead_entry/caller_request_handler.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "briarlead_entry/http_answers.h"
#include "briarlead_net/loop_clock.h"
#include "briarlead_wire/bearer_field.h"

namespace briarlead {

namespace {

/// Limit of output tokens for a request that states none.
constexpr std::uint32_t kDefaultMaxOutputTokens = 512;

}  // namespace

CallerRequestHandler::CallerRequestHandler(const EntryContext& context,
                                           const ListsFollower& lists,
                                           CompletionManager& completions,
                                           ServiceCallManager& services,
                                           RequestMetrics& metrics,
                                           MakeRequestId make_request_id)
    : context_(context),
      lists_(lists),
      completions_(completions),
      services_(services),
      metrics_(metrics),
      make_request_id_(std::move(make_request_id)),
      allowances_(context.settings.entry_hosts) {}

void CallerRequestHandler::OnRequest(std::shared_ptr<HttpExchange> exchange,
                                     TimePoint now) {
  const PresentedKey key = ReadBearerKey(exchange->headers());
  const CustomerEntry* customer =
      key.form == KeyForm::kPresent ? lists_.lists().FindByKeyDigest(key.digest)
                                    : nullptr;
  if (customer == nullptr) {
    Refuse(context_, *exchange, 401, "Not authenticated", "unknown bearer key");
    return;
  }
  const std::string_view path = exchange->path();
  if (path == "/v1/completions") {
    OnCompletion(std::move(exchange), *customer, CompletionKind::kCompletions,
                 now);
  } else if (path == "/v1/chat/completions") {
    OnCompletion(std::move(exchange), *customer, CompletionKind::kChat, now);
  } else if (const ServiceSettings* service =
                 context_.settings.FindByPath(path)) {
    OnServiceCall(std::move(exchange), *customer, *service, now);
  } else {
    Refuse(context_, *exchange, 404, "No such path", "");
  }
}

void CallerRequestHandler::OnCompletion(std::shared_ptr<HttpExchange> exchange,
                                        const CustomerEntry& customer,
                                        CompletionKind kind,
                                        TimePoint now) {
  if (exchange->method() != "POST") {
    Refuse(context_, *exchange, 405, "Use POST", "");
    return;
  }
  Result<CompletionRequest> request =
      ParseCompletionRequest(exchange->body(), kind);
  if (!request) {
    Refuse(context_, *exchange, 400, "The request has faults",
           request.error().message);
    return;
  }
  const ModelId& model_id = request.value().model;
  const ModelSettings* model = context_.settings.Find(model_id);
  const Entitlement* use =
      lists_.lists().FindEntitlement(customer.id, model_id);
  if (model == nullptr || use == nullptr) {
    Refuse(context_, *exchange, 403, "The plan does not allow this model",
           model_id.value());
    return;
  }
  CompletionJob job;
  job.prompt_tokens = EstimateTokenCount(request.value().prompt);
  if (job.prompt_tokens > model->max_prompt_tokens) {
    Refuse(context_, *exchange, 413, "The prompt is too long", "");
    return;
  }
  job.max_output_tokens =
      std::min(request.value().max_tokens.value_or(kDefaultMaxOutputTokens),
               model->max_output_tokens);
  const std::uint32_t charged = job.prompt_tokens + job.max_output_tokens;
  if (!Admit(*exchange, customer, *use, charged, now))
    return;
  job.id = make_request_id_();
  job.exchange = std::move(exchange);
  job.request = std::move(request).value();
  job.customer = customer.id;
  job.weight = lists_.lists().PlanOf(customer.id)->weight;
  job.use = *use;
  context_.logger.Info(now, "admitted",
                       {{"request", ToString(job.id)},
                        {"customer", customer.id.value()},
                        {"rank", ToString(use->rank)},
                        {"model", use->model.value()},
                        {"prompt_tokens", job.prompt_tokens}});
  auto on_end = [this, id = customer.id, use = *use, charged,
                 prompt = job.prompt_tokens](std::uint32_t output_tokens) {
    allowances_.OnDone(id, use, charged, prompt + output_tokens, LoopNow());
  };
  completions_.OnRequest(std::move(job), std::move(on_end), now);
}

void CallerRequestHandler::OnServiceCall(std::shared_ptr<HttpExchange> exchange,
                                         const CustomerEntry& customer,
                                         const ServiceSettings& service,
                                         TimePoint now) {
  const Entitlement* use =
      lists_.lists().FindEntitlement(customer.id, service.service);
  if (use == nullptr) {
    Refuse(context_, *exchange, 403, "The plan does not allow this service",
           service.service.value());
    return;
  }
  if (!Admit(*exchange, customer, *use, 0, now))
    return;
  auto on_end = [this, id = customer.id, use = *use] {
    allowances_.OnDone(id, use, 0, 0, LoopNow());
  };
  services_.OnCall(std::move(exchange), service, customer.id, *use,
                   make_request_id_(), std::move(on_end), now);
}

bool CallerRequestHandler::Admit(HttpExchange& exchange,
                                 const CustomerEntry& customer,
                                 const Entitlement& use,
                                 std::uint32_t tokens,
                                 TimePoint now) {
  const AllowanceDecision decision =
      allowances_.Admit(customer.id, use, tokens, now);
  if (decision.admitted)
    return true;
  metrics_.OnRefused(use.rank);
  Refuse(context_, exchange, 429, "The customer's allowance is used up",
         ToString(decision.exceeded_limit), decision.retry_after);
  return false;
}

}  // namespace briarlead
