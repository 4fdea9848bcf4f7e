#include "briarlead_entry/service_call_manager.h"

#include <utility>
#include <variant>
#include <vector>

#include "briarlead_entry/http_answers.h"
#include "briarlead_net/loop_clock.h"

namespace briarlead {

namespace {

/// Number of runners to which a repeatable call is sent before it fails.
constexpr std::uint32_t kMaxRunnersPerCall = 3;
/// Largest answer of a runner that is forwarded, in bytes.
constexpr std::size_t kMaxAnswerBytes = 8U << 20;
constexpr Duration kRetryAfterFailure = std::chrono::seconds(1);
/// Header fields of the caller that are forwarded to the runner.
constexpr std::string_view kForwardedHeaders[] = {"Content-Type", "Accept",
                                                  "Idempotency-Key"};

}  // namespace

/// One call and the part of its answer that has arrived.
struct ServiceCallManager::Call {
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
  bool sent = false;  ///< To a runner, at least once.
  std::unique_ptr<HttpCall> http;
  HttpResponse answer;
  bool answer_too_large = false;
};

ServiceCallManager::ServiceCallManager(const EntryContext& context,
                                       SendToControl send_to_control)
    : context_(context), send_to_control_(std::move(send_to_control)) {}

ServiceCallManager::~ServiceCallManager() = default;

void ServiceCallManager::OnCall(std::shared_ptr<HttpExchange> exchange,
                                const ServiceSettings& service,
                                const CustomerId& customer,
                                const Entitlement& use,
                                const RequestId& id,
                                std::function<void()> on_end,
                                TimePoint now) {
  auto owned_call = std::make_unique<Call>();
  Call& call = *owned_call;
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
  // When the runner closes a reused connection, it is unknown whether the call
  // ran. A new connection avoids that case.
  call.request.new_connection = !call.repeatable;
  call.request.headers.Add("X-Request-Id", ToString(id));
  for (const std::string_view name : kForwardedHeaders) {
    const auto value = call.exchange->Header(name);
    if (value.has_value()) {
      call.request.headers.Add(std::string(name), std::string(*value));
    }
  }
  call.exchange->SetGoneHandler([this, id] { OnCallerGone(id); });
  PoolOf(service);
  calls_[id] = std::move(owned_call);
  if (call.repeatable) {
    pools_.at(call.service)
        ->Enqueue({id, customer, call.rank, call.answer_target}, now);
  } else {
    StartClaimed(call, now);
  }
  RunCommands(now);
}

void ServiceCallManager::OnControlAnswer(std::uint64_t number,
                                         const ControlAnswerBody& body,
                                         TimePoint now) {
  const auto proposal = proposals_.find(number);
  if (proposal == proposals_.end())
    return;
  const AttemptToken attempt = proposal->second;
  proposals_.erase(proposal);
  if (const auto* begun = std::get_if<BeginResult>(&body))
    claims_.OnBeginResult(*begun, now);
  else if (const auto* finished = std::get_if<FinishResult>(&body))
    claims_.OnFinishResult(*finished);
  else
    claims_.OnControlUnavailable(attempt, now);
  RunCommands(now);
}

void ServiceCallManager::OnControlUnanswered(std::uint64_t number,
                                             TimePoint now) {
  const auto proposal = proposals_.find(number);
  if (proposal == proposals_.end())
    return;
  claims_.OnControlUnavailable(proposal->second, now);
  proposals_.erase(proposal);
  RunCommands(now);
}

void ServiceCallManager::OnServersChanged(TimePoint now) {
  for (auto& [service, pool] : pools_)
    pool->OnServersChanged(now);
  RunCommands(now);
}

void ServiceCallManager::Tick(TimePoint now) {
  for (auto& [service, pool] : pools_)
    pool->Tick(now);
  claims_.Tick(now);
  RunCommands(now);
}

std::size_t ServiceCallManager::open_calls() const {
  return calls_.size() + claims_.size();
}

ServicePool& ServiceCallManager::PoolOf(const ServiceSettings& service) {
  std::unique_ptr<ServicePool>& pool = pools_[service.service];
  if (!pool) {
    pool = std::make_unique<ServicePool>(
        service.service, context_.settings.data_centre, context_.blackboard,
        ServicePoolLimits{});
  }
  return *pool;
}

void ServiceCallManager::StartClaimed(Call& call, TimePoint now) {
  ClaimedCall claimed;
  claimed.id = call.id;
  const auto key = call.exchange->Header("Idempotency-Key");
  if (key.has_value() && key->size() > kMaxIdempotencyKeyBytes) {
    Respond(call, MakeProblem(400, "Idempotency-Key is too long",
                              "at most 255 bytes", Execution::kNotRun));
    Remove(call.id);
    return;
  }
  if (key.has_value())
    claimed.key = ClaimKey{call.customer, std::string(*key)};
  claimed.content =
      DigestOf({call.request.method, call.request.path, call.request.body});
  claimed.timeout = call.request.first_byte_timeout;
  claims_.Start(claimed, now);
}

void ServiceCallManager::OnCallerGone(const RequestId& id) {
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
    Remove(id);
  } else {
    claims_.OnCallerGone(id, now);
    if (!call.sent) {
      pool.OnEnded(id, false, now);
      claims_.OnCallNotSent(id, now);
      Remove(id);
    }
  }
  RunCommands(now);
}

