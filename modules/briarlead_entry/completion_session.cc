#include "briarlead_entry/completion_session.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

#include "briarlead_entry/engine_protocol.h"
#include "briarlead_net/loop_clock.h"

namespace briarlead {

namespace {

/// Output that may wait for a slow caller before its engine is paused, in
/// bytes.
constexpr std::size_t kMaxPendingBytes = 256U << 10;
constexpr std::size_t kMaxPrefillAnswerBytes = 1U << 20;

std::int64_t UnixSeconds() {
  return std::chrono::duration_cast<std::chrono::seconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

FailedStage ToFailedStage(AttemptStage stage) {
  switch (stage) {
    case AttemptStage::kPrefill:
      return FailedStage::kPrefill;
    case AttemptStage::kTransfer:
      return FailedStage::kTransfer;
    case AttemptStage::kDecode:
      return FailedStage::kDecode;
  }
  return FailedStage::kDecode;
}

}  // namespace

CompletionSession::CompletionSession(const EntryContext& context,
                                     DispatchAdapter& dispatch,
                                     RequestMetrics& metrics,
                                     CompletionJob job,
                                     TimePoint now)
    : context_(context),
      dispatch_(dispatch),
      metrics_(metrics),
      job_(std::move(job)),
      arrived_(now),
      last_token_(now),
      flow_(job_.prompt_tokens, CompletionTimeouts{}),
      writer_(job_.request.kind,
              ToString(job_.id),
              job_.request.model.value(),
              UnixSeconds()) {}

CompletionSession::~CompletionSession() {
  // The exchange may outlive the session while it sends its last bytes.
  job_.exchange->SetGoneHandler(nullptr);
  job_.exchange->SetDrainedHandler(nullptr);
}

void CompletionSession::Start(std::function<void()> on_end, TimePoint now) {
  on_end_ = std::move(on_end);
  job_.exchange->SetGoneHandler([this] {
    const TimePoint gone_at = LoopNow();
    context_.logger.Info(gone_at, "caller_gone",
                         {{"request", ToString(job_.id)}});
    metrics_.OnCancelled(job_.use.rank);
    flow_.OnCallerGone();
    RunCommands(gone_at);
  });
  job_.exchange->SetDrainedHandler([this] {
    if (!decode_paused_ || !decode_call_)
      return;
    decode_paused_ = false;
    decode_call_->ResumeReading();
  });
  RunCommands(now);
}

void CompletionSession::OnGrant(const PlacementGrant& grant, TimePoint now) {
  flow_.OnPlaced(grant.attempt, grant.prefill_server, grant.decode_server, now);
  RunCommands(now);
}

void CompletionSession::OnRefusal(const PlacementRefusal& refusal,
                                  TimePoint now) {
  flow_.OnRefused(refusal.reason, refusal.retry_after, now);
  RunCommands(now);
}

void CompletionSession::Tick(TimePoint now) {
  flow_.Tick(now);
  RunCommands(now);
}

bool CompletionSession::IsDue(TimePoint now) const {
  const std::optional<TimePoint> wake = flow_.NextWake();
  // The time limits do not apply to an engine that is paused for a slow caller.
  return wake.has_value() && *wake <= now && !decode_paused_;
}

void CompletionSession::RunCommands(TimePoint now) {
  // Commands may call this function again, for example when a placement is
  // granted at once; the outer call carries out what was added.
  if (running_commands_)
    return;
  running_commands_ = true;
  for (auto commands = flow_.TakeCommands(); !commands.empty();
       commands = flow_.TakeCommands()) {
    for (const CompletionCommand& it : commands)
      std::visit([&](const auto& command) { Run(command, now); }, it);
  }
  running_commands_ = false;
  if (!pending_chunks_.empty()) {
    job_.exchange->Write(pending_chunks_);
    pending_chunks_.clear();
    PauseDecodeIfNeeded();
  }
  if (flow_.done() && on_end_)
    std::exchange(on_end_, nullptr)();
}

void CompletionSession::Run(const RequestPlacement& command, TimePoint now) {
  PlacementRequest placement;
  placement.request = job_.id;
  placement.customer = job_.customer;
  placement.weight = job_.weight;
  placement.rank = job_.use.rank;
  placement.model = job_.request.model;
  placement.prompt_tokens = job_.prompt_tokens + command.delivered_tokens;
  placement.max_output_tokens = job_.max_output_tokens;
  placement.delivered_tokens = command.delivered_tokens;
  placement.first_token_target = job_.use.first_token_target;
  placement.token_gap_target = job_.use.token_gap_target;
  placement.waited = now - arrived_;
  dispatch_.RequestPlacement(placement, now);
}

void CompletionSession::Run(const StartPrefill& command, TimePoint) {
  const std::optional<Endpoint> engine = dispatch_.AddressOf(command.server);
  if (!engine.has_value()) {
    flow_.OnPrefillFailed(command.attempt);
    return;
  }
  HttpRequest call = MakePrefillCall({job_.id, command.attempt, *engine},
                                     PrefillRequest{MakePrompt()});
  prefill_body_.clear();
  HttpCallHandler handler;
  handler.on_head = [this](int status, const HeaderFields&) {
    engine_status_ = status;
  };
  handler.on_data = [this](std::string_view data) {
    if (prefill_body_.size() + data.size() <= kMaxPrefillAnswerBytes)
      prefill_body_ += data;
  };
  handler.on_done = [this, attempt = command.attempt](const HttpCallEnd& end) {
    OnPrefillEnd(attempt, end);
  };
  prefill_call_ = context_.http.Send(std::move(call), std::move(handler));
}

void CompletionSession::OnPrefillEnd(std::uint32_t attempt,
                                     const HttpCallEnd& end) {
  const TimePoint now = LoopNow();
  const std::unique_ptr<HttpCall> ended = std::move(prefill_call_);
  Result<PrefillResult> answer = Fail(ErrorCode::kIo, "the call failed");
  if (end.ok() && engine_status_ == 200)
    answer = ParsePrefillResult(prefill_body_);
  if (!answer) {
    context_.logger.Warning(
        now, "prefill_failed",
        {{"request", ToString(job_.id)},
         {"attempt", attempt},
         {"status", engine_status_},
         {"error", end.ok() ? answer.error().message : end.error->message}});
    flow_.OnPrefillFailed(attempt);
  } else {
    flow_.OnPrefillDone(attempt, std::move(answer.value().kv_transfer_params),
                        answer.value().kv_bytes, now);
  }
  RunCommands(now);
}

void CompletionSession::Run(const StartDecode& command, TimePoint) {
  const std::optional<Endpoint> engine = dispatch_.AddressOf(command.server);
  if (!engine.has_value()) {
    flow_.OnDecodeFailed(command.attempt);
    return;
  }
  HttpRequest call =
      MakeDecodeCall({job_.id, command.attempt, *engine},
                     DecodeRequest{MakePrompt(), job_.max_output_tokens,
                                   command.resume_from, command.kv_transfer});
  sse_parser_.emplace();
  decode_done_received_ = false;
  decode_paused_ = false;
  HttpCallHandler handler;
  handler.on_head = [this](int status, const HeaderFields&) {
    engine_status_ = status;
  };
  handler.on_data = [this, attempt = command.attempt](std::string_view data) {
    OnDecodeData(attempt, data);
  };
  handler.on_done = [this, attempt = command.attempt](const HttpCallEnd& end) {
    OnDecodeEnd(attempt, end);
  };
  decode_call_ = context_.http.Send(std::move(call), std::move(handler));
}

void CompletionSession::OnDecodeData(std::uint32_t attempt,
                                     std::string_view data) {
  if (engine_status_ != 200)
    return;
  const TimePoint now = LoopNow();
  const Result<void> parsed = sse_parser_->Feed(
      data, [&](const SseEvent& event) { OnDecodeEvent(attempt, event, now); });
  if (parsed.has_error())
    flow_.OnDecodeFailed(attempt);
  RunCommands(now);
}

void CompletionSession::OnDecodeEvent(std::uint32_t attempt,
                                      const SseEvent& event,
                                      TimePoint now) {
  const Result<DecodeEvent> token = ParseDecodeEvent(event.data);
  if (!token) {
    flow_.OnDecodeFailed(attempt);
    return;
  }
  if (token.value().done) {
    decode_done_received_ = true;
    return;
  }
  // The last event states the finish reason and may contain no token.
  if (token.value().finish_reason.has_value() && token.value().text.empty())
    return;
  flow_.OnToken(attempt, token.value().offset, token.value().text, now);
}

void CompletionSession::OnDecodeEnd(std::uint32_t attempt,
                                    const HttpCallEnd& end) {
  const TimePoint now = LoopNow();
  const std::unique_ptr<HttpCall> ended = std::move(decode_call_);
  if (end.ok() && engine_status_ == 200 && decode_done_received_) {
    flow_.OnDecodeEnd(attempt);
  } else {
    context_.logger.Warning(
        now, "decode_failed",
        {{"request", ToString(job_.id)},
         {"attempt", attempt},
         {"status", engine_status_},
         {"error", end.ok() ? "the stream broke off" : end.error->message}});
    flow_.OnDecodeFailed(attempt);
  }
  RunCommands(now);
}

void CompletionSession::Run(const AbortAttempt&, TimePoint) {
  prefill_call_.reset();
  decode_call_.reset();
}

void CompletionSession::Run(const ReportPrefillDone& command, TimePoint now) {
  dispatch_.Report(
      job_.id, PrefillDoneMessage{job_.id, command.attempt, command.kv_bytes},
      now);
}

void CompletionSession::Run(const ReportFirstToken& command, TimePoint now) {
  dispatch_.Report(job_.id, FirstTokenMessage{job_.id, command.attempt}, now);
}

void CompletionSession::Run(const ReportProgress& command, TimePoint now) {
  dispatch_.Report(
      job_.id, ProgressMessage{job_.id, command.attempt, command.tokens}, now);
}

void CompletionSession::Run(const ReportFinished& command, TimePoint now) {
  dispatch_.Report(
      job_.id, FinishedMessage{job_.id, command.attempt, command.output_tokens},
      now);
  dispatch_.Forget(job_.id);
}

void CompletionSession::Run(const ReportFailed& command, TimePoint now) {
  dispatch_.Report(
      job_.id,
      AttemptFailedMessage{job_.id, command.attempt,
                           ToFailedStage(command.stage), command.server},
      now);
}

void CompletionSession::Run(const ReportCancelled&, TimePoint now) {
  dispatch_.Report(job_.id, CallerGoneMessage{job_.id}, now);
  dispatch_.Forget(job_.id);
}

void CompletionSession::Run(const DeliverToken& command, TimePoint now) {
  ObserveToken(now);
  delivered_text_ += command.text;
  if (!job_.request.stream)
    return;
  if (!job_.exchange->responded()) {
    job_.exchange->StartStream(200, {{"X-Request-Id", ToString(job_.id)}},
                               "text/event-stream");
  }
  // All tokens from one read of the engine are sent in one write.
  pending_chunks_ += writer_.Chunk(command.text);
}

void CompletionSession::Run(const CompleteAnswer& command, TimePoint now) {
  const TokenUsage usage{job_.prompt_tokens, command.output_tokens};
  const FinishReason reason = command.output_tokens >= job_.max_output_tokens
                                  ? FinishReason::kLength
                                  : FinishReason::kStop;
  metrics_.OnAnswered(job_.use, first_token_.value_or(now) - arrived_,
                      longest_gap_);
  context_.logger.Info(now, "answered",
                       {{"request", ToString(job_.id)},
                        {"customer", job_.customer.value()},
                        {"tokens", command.output_tokens},
                        {"attempts", flow_.attempt()}});
  if (!job_.request.stream) {
    HttpResponse response;
    response.headers = {{"X-Request-Id", ToString(job_.id)}};
    response.content_type = "application/json";
    response.body = writer_.Whole(delivered_text_, reason, usage);
    job_.exchange->Respond(std::move(response));
    return;
  }
  if (!job_.exchange->responded()) {
    job_.exchange->StartStream(200, {{"X-Request-Id", ToString(job_.id)}},
                               "text/event-stream");
  }
  pending_chunks_ += writer_.Finish(reason, usage, job_.request.include_usage);
  job_.exchange->Write(pending_chunks_);
  pending_chunks_.clear();
  job_.exchange->FinishStream();
}

void CompletionSession::Run(const GiveUp& command, TimePoint now) {
  metrics_.OnRefused(job_.use.rank);
  dispatch_.Forget(job_.id);
  context_.logger.Info(now, "given_up",
                       {{"request", ToString(job_.id)},
                        {"customer", job_.customer.value()},
                        {"rank", ToString(job_.use.rank)},
                        {"reason", command.reason}});
  ProblemDetails problem;
  problem.status = 503;
  problem.title = "The request was not run";
  problem.detail = command.reason;
  problem.execution = Execution::kNotRun;
  problem.retry_after = command.retry_after;
  problem.request_id = ToString(job_.id);
  job_.exchange->Respond(ToHttpResponse(problem));
}

EnginePrompt CompletionSession::MakePrompt() const {
  EnginePrompt prompt;
  prompt.model = job_.request.model.value();
  prompt.prompt = job_.request.prompt;
  prompt.delivered_text = delivered_text_;
  prompt.priority = static_cast<std::uint32_t>(job_.use.rank);
  prompt.sampling = job_.request.sampling;
  return prompt;
}

void CompletionSession::ObserveToken(TimePoint now) {
  if (!first_token_.has_value())
    first_token_ = now;
  else
    longest_gap_ = std::max(longest_gap_, now - last_token_);
  last_token_ = now;
}

void CompletionSession::PauseDecodeIfNeeded() {
  if (!decode_call_ || decode_paused_ ||
      job_.exchange->pending_bytes() < kMaxPendingBytes) {
    return;
  }
  decode_paused_ = true;
  decode_call_->PauseReading();
}

}  // namespace briarlead
