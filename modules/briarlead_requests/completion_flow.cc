#include "briarlead_requests/completion_flow.h"

#include <utility>

namespace briarlead {

CompletionFlow::CompletionFlow(std::uint32_t prompt_tokens,
                               const CompletionTimeouts& timeouts)
    : prompt_tokens_(prompt_tokens), timeouts_(timeouts) {
  commands_.emplace_back(RequestPlacement{0});
}

void CompletionFlow::OnPlaced(std::uint32_t attempt,
                              const BackendServerId& prefill_server,
                              const BackendServerId& decode_server,
                              TimePoint now) {
  const bool awaits_placement =
      stage_ == Stage::kQueued || stage_ == Stage::kBackingOff;
  if (!awaits_placement || attempt <= attempt_)
    return;
  attempt_ = attempt;
  prefill_server_ = prefill_server;
  decode_server_ = decode_server;
  delivered_at_attempt_start_ = delivered_tokens_;
  stage_ = Stage::kPrefill;
  next_wake_ =
      now + timeouts_.prefill_base +
      timeouts_.prefill_per_token * (prompt_tokens_ + delivered_tokens_);
  commands_.emplace_back(StartPrefill{attempt, prefill_server});
}

void CompletionFlow::OnRefused(std::string_view reason,
                               Duration retry_after,
                               TimePoint now) {
  if (stage_ != Stage::kQueued)
    return;
  if (delivered_tokens_ > 0) {
    stage_ = Stage::kBackingOff;
    next_wake_ = now + retry_after;
    return;
  }
  commands_.emplace_back(GiveUp{std::string(reason), retry_after});
  Finish();
}

void CompletionFlow::OnPrefillDone(std::uint32_t attempt,
                                   std::string kv_transfer,
                                   std::uint64_t kv_bytes,
                                   TimePoint now) {
  if (!IsCurrentAttempt(attempt) || stage_ != Stage::kPrefill)
    return;
  stage_ = Stage::kTransfer;
  next_wake_ = now + timeouts_.transfer;
  commands_.emplace_back(ReportPrefillDone{attempt, kv_bytes});
  commands_.emplace_back(StartDecode{
      attempt, decode_server_, std::move(kv_transfer), delivered_tokens_});
}

void CompletionFlow::OnPrefillFailed(std::uint32_t attempt) {
  if (IsCurrentAttempt(attempt) && stage_ == Stage::kPrefill)
    FailAttempt(AttemptStage::kPrefill, prefill_server_);
}

void CompletionFlow::OnToken(std::uint32_t attempt,
                             std::uint32_t offset,
                             std::string_view text,
                             TimePoint now) {
  const bool streaming = stage_ == Stage::kTransfer || stage_ == Stage::kDecode;
  if (!IsCurrentAttempt(attempt) || !streaming || offset < delivered_tokens_)
    return;
  if (offset > delivered_tokens_) {
    FailAttempt(AttemptStage::kDecode, decode_server_);
    return;
  }
  if (stage_ == Stage::kTransfer) {
    stage_ = Stage::kDecode;
    commands_.emplace_back(ReportFirstToken{attempt});
    last_progress_ = now;
  }
  ++delivered_tokens_;
  if (now - last_progress_ >= kProgressInterval) {
    commands_.emplace_back(ReportProgress{
        attempt, delivered_tokens_ - delivered_at_attempt_start_});
    last_progress_ = now;
  }
  next_wake_ = now + timeouts_.token_gap;
  commands_.emplace_back(DeliverToken{offset, std::string(text)});
}

void CompletionFlow::OnDecodeEnd(std::uint32_t attempt) {
  if (!IsCurrentAttempt(attempt))
    return;
  if (stage_ == Stage::kPrefill) {
    FailAttempt(AttemptStage::kDecode, decode_server_);
    return;
  }
  commands_.emplace_back(
      ReportFinished{attempt, delivered_tokens_ - delivered_at_attempt_start_});
  commands_.emplace_back(CompleteAnswer{delivered_tokens_});
  Finish();
}

void CompletionFlow::OnDecodeFailed(std::uint32_t attempt) {
  if (!IsCurrentAttempt(attempt))
    return;
  const AttemptStage stage = stage_ == Stage::kTransfer
                                 ? AttemptStage::kTransfer
                                 : AttemptStage::kDecode;
  FailAttempt(stage, decode_server_);
}

void CompletionFlow::OnCallerGone() {
  if (done())
    return;
  if (running())
    commands_.emplace_back(AbortAttempt{attempt_});
  commands_.emplace_back(ReportCancelled{});
  Finish();
}

void CompletionFlow::OnDispatcherLost() {
  if (stage_ == Stage::kQueued)
    Requeue();
}

void CompletionFlow::Tick(TimePoint now) {
  if (!next_wake_.has_value() || now < *next_wake_)
    return;
  switch (stage_) {
    case Stage::kBackingOff:
      Requeue();
      return;
    case Stage::kPrefill:
      FailAttempt(AttemptStage::kPrefill, prefill_server_);
      return;
    case Stage::kTransfer:
      FailAttempt(AttemptStage::kTransfer, decode_server_);
      return;
    case Stage::kDecode:
      FailAttempt(AttemptStage::kDecode, decode_server_);
      return;
    case Stage::kQueued:
    case Stage::kDone:
      return;
  }
}

std::vector<CompletionCommand> CompletionFlow::TakeCommands() {
  return std::exchange(commands_, {});
}

bool CompletionFlow::IsCurrentAttempt(std::uint32_t attempt) const {
  return running() && attempt == attempt_;
}

void CompletionFlow::FailAttempt(AttemptStage stage,
                                 const BackendServerId& server) {
  commands_.emplace_back(AbortAttempt{attempt_});
  commands_.emplace_back(ReportFailed{attempt_, stage, server});
  ++failed_attempts_;
  if (delivered_tokens_ == 0 &&
      failed_attempts_ >= kMaxAttemptsBeforeFirstToken) {
    commands_.emplace_back(ReportCancelled{});
    commands_.emplace_back(
        GiveUp{"engines failed on every attempt", kRetryAfterFailures});
    Finish();
    return;
  }
  Requeue();
}

void CompletionFlow::Requeue() {
  stage_ = Stage::kQueued;
  next_wake_.reset();
  commands_.emplace_back(RequestPlacement{delivered_tokens_});
}

void CompletionFlow::Finish() {
  stage_ = Stage::kDone;
  next_wake_.reset();
}

}  // namespace briarlead