void ServiceCallManager::RunCommands(TimePoint now) {
  while (RunClaimCommands(now) || RunPoolCommands(now)) {
  }
}

bool ServiceCallManager::RunPoolCommands(TimePoint now) {
  bool any = false;
  for (auto& [service, pool] : pools_) {
    for (const ServicePoolCommand& it : pool->TakeCommands()) {
      any = true;
      const auto* send = std::get_if<SendToRunner>(&it);
      const auto* refuse = std::get_if<RefuseCall>(&it);
      const auto call =
          calls_.find(send != nullptr ? send->request : refuse->request);
      if (call == calls_.end()) {
        // The caller disconnected before the call was sent, so the call was not
        // run and never will be.
        const RequestId& id = send != nullptr ? send->request : refuse->request;
        pool->OnEnded(id, false, now);
        claims_.OnCallNotSent(id, now);
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

bool ServiceCallManager::RunClaimCommands(TimePoint now) {
  const std::vector<ClaimCommand> commands = claims_.TakeCommands();
  for (const ClaimCommand& it : commands) {
    if (const auto* begin = std::get_if<ProposeBegin>(&it)) {
      proposals_[send_to_control_(begin->begin, now)] = begin->begin.attempt;
    } else if (const auto* finish = std::get_if<ProposeFinish>(&it)) {
      proposals_[send_to_control_(finish->finish, now)] =
          finish->finish.attempt;
    } else if (const auto* send = std::get_if<SendCall>(&it)) {
      const auto call = calls_.find(send->id);
      if (call == calls_.end()) {
        claims_.OnCallNotSent(send->id, now);
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

void ServiceCallManager::SendToServer(Call& call, const SendToRunner& command) {
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

void ServiceCallManager::Refuse(Call& call,
                                const RefuseCall& command,
                                TimePoint now) {
  context_.logger.Info(now, "call_refused",
                       {{"request", ToString(call.id)},
                        {"customer", call.customer.value()},
                        {"rank", ToString(call.rank)},
                        {"reason", command.reason}});
  if (!call.repeatable) {
    claims_.OnCallNotSent(call.id, now);
    return;
  }
  Respond(call, MakeProblem(503, "The call was not run", command.reason,
                            Execution::kNotRun, command.retry_after));
  Remove(call.id);
}

void ServiceCallManager::OnCallEnd(const RequestId& id,
                                   const HttpCallEnd& end) {
  const auto it = calls_.find(id);
  if (it == calls_.end())
    return;
  Call& call = *it->second;
  const TimePoint now = LoopNow();
  // The HttpCall may be destroyed within its own handler.
  const std::unique_ptr<HttpCall> ended = std::move(call.http);
  pools_.at(call.service)->OnEnded(id, end.ok(), now);
  if (call.repeatable)
    EndRepeatable(call, end, now);
  else
    EndClaimed(call, end, now);
  RunCommands(now);
}

void ServiceCallManager::EndClaimed(Call& call,
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
    claims_.OnCallAnswered(call.id, answer, now);
  } else if (end.request_may_have_left) {
    claims_.OnCallFailed(call.id, now);
  } else {
    claims_.OnCallNotSent(call.id, now);
  }
  if (!call.exchange)
    Remove(call.id);
}

void ServiceCallManager::EndRepeatable(Call& call,
                                       const HttpCallEnd& end,
                                       TimePoint now) {
  if (end.ok() && !call.answer_too_large) {
    Respond(call, std::move(call.answer));
    Remove(call.id);
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
  Remove(call.id);
}

void ServiceCallManager::AnswerClaimed(const AnswerCaller& command,
                                       TimePoint now) {
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
  // The answer of the runner is still awaited and recorded when it comes.
  call.exchange.reset();
  if (!call.http)
    Remove(command.id);
}

void ServiceCallManager::Respond(Call& call, HttpResponse response) {
  if (!call.exchange)
    return;
  call.exchange->SetGoneHandler(nullptr);
  call.exchange->Respond(std::move(response));
}

void ServiceCallManager::Remove(const RequestId& id) {
  const auto it = calls_.find(id);
  if (it == calls_.end())
    return;
  const std::unique_ptr<Call> ended = std::move(it->second);
  calls_.erase(it);
  ended->on_end();
}

}  // namespace briarlead
