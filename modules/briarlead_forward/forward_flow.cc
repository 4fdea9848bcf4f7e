#include "briarlead_forward/forward_flow.h"

#include <algorithm>
#include <utility>

#include "briarlead_forward/server_notice.h"

namespace briarlead {

namespace {

constexpr int kFirstServerError = 500;
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kTimeout = 504;

bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

}  // namespace

ForwardFlow::ForwardFlow(ForwardContext context,
                         RequestKey key,
                         std::shared_ptr<const RouteTable> table,
                         const Route& route,
                         RequestFacts facts,
                         TimePoint now)
    : context_(context),
      table_(std::move(table)),
      route_(route),
      facts_(std::move(facts)),
      service_(PickService(route, context_.random.Unit())),
      routed_service_(table_->FindService(service_)),
      key_(key),
      stream_(StreamIdOf(IsResumption() ? facts_.resumed_attempt : facts_.id)),
      arrived_(now),
      deadline_(DeadlineOf(route, facts_, now)),
      body_(context_.body_budget),
      last_event_id_(facts_.last_event_id) {}

TimePoint ForwardFlow::DeadlineOf(const Route& route,
                                  const RequestFacts& facts,
                                  TimePoint now) {
  return now + std::min(facts.patience - kAnswerMargin, route.timeout);
}

void ForwardFlow::Start(TimePoint now) {
  context_.budget.OnRequest(service_, now);
  if (IsResumption())
    Resume(now);
  else
    Send(now);
}

void ForwardFlow::AbandonAttempt(AttemptOutcome outcome,
                                 std::string_view detail,
                                 TimePoint now) {
  if (!attempt_.has_value())
    return;
  const bool may_have_run =
      attempt_->part == SendPart::kWhole && !attempt_->connecting;
  EndAttempt(outcome, detail, now);
  runs_ += may_have_run ? 1 : 0;
}

void ForwardFlow::Send(TimePoint now) {
  if (!MayBegin(now)) {
    EndWithProcess(now);
    return;
  }
  if (RefuseByAccount(now) || !AdmitQuota(now) || !AdmitContent(now))
    return;
  if (routed_service_ != nullptr && routed_service_->engine.has_value())
    SendModel(now);
  else
    SendPlain(now);
}

void ForwardFlow::SendTo(const ServerRecord& server,
                         SendPart part,
                         TimePoint now) {
  Attempt attempt;
  attempt.number = ++sends_;
  summary_.sends = sends_;
  attempt.server = server;
  attempt.relay = RelayFor(IncarnationOf(server), now);
  attempt.part = part;
  attempt.sent_at = now;
  attempt.give_up_at = deadline_;
  attempt.last_received_at = now;
  attempt.check_at = deadline_;
  if (server.stage != EngineStage::kNone) {
    attempt.check_at = now + FirstResponseTime(server, part);
  } else if (MayTryAnotherServer()) {
    attempt.give_up_at =
        std::min(deadline_, now + FromSeconds(ToSeconds(route_.target_latency) *
                                              kServerTimeoutShare));
  }
  if (server.stage == EngineStage::kNone)
    attempt.check_at = std::min(deadline_, now + kCheckAfterSilence);
  attempt.is_retry = CountDelivery(part, now);
  context_.pool.OnSent(IncarnationOf(server));
  SendToServer command;
  command.attempt = attempt.number;
  command.server = server;
  command.relay = attempt.relay;
  command.part = part;
  if (part == SendPart::kWhole) {
    tried_.push_back(IncarnationOf(server));
    command.kv_source = std::exchange(kv_source_, {});
    attempt.kv_source = command.kv_source;
  }
  command.last_event_id = last_event_id_;
  command.time_left = deadline_ - now;
  AddAccount(command);
  command.needs_fresh_connection =
      !route_.repeatable() && part == SendPart::kWhole;
  attempt_ = std::move(attempt);
  Emit(std::move(command));
}

bool ForwardFlow::MayTryAnotherServer() const {
  return route_.repeatable() && runs_ + 1 < route_.max_attempts;
}

bool ForwardFlow::IsCurrent(AttemptNumber attempt) const {
  return !done_ && attempt_.has_value() && attempt_->number == attempt;
}

void ForwardFlow::OnHead(AttemptNumber attempt,
                         const ResponseFacts& facts,
                         TimePoint now) {
  if (!IsCurrent(attempt))
    return;
  attempt_->head = facts;
  RecordNotice(facts, now);
  if (facts.wrong_server || facts.proven_not_run) {
    refused_full_ = refused_full_ || !facts.wrong_server;
    KeepKvResult(now);
    EndAttempt(facts.wrong_server ? AttemptOutcome::kWrongServer
                                  : AttemptOutcome::kRefused,
               "not_run", now);
    RetryOrGiveUp(false, now);
    return;
  }
  if (!facts.authentic) {
    EndAttempt(AttemptOutcome::kBroken, "not_authentic", now);
    RetryOrGiveUp(true, now);
    return;
  }
  attempt_->is_stream =
      route_.kind == RouteKind::kStream && IsSuccess(facts.status);
  // The caller already has the head of a stream, so another response can't be
  // forwarded: the stream is resumed or aborted.
  if (!attempt_->is_stream && stream_started_) {
    EndAttempt(AttemptOutcome::kServerError, "resume_failed", now);
    RetryOrGiveUp(true, now);
  }
}

void ForwardFlow::OnPrefillHead(AttemptNumber attempt,
                                const ResponseFacts& facts,
                                TimePoint now) {
  if (IsCurrent(attempt))
    RecordNotice(facts, now);
}

std::optional<Duration> ForwardFlow::WantedPause(TimePoint now) const {
  const std::optional<TimePoint> end = context_.pool.PauseEnd(service_, now);
  if (!end.has_value())
    return std::nullopt;
  return *end - now;
}

void ForwardFlow::RecordNotice(const ResponseFacts& facts, TimePoint now) {
  RecordServerNotice(context_.pool, context_.limits,
                     IncarnationOf(attempt_->server), facts, attempt_->sent_at,
                     now);
}

void ForwardFlow::OnBody(AttemptNumber attempt,
                         std::string_view bytes,
                         TimePoint now) {
  if (!IsCurrent(attempt))
    return;
  attempt_->last_received_at = now;
  if (attempt_->server.stage != EngineStage::kNone)
    attempt_->check_at = now + kCheckAfterSilence;
  else if (attempt_->is_stream)
    attempt_->check_at = now + kCheckAfterSilence + route_.max_event_gap;
  if (attempt_->is_stream)
    OnStreamBytes(bytes, now);
  else if (!body_.Append(bytes))
    OnBodyRefused(bytes.size(), now);
}

void ForwardFlow::OnBodyRefused(std::size_t n, TimePoint now) {
  if (body_.IsTooLong(n))
    return EndSpoiledAttempt("body_too_long", now);
  // A lack of memory here says nothing about the server.
  EndAttempt(AttemptOutcome::kWithdrawn, "no_memory", now);
  ++runs_;
  GiveUp("no_memory", now);
}

void ForwardFlow::EndSpoiledAttempt(std::string_view detail, TimePoint now) {
  EndAttempt(AttemptOutcome::kBroken, detail, now);
  RetryOrGiveUp(true, now);
}

void ForwardFlow::OnStreamBytes(std::string_view bytes, TimePoint now) {
  event_splitter_.Feed(bytes);
  std::string out;
  std::uint32_t events = 0;
  bool only_events = true;
  while (std::optional<EventSplitter::Event> event = event_splitter_.Next()) {
    only_events = event->is_event;
    if (!only_events)
      break;
    if (event->id.has_value() && last_event_id_.has_value() &&
        *event->id <= *last_event_id_) {
      continue;
    }
    if (event->id.has_value())
      last_event_id_ = event->id;
    out += event->bytes;
    ++events;
  }
  CountEvents(events, now);
  if (events > 0) {
    // The target latency is that of the first event.
    attempt_->has_events = true;
    attempt_->give_up_at = deadline_;
  }
  if (!out.empty()) {
    if (!std::exchange(stream_started_, true)) {
      software_ = attempt_->server.software;
      context_.origins.OnBegun(stream_, {service_, *software_}, now);
      Emit(SendStreamHead{attempt_->number});
    }
    Emit(SendStreamBytes{std::move(out)});
  }
  if (!only_events)
    EndSpoiledAttempt("not_an_event", now);
  else if (event_splitter_.IsOverlong())
    EndSpoiledAttempt("event_too_long", now);
}

void ForwardFlow::OnComplete(AttemptNumber attempt, TimePoint now) {
  if (!IsCurrent(attempt))
    return;
  if (!attempt_->is_stream) {
    CompleteWhole(now);
    return;
  }
  if (!event_splitter_.AtBoundary() || !stream_started_) {
    EndAttempt(AttemptOutcome::kBroken, "partial_event", now);
    RetryOrGiveUp(true, now);
    return;
  }
  EndAttempt(AttemptOutcome::kServed, "stream", now);
  context_.output_lengths.OnOutput(produced_tokens_);
  context_.origins.OnEnded(stream_, true, now);
  Emit(EndStream{});
  Finish(now);
}

void ForwardFlow::CompleteWhole(TimePoint now) {
  SendResponse answer{attempt_->number, body_.Take()};
  const int status = attempt_->head->status;
  if (status < kFirstServerError) {
    EndAttempt(AttemptOutcome::kServed, "whole", now);
    Emit(std::move(answer));
    Finish(now);
    return;
  }
  EndAttempt(AttemptOutcome::kServerError, "whole", now);
  ++runs_;
  fallback_ = std::move(answer);
  if (MayRetry(now)) {
    Send(now);
    return;
  }
  GiveUp("server_error", now);
}

void ForwardFlow::OnFailure(AttemptNumber attempt,
                            bool connected,
                            TimePoint now) {
  if (!IsCurrent(attempt))
    return;
  // A prefill does not count as a run and may be repeated.
  const bool prefill = attempt_->part == SendPart::kPrefill;
  const ServerIncarnation server = IncarnationOf(attempt_->server);
  const bool is_plain = attempt_->server.stage == EngineStage::kNone;
  if (!connected)
    KeepKvResult(now);
  EndAttempt(
      connected ? AttemptOutcome::kBroken : AttemptOutcome::kNotConnected,
      "connection", now);
  const bool may_be_relayed = is_plain || context_.pool.IsCutOff();
  if (!connected && may_be_relayed && context_.relays.CanReach(server, now))
    ForgetTried(server);
  RetryOrGiveUp(connected && !prefill, now);
}

void ForwardFlow::OnPrefilled(AttemptNumber attempt,
                              std::string kv_source,
                              TimePoint now) {
  if (!IsCurrent(attempt))
    return;
  ObservePrefill(now);
  prefilled_by_ = attempt_->server.id;
  kv_software_ = attempt_->server.software;
  tokens_at_prefill_ = produced_tokens_;
  EndAttempt(AttemptOutcome::kServed, "prefill", now);
  kv_source_ = std::move(kv_source);
  prefilled_at_ = now;
  tried_prefill_.clear();
  SendDecode(now);
}

void ForwardFlow::OnCallerGone(TimePoint now) {
  if (done_)
    return;
  if (attempt_.has_value())
    EndAttempt(AttemptOutcome::kWithdrawn, "caller_gone", now);
  Finish(now);
}

void ForwardFlow::OnWake(TimePoint now) {
  if (done_ || (asking_amount_ && now < deadline_))
    return;
  if (permit_wait_.has_value() && now < deadline_) {
    if (now >= permit_wait_->wake_at)
      ContinuePermitWait(now);
    return;
  }
  if (waiting_ && now < deadline_) {
    if (now >= wait_check_at_)
      CheckWait(now);
    return;
  }
  if (attempt_.has_value() && now < deadline_) {
    if (now >= attempt_->give_up_at)
      TryAnotherServer("too_slow", now);
    else if (now >= attempt_->check_at)
      OnSilence(now);
    return;
  }
  if (now < deadline_)
    return;
  AbandonAttempt(AttemptOutcome::kTimedOut, "deadline", now);
  GiveUp("deadline", now);
}

TimePoint ForwardFlow::NextWake() const {
  if (asking_amount_)
    return deadline_;
  if (permit_wait_.has_value())
    return std::min(deadline_, permit_wait_->wake_at);
  if (waiting_)
    return std::min(deadline_, wait_check_at_);
  if (!attempt_.has_value())
    return deadline_;
  return std::min({deadline_, attempt_->give_up_at, attempt_->check_at});
}

std::vector<ForwardCommand> ForwardFlow::TakeCommands() {
  return std::exchange(commands_, {});
}

void ForwardFlow::TryAnotherServer(std::string_view why, TimePoint now) {
  const bool may_have_run = !attempt_->connecting;
  if (may_have_run && (HasCrashedBefore(now) || !MayRetry(now))) {
    // No retry is allowed: the server gets the time until the deadline.
    attempt_->give_up_at = deadline_;
    return;
  }
  if (attempt_->server.stage == EngineStage::kNone)
    CheckIfNothingAnswers();
  EndAttempt(AttemptOutcome::kTimedOut, why, now);
  if (!may_have_run) {
    RetryOrGiveUp(false, now);
    return;
  }
  ++runs_;
  event_splitter_.Reset();
  Send(now);
}

void ForwardFlow::EndAttempt(AttemptOutcome outcome,
                             std::string_view detail,
                             TimePoint now) {
  const Attempt& it = *attempt_;
  const bool ejected = context_.pool.OnOutcome(IncarnationOf(it.server),
                                               outcome, it.path(), now);
  if (outcome == AttemptOutcome::kNotConnected ||
      outcome == AttemptOutcome::kNotRelayed || it.connecting) {
    UncountDelivery(it);
  }
  RecordAmountUse(outcome);
  Emit(LogAttempt{it.number, it.server.id, outcome, ejected, detail,
                  now - it.sent_at});
  ReturnSlot(outcome);
  if (outcome != AttemptOutcome::kServed &&
      outcome != AttemptOutcome::kServerError) {
    Emit(WithdrawAttempt{it.number});
  }
  // The server may have stopped. The check spares other requests from finding
  // that out one by one.
  if (outcome == AttemptOutcome::kBroken && !it.relay.has_value())
    Emit(CheckServer{it.server});
  RecordSuspects(it, outcome, now);
  if (it.part == SendPart::kPrefill)
    context_.load_tracker.RemovePrefill(key_, now);
  // After a completed prefill, the decode engine's memory stays reserved.
  const bool keeps_stream =
      it.part == SendPart::kPrefill && outcome == AttemptOutcome::kServed;
  if (!keeps_stream)
    context_.load_tracker.RemoveStream(key_, now);
  body_.Clear();
  attempt_.reset();
}

void ForwardFlow::RetryOrGiveUp(bool may_have_run, TimePoint now) {
  event_splitter_.Reset();
  if (may_have_run) {
    ++runs_;
    if (!HasCrashedBefore(now) && MayRetry(now))
      Send(now);
    else
      GiveUp("failed", now);
    return;
  }
  const bool has_room =
      sends_ < kMaxSends && now < deadline_ && ReserveRetries(now);
  if (has_room)
    Send(now);
  else
    GiveUp("refused", now);
}

void ForwardFlow::GiveUp(std::string_view reason, TimePoint now) {
  if (stream_started_) {
    Emit(AbortStream{});
  } else if (fallback_.has_value()) {
    Emit(std::move(*fallback_));
  } else if (runs_ > 0) {
    Emit(
        SendOwnResponse{now >= deadline_ ? kTimeout : kBadGateway, reason, {}});
  } else {
    const Duration usual =
        refused_full_ ? kRetryAfterFull : kRetryAfterNoServer;
    Emit(SendOwnResponse{kUnavailable, reason, retry_after_.value_or(usual)});
  }
  Finish(now);
}

void ForwardFlow::Finish(TimePoint now) {
  EndPermitWait(now);
  RemoveLoad(now);
  context_.origins.OnEnded(stream_, false, now);
  context_.budget.Release(service_, std::exchange(reserved_retries_, 0), now);
  asking_amount_ = false;
  done_ = true;
}

}  // namespace briarlead
