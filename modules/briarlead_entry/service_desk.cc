#include "briarlead_entry/service_desk.h"

#include <utility>
#include <variant>
#include <vector>

#include "briarlead_entry/http_answers.h"
#include "briarlead_net/loop_clock.h"

namespace briarlead {

namespace {

/// Runners that a repeatable call is sent to before it is given up on.
constexpr std::uint32_t kMaxRunnersPerCall = 3;
/// Longest answer of a runner that is passed on.
constexpr std::size_t kMaxAnswerBytes = 8U << 20;
constexpr Duration kRetryAfterFailure = std::chrono::seconds(1);
/// Header fields of the caller that the runner gets too.
constexpr std::string_view kPassedHeaders[] = {"Content-Type", "Accept",
                                               "Idempotency-Key"};

}  // namespace

/// One call and what is known of its answer so far.
struct ServiceDesk::Call {
  std::shared_ptr<HttpExchange> exchange;
  ServiceId service;
  CustomerId customer;
  Rank rank = Rank::kUrgent;
  Duration answer_target{};
  HttpRequest request;
  RequestId id;
  std::function<void()> on_end;
  bool repeatable = false;
  std::uint32_t runners_tried = 0;
  bool sent = false;  ///< A call to a runner is or was under way.
  std::unique_ptr<HttpCall> http;
  HttpResponse answer;
  bool answer_too_large = false;
};

ServiceDesk::ServiceDesk(const EntryContext& context, AskControl ask_control)
    : context_(context), ask_control_(std::move(ask_control)) {}

ServiceDesk::~ServiceDesk() = default;

void ServiceDesk::OnCall(std::shared_ptr<HttpExchange> exchange,
                         const ServiceSettings& service,
                         const CustomerId& customer,
                         const Entitlement& use,
                         const RequestId& id,
                         std::function<void()> on_end,
                         TimePoint now) {
  auto made = std::make_unique<Call>();
  Call& call = *made;
  call.exchange = std::move(exchange);
  call.service = service.service;
  call.customer = customer;
  call.rank = use.rank;
  call.answer_target = use.answer_target;
  call.id = id;
  call.on_end = std::move(on_end);
  const std::string_view path =
      call.exchange->path().substr(service.path_prefix.size());
  call.repeatable = service.IsRepeatable(call.exchange->method(), path);
  call.request.method = call.exchange->method();
  call.request.path = path.empty() ? "/" : std::string(path);
  if (!call.exchange->query().empty())
    call.request.path += "?" + std::string(call.exchange->query());
  call.request.body = call.exchange->body();
  call.request.first_byte_timeout = service.answer_timeout;
  // On a kept connection that the runner closes, it is unknown whether the
  // call ran; a new one leaves no such doubt.
  call.request.new_connection = !call.repeatable;
  call.request.headers.Add("X-Request-Id", ToString(id));
  for (const std::string_view name : kPassedHeaders) {
    const auto value = call.exchange->Header(name);
    if (value.has_value()) {
      call.request.headers.Add(std::string(name), std::string(*value));
    }
  }
  call.exchange->SetGoneHandler([this, id] { OnCallerGone(id); });
  PoolOf(service);
  calls_[id] = std::move(made);
  if (call.repeatable) {
    pools_.at(call.service)
        ->Enqueue({id, customer, call.rank, call.answer_target}, now);
  } else {
    StartClaimed(call, now);
  }
  Pump(now);
}

void ServiceDesk::OnControlAnswer(std::uint64_t number,
                                  const ControlAnswerBody& body,
                                  TimePoint now) {
  const auto question = questions_.find(number);
  if (question == questions_.end())
    return;
  const AttemptToken attempt = question->second;
  questions_.erase(question);
  if (const auto* begun = std::get_if<BeginResult>(&body))
    keeper_.OnBeginResult(*begun, now);
  else if (const auto* finished = std::get_if<FinishResult>(&body))
    keeper_.OnFinishResult(*finished);
  else
    keeper_.OnControlUnavailable(attempt, now);
  Pump(now);
}

void ServiceDesk::OnControlUnanswered(std::uint64_t number, TimePoint now) {
  const auto question = questions_.find(number);
  if (question == questions_.end())
    return;
  keeper_.OnControlUnavailable(question->second, now);
  questions_.erase(question);
  Pump(now);
}

void ServiceDesk::OnServersChanged(TimePoint now) {
  for (auto& [service, pool] : pools_)
    pool->OnServersChanged(now);
  Pump(now);
}

void ServiceDesk::Tick(TimePoint now) {
  for (auto& [service, pool] : pools_)
    pool->Tick(now);
  keeper_.Tick(now);
  Pump(now);
}

std::size_t ServiceDesk::open_calls() const {
  return calls_.size() + keeper_.size();
}

ServicePool& ServiceDesk::PoolOf(const ServiceSettings& service) {
  std::unique_ptr<ServicePool>& pool = pools_[service.service];
  if (!pool) {
    pool = std::make_unique<ServicePool>(
        service.service, context_.settings.data_centre, context_.blackboard,
        ServicePoolLimits{});
  }
  return *pool;
}

void ServiceDesk::StartClaimed(Call& call, TimePoint now) {
  ClaimedCall claimed;
  claimed.id = call.id;
  const auto key = call.exchange->Header("Idempotency-Key");
  if (key.has_value() && key->size() > kMaxIdempotencyKeyBytes) {
    Respond(call, MakeProblem(400, "Idempotency-Key is too long",
                              "at most 255 bytes", Execution::kNotRun));
    Forget(call.id);
    return;
  }
  if (key.has_value())
    claimed.key = ClaimKey{call.customer, std::string(*key)};
  claimed.content =
      DigestOf({call.request.method, call.request.path, call.request.body});
  claimed.timeout = call.request.first_byte_timeout;
  keeper_.Start(claimed, now);
}

void ServiceDesk::OnCallerGone(const RequestId& id) {
  const auto it = calls_.find(id);
  if (it == calls_.end())
    return;
  Call& call = *it->second;
  const TimePoint now = LoopNow();
  context_.logger.Info(now, "caller_gone", {{"request", ToString(id)}});
  call.exchange.reset();
  ServicePool& pool = *pools_.at(call.service);
  if (call.repeatable) {
    pool.OnEnded(id, false, now);
    Forget(id);
  } else {
    keeper_.OnCallerGone(id, now);
    if (!call.sent) {
      pool.OnEnded(id, false, now);
      keeper_.OnCallNotSent(id, now);
      Forget(id);
    }
  }
  Pump(now);
}

void ServiceDesk::Pump(TimePoint now) {
  while (PumpClaims(now) || PumpPools(now)) {
  }
}

bool ServiceDesk::PumpPools(TimePoint now) {
  bool any = false;
  for (auto& [service, pool] : pools_) {
    for (const ServicePoolCommand& it : pool->TakeCommands()) {
      any = true;
      const auto* send = std::get_if<SendToRunner>(&it);
      const auto* refuse = std::get_if<RefuseCall>(&it);
      const auto call =
          calls_.find(send != nullptr ? send->request : refuse->request);
      if (call == calls_.end()) {
        // Its caller went before it left: it was not run and never will be.
        const RequestId& id = send != nullptr ? send->request : refuse->request;
        pool->OnEnded(id, false, now);
        keeper_.OnCallNotSent(id, now);
        continue;
      }
      if (send != nullptr)
        SendToServer(*call->second, *send);
      else
        Refuse(*call->second, *refuse, now);
    }
  }
  return any;
}

bool ServiceDesk::PumpClaims(TimePoint now) {
  const std::vector<ClaimCommand> commands = keeper_.TakeCommands();
  for (const ClaimCommand& it : commands) {
    if (const auto* begin = std::get_if<ProposeBegin>(&it)) {
      questions_[ask_control_(begin->begin, now)] = begin->begin.attempt;
    } else if (const auto* finish = std::get_if<ProposeFinish>(&it)) {
      questions_[ask_control_(finish->finish, now)] = finish->finish.attempt;
    } else if (const auto* send = std::get_if<SendCall>(&it)) {
      const auto call = calls_.find(send->id);
      if (call == calls_.end()) {
        keeper_.OnCallNotSent(send->id, now);
        continue;
      }
      const Call& found = *call->second;
      pools_.at(found.service)
          ->Enqueue({found.id, found.customer, found.rank, found.answer_target},
                    now);
    } else if (const auto* answer = std::get_if<AnswerCaller>(&it)) {
      AnswerClaimed(*answer, now);
    }
  }
  return !commands.empty();
}

void ServiceDesk::SendToServer(Call& call, const SendToRunner& command) {
  const TimePoint now = LoopNow();
  context_.logger.Info(now, "call_routed",
                       {{"request", ToString(call.id)},
                        {"customer", call.customer.value()},
                        {"rank", ToString(call.rank)},
                        {"server", command.server.value()},
                        {"reason", command.reason}});
  const BackendServerRecord* server =
      context_.blackboard.servers.Find(command.server);
  ++call.runners_tried;
  call.sent = true;
  call.answer = {};
  call.request.endpoint = server->address;
  HttpCallHandler handler;
  handler.on_head = [&call](int status, const HeaderFields& headers) {
    call.answer.status = status;
    call.answer.content_type = headers.Find("Content-Type").value_or("");
  };
  handler.on_data = [&call](std::string_view data) {
    if (call.answer.body.size() + data.size() > kMaxAnswerBytes)
      call.answer_too_large = true;
    else
      call.answer.body += data;
  };
  handler.on_done = [this, id = call.id](const HttpCallEnd& end) {
    OnCallEnd(id, end);
  };
  call.http = context_.http.Send(call.request, std::move(handler));
}

void ServiceDesk::Refuse(Call& call, const RefuseCall& command, TimePoint now) {
  context_.logger.Info(now, "call_refused",
                       {{"request", ToString(call.id)},
                        {"customer", call.customer.value()},
                        {"rank", ToString(call.rank)},
                        {"reason", command.reason}});
  if (!call.repeatable) {
    keeper_.OnCallNotSent(call.id, now);
    return;
  }
  Respond(call, MakeProblem(503, "The call was not run", command.reason,
                            Execution::kNotRun, command.retry_after));
  Forget(call.id);
}

void ServiceDesk::OnCallEnd(const RequestId& id, const HttpCallEnd& end) {
  const auto it = calls_.find(id);
  if (it == calls_.end())
    return;
  Call& call = *it->second;
  const TimePoint now = LoopNow();
  // The call object may be destroyed from within its handler.
  const std::unique_ptr<HttpCall> ended = std::move(call.http);
  pools_.at(call.service)->OnEnded(id, end.ok(), now);
  if (call.repeatable)
    EndRepeatable(call, end, now);
  else
    EndClaimed(call, end, now);
  Pump(now);
}

void ServiceDesk::EndClaimed(Call& call,
                             const HttpCallEnd& end,
                             TimePoint now) {
  if (!end.ok()) {
    context_.logger.Warning(now, "call_failed",
                            {{"request", ToString(call.id)},
                             {"error", end.error->message},
                             {"may_have_left", end.request_may_have_left}});
  }
  if (end.ok()) {
    RecordedAnswer answer;
    answer.status = static_cast<std::uint16_t>(call.answer.status);
    answer.content_type = call.answer.content_type;
    answer.body = call.answer.body;
    answer.kept = !call.answer_too_large;
    keeper_.OnCallAnswered(call.id, answer, now);
  } else if (end.request_may_have_left) {
    keeper_.OnCallFailed(call.id, now);
  } else {
    keeper_.OnCallNotSent(call.id, now);
  }
  if (!call.exchange)
    Forget(call.id);
}

void ServiceDesk::EndRepeatable(Call& call,
                                const HttpCallEnd& end,
                                TimePoint now) {
  if (end.ok() && !call.answer_too_large) {
    Respond(call, std::move(call.answer));
    Forget(call.id);
    return;
  }
  context_.logger.Warning(
      now, "call_failed",
      {{"request", ToString(call.id)},
       {"error", end.ok() ? "the answer is too large" : end.error->message}});
  if (!end.ok() && call.runners_tried < kMaxRunnersPerCall) {
    pools_.at(call.service)
        ->Enqueue({call.id, call.customer, call.rank, call.answer_target}, now);
    return;
  }
  Respond(call,
          MakeProblem(502, "No runner answered", "the call may be repeated",
                      Execution::kUnknown, kRetryAfterFailure));
  Forget(call.id);
}

void ServiceDesk::AnswerClaimed(const AnswerCaller& command, TimePoint now) {
  const auto it = calls_.find(command.id);
  if (it == calls_.end())
    return;
  Call& call = *it->second;
  context_.logger.Info(now, "call_answered",
                       {{"request", ToString(command.id)},
                        {"customer", call.customer.value()},
                        {"verdict", ToString(command.verdict)}});
  HttpResponse response;
  switch (command.verdict) {
    case CallVerdict::kRan:
      response.status = command.answer.status;
      response.content_type = command.answer.content_type;
      response.body = command.answer.body;
      break;
    case CallVerdict::kRanAnswerNotKept:
      response = MakeProblem(409, "The call ran", "its answer was not kept",
                             Execution::kRan);
      break;
    case CallVerdict::kUnknown:
      response = MakeProblem(504, "The outcome is unknown",
                             "the call may have run; it is not run again",
                             Execution::kUnknown, command.retry_after);
      break;
    case CallVerdict::kStillRunning:
      response = MakeProblem(409, "The call is still running",
                             "an earlier attempt with this key is under way",
                             Execution::kUnknown, command.retry_after);
      break;
    case CallVerdict::kNotRun:
      response = MakeProblem(503, "The call was not run", "come back later",
                             Execution::kNotRun, command.retry_after);
      break;
    case CallVerdict::kAttemptNotRun:
      response = MakeProblem(
          503, "This attempt was not run",
          "whether an earlier attempt with this key ran can't be looked up now",
          Execution::kUnknown, command.retry_after);
      break;
    case CallVerdict::kKeyReused:
      response =
          MakeProblem(422, "Idempotency-Key was used before",
                      "with another method, path or body", Execution::kNotRun);
      break;
  }
  Respond(call, std::move(response));
  // The runner's late answer is still awaited and recorded.
  call.exchange.reset();
  if (!call.http)
    Forget(command.id);
}

void ServiceDesk::Respond(Call& call, HttpResponse response) {
  if (!call.exchange)
    return;
  call.exchange->SetGoneHandler(nullptr);
  call.exchange->Respond(std::move(response));
}

void ServiceDesk::Forget(const RequestId& id) {
  const auto it = calls_.find(id);
  if (it == calls_.end())
    return;
  const std::unique_ptr<Call> ended = std::move(it->second);
  calls_.erase(it);
  ended->on_end();
}

}  // namespace briarlead
