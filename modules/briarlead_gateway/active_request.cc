#include "briarlead_gateway/active_request.h"

#include <fmt/format.h>

#include <algorithm>
#include <span>
#include <string>
#include <utility>

#include "briarlead_gateway/server_call_options.h"
#include "briarlead_net/loop_clock.h"

namespace briarlead {

namespace {

/// Longest response to a prefill, in bytes.
constexpr std::size_t kMaxPrefillResponseBytes = 65536;

/// Returns the names of the parts as hexadecimal numbers, for logs.
std::string PartNames(std::span<const SuspectId> parts) {
  std::string names;
  for (const SuspectId& it : parts)
    names += fmt::format("{}{:x}", names.empty() ? "" : ",", it.value);
  return names;
}

/// Returns what another host must know of the account of a request.
std::optional<RelayedAccount> RelayedAccountOf(const RequestFacts& facts) {
  if (facts.account == nullptr)
    return std::nullopt;
  return RelayedAccount{facts.account->id, facts.key.digest};
}

}  // namespace

ActiveRequest::ActiveRequest(RequestEnvironment environment,
                             const CallerRequestId& id,
                             RequestHead head,
                             std::string body,
                             std::unique_ptr<ForwardFlow> flow,
                             DoneHandler on_done)
    : environment_(std::move(environment)),
      id_(id),
      head_(std::move(head)),
      body_(std::make_shared<const std::string>(std::move(body))),
      flow_(std::move(flow)),
      on_done_(std::move(on_done)),
      caller_address_(environment_.callers.CallerAddress(id)),
      arrived_(LoopNow()) {
  flow_->SetContent({head_.method, head_.fields.Find("Host").value_or(""),
                     head_.path(), head_.query(), caller_address_,
                     flow_->facts().credentials, *body_});
}

void ActiveRequest::Start() {
  flow_->Start(arrived_);
  ExecuteCommands();
}

void ActiveRequest::OnCallerGone() {
  environment_.metrics.OnCallerGone();
  CountForAccount(AccountOutcome::kCallerGone);
  environment_.logger.Info(LoopNow(), "caller_gone",
                           {{"request", flow_->facts().id}});
  flow_->OnCallerGone(LoopNow());
  ExecuteCommands();
}

void ActiveRequest::OnServerDown(const ServerIncarnation& server) {
  flow_->OnServerDown(server, LoopNow());
  ExecuteCommands();
}

void ActiveRequest::OnEnginesChanged() {
  flow_->OnEnginesChanged(LoopNow());
  ExecuteCommands();
}

void ActiveRequest::OnPlacement(const ModelPlacer::Answer& answer) {
  flow_->OnPlacement(answer, LoopNow());
  ExecuteCommands();
}

void ActiveRequest::OnStreamOrigin(
    const std::optional<ServiceVersion>& origin) {
  environment_.logger.Info(
      LoopNow(), "stream_origin_answered",
      {{"request", flow_->facts().id},
       {"resumes", flow_->facts().resumed_attempt},
       {"known", origin.has_value()},
       {"software", origin.value_or(ServiceVersion()).software.value()}});
  flow_->OnStreamOrigin(origin, LoopNow());
  ExecuteCommands();
}

void ActiveRequest::OnQuota(const QuotaAnswer& answer) {
  if (answer.refusal != QuotaRefusal::kNone) {
    environment_.logger.Info(
        LoopNow(), "quota_refused",
        {{"request", flow_->facts().id},
         {"account", answer.account.value()},
         {"why", answer.refusal == QuotaRefusal::kBeyondQuota ? "beyond_quota"
                                                              : "unknown"},
         {"amount", answer.amount},
         {"retry_after_ms", answer.retry_after.count() / 1000}});
  }
  flow_->OnQuota(answer, LoopNow());
  ExecuteCommands();
}

void ActiveRequest::OnPermitsChanged() {
  flow_->OnPermitsChanged(LoopNow());
  ExecuteCommands();
}

void ActiveRequest::OnShutdown() {
  flow_->OnShutdown(LoopNow());
  ExecuteCommands();
}

void ActiveRequest::OnNoOwner() {
  environment_.metrics.OnNoOwner();
  environment_.logger.Info(LoopNow(), "no_owner_answers",
                           {{"request", flow_->facts().id}});
  flow_->OnNoOwner(LoopNow());
  ExecuteCommands();
}

void ActiveRequest::OnSlot(const SlotAnswer& answer) {
  flow_->OnSlot(answer, LoopNow());
  ExecuteCommands();
}

void ActiveRequest::OnNoSlotScheduler() {
  flow_->OnNoSlotScheduler(LoopNow());
  ExecuteCommands();
}

void ActiveRequest::ExecuteCommands() {
  if (executing_ || finished_)
    return;
  executing_ = true;
  for (auto commands = flow_->TakeCommands(); !commands.empty();
       commands = flow_->TakeCommands()) {
    for (ForwardCommand& it : commands)
      std::visit([this](auto& command) { Execute(command); }, it);
  }
  executing_ = false;
  environment_.ask_for_permits();
  if (!flow_->done()) {
    ScheduleWake();
    return;
  }
  finished_ = true;
  wake_timer_.Reset();
  pause_timer_.Reset();
  on_done_(id_);
}

void ActiveRequest::ScheduleWake() {
  const TimePoint due = flow_->NextWake();
  // A timer that fires too early does nothing and is scheduled again.
  if (wake_at_.has_value() && *wake_at_ <= due && wake_timer_.active())
    return;
  wake_at_ = due;
  const auto wait = std::chrono::ceil<std::chrono::milliseconds>(
      std::max(due - LoopNow(), Duration::zero()));
  wake_timer_.StartTimer(static_cast<guint>(wait.count()), [this] {
    wake_at_.reset();
    flow_->OnWake(LoopNow());
    ExecuteCommands();
  });
}

void ActiveRequest::Execute(const SendToServer& it) {
  RequestHead head = environment_.codec.write_request(head_, it);
  Endpoint next = it.server.address;
  Call& call = calls_[it.attempt];
  call.part = it.part;
  call.server = it.server;
  call.sent_at = LoopNow();
  if (it.relay.has_value()) {
    call.relay_tag = environment_.relay_codec.SignRequest(
        head, *body_,
        {IncarnationOf(it.server), it.needs_fresh_connection,
         RelayedAccountOf(flow_->facts())});
    next = {it.relay->address, environment_.relay_port};
    environment_.metrics.OnRelayed();
  }
  const TimePoint now = call.sent_at;
  LogSend(it, now);
  call.call = StartCall(
      environment_.servers, next, WriteRequestHead(head, body_->size()), body_,
      OptionsOfCall(flow_->facts().id, it.needs_fresh_connection),
      HandlersOf(it.attempt), now);
  if (!call.call->connected())
    flow_->OnConnecting(it.attempt);
}

UpstreamHandlers ActiveRequest::HandlersOf(AttemptNumber attempt) {
  UpstreamHandlers handlers;
  handlers.on_connected = [this, attempt] { OnConnected(attempt); };
  handlers.match = [this, attempt](const ResponseHead& response) {
    return Match(attempt, response);
  };
  if (!calls_[attempt].relay_tag.has_value()) {
    handlers.on_dropped = environment_.notices.RecorderOf(
        IncarnationOf(calls_[attempt].server), flow_->facts().id, TimePoint());
  }
  handlers.on_head = [this, attempt](ResponseHead& response) {
    OnHead(attempt, response);
  };
  handlers.on_body = [this, attempt](std::string_view body) {
    OnBody(attempt, body);
  };
  handlers.on_complete = [this, attempt] { OnComplete(attempt); };
  handlers.on_failure = [this, attempt](UpstreamFailure failure) {
    OnFailure(attempt, failure);
  };
  return handlers;
}

ResponseMatch ActiveRequest::Match(AttemptNumber attempt,
                                   const ResponseHead& response) {
  const Call& call = calls_[attempt];
  if (!call.relay_tag.has_value())
    return environment_.codec.match_response(response, flow_->facts().id);
  return environment_.relay_codec.IsResponseTo(response, *call.relay_tag)
             ? ResponseMatch::kOwn
             : ResponseMatch::kOther;
}

void ActiveRequest::LogSend(const SendToServer& it, TimePoint now) const {
  environment_.logger.Info(
      now, "request_sent",
      {{"request", flow_->facts().id},
       {"attempt", it.attempt},
       {"route", flow_->route().name},
       {"server", it.server.id.value()},
       {"through", it.relay.value_or(Endpoint()).address},
       {"data_centre", it.server.data_centre.value()},
       {"software", it.server.software.value()},
       {"part", it.part == SendPart::kWhole ? "whole" : "prefill"},
       {"after_event", it.last_event_id.value_or(0)},
       {"resumes", flow_->facts().resumed_attempt},
       {"prompt_tokens", flow_->facts().prompt_tokens},
       {"max_output_tokens", flow_->facts().max_output_tokens},
       {"output_estimate", flow_->facts().output_estimate},
       {"shared_parts", PartNames(flow_->facts().shared_parts)},
       {"left_ms", it.time_left.count() / 1000}});
}

void ActiveRequest::Execute(const WithdrawAttempt& it) {
  const auto found = calls_.find(it.attempt);
  if (found == calls_.end() || !found->second.call)
    return;
  Call& call = found->second;
  // Another host reads on for itself.
  if (!call.relay_tag.has_value()) {
    call.call->Withdraw(environment_.notices.RecorderOf(
        IncarnationOf(call.server), flow_->facts().id, call.sent_at));
  }
  call.call.reset();
}

void ActiveRequest::OnConnected(AttemptNumber attempt) {
  if (!calls_[attempt].relay_tag.has_value())
    environment_.forward.pool.OnContact(LoopNow());
  flow_->OnConnected(attempt);
}

void ActiveRequest::OnHead(AttemptNumber attempt, ResponseHead& head) {
  Call& call = calls_[attempt];
  if (call.relay_tag.has_value()) {
    const std::optional<RelayRefusal> refusal = RelayCodec::ReadResponse(head);
    if (refusal.has_value()) {
      flow_->OnNotRelayed(attempt, *refusal, LoopNow());
      ExecuteCommands();
      return;
    }
  } else {
    environment_.forward.pool.OnContact(LoopNow());
  }
  call.head = std::move(head);
  const ResponseFacts facts =
      environment_.notices.Read(IncarnationOf(call.server), call.head,
                                flow_->facts().id, false, LoopNow());
  if (call.part == SendPart::kPrefill && call.head.status == 200) {
    flow_->OnPrefillHead(attempt, facts, LoopNow());
    return;
  }
  flow_->OnHead(attempt, facts, LoopNow());
  ExecuteCommands();
}

void ActiveRequest::OnBody(AttemptNumber attempt, std::string_view bytes) {
  Call& call = calls_[attempt];
  if (!call.relay_tag.has_value())
    environment_.forward.pool.OnContact(LoopNow());
  if (call.part == SendPart::kPrefill) {
    if (call.prefill_body.size() + bytes.size() <= kMaxPrefillResponseBytes) {
      call.prefill_body.append(bytes);
      return;
    }
    flow_->OnFailure(attempt, true, LoopNow());
    ExecuteCommands();
    return;
  }
  flow_->OnBody(attempt, bytes, LoopNow());
  ExecuteCommands();
}

void ActiveRequest::OnComplete(AttemptNumber attempt) {
  Call& call = calls_[attempt];
  const TimePoint now = LoopNow();
  // Destroyed at the end of this function, which returns the connection to its
  // pool even if the response below ends the request.
  const std::unique_ptr<UpstreamCall> done = std::move(call.call);
  // The connection may serve another call.
  done->SetReading(true);
  if (call.part == SendPart::kPrefill) {
    const auto result =
        environment_.codec.read_prefill_result(call.prefill_body);
    if (result.has_value())
      flow_->OnPrefilled(attempt, ToString(call.server.address) + "/" + *result,
                         now);
    else
      flow_->OnFailure(attempt, true, now);
  } else {
    flow_->OnComplete(attempt, now);
  }
  ExecuteCommands();
}

void ActiveRequest::OnFailure(AttemptNumber attempt, UpstreamFailure failure) {
  const bool connected = failure != UpstreamFailure::kNotConnected;
  const RequestNames names = connected ? flow_->Names() : RequestNames();
  environment_.logger.Info(
      LoopNow(), "connection_failed",
      {{"request", flow_->facts().id},
       {"attempt", attempt},
       {"failure", ToString(failure)},
       {"by_target", fmt::format("{:x}", names.by_target.value)},
       {"by_path", fmt::format("{:x}", names.by_path.value)},
       {"by_caller", fmt::format("{:x}", names.by_caller.value)}});
  if (!connected && calls_[attempt].relay_tag.has_value())
    flow_->OnNotRelayed(attempt, RelayRefusal::kUnreachable, LoopNow());
  else
    flow_->OnFailure(attempt, connected, LoopNow());
  ExecuteCommands();
}

void ActiveRequest::Execute(const CheckServer& it) {
  environment_.checker.Check(it.server, LoopNow());
}

void ActiveRequest::Execute(const AskForPlacement& it) {
  environment_.ask_owner(it);
}

void ActiveRequest::Execute(const AskForStreamOrigin& it) {
  environment_.find_origin(it);
}

void ActiveRequest::Execute(const AskForQuota& it) {
  environment_.ask_quota(it);
}

void ActiveRequest::Execute(const AskForSlot& it) {
  environment_.ask_for_slot(it);
}

void ActiveRequest::Execute(const ReleaseSlot& it) {
  environment_.release_slot(it);
}

void ActiveRequest::Execute(const LogAttempt& it) {
  environment_.metrics.OnAttempt(it.outcome, it.ejected);
  const bool succeeded = it.outcome == AttemptOutcome::kServed && !it.ejected;
  environment_.logger.Write(LoopNow(),
                            succeeded ? LogLevel::kDebug : LogLevel::kInfo,
                            "attempt_ended",
                            {{"request", flow_->facts().id},
                             {"attempt", it.attempt},
                             {"server", it.server.value()},
                             {"outcome", ToString(it.outcome)},
                             {"detail", it.detail},
                             {"ejected", it.ejected},
                             {"took_ms", it.took.count() / 1000}});
}

}  // namespace briarlead
