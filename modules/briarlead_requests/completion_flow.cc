#include "briarlead_requests/completion_flow.h"

#include <utility>

namespace briarlead {

CompletionFlow::CompletionFlow(std::uint32_t prompt_tokens,
                               const CompletionTimeouts& timeouts)
    : prompt_tokens_(prompt_tokens), timeouts_(timeouts) {
  commands_.emplace_back(RequestPlacement{0});
}

void CompletionFlow::OnPlaced(std::uint32_t attempt,
                              const BackendServerId& prefill,
                              const BackendServerId& decode,
                              TimePoint now) {
  const bool waiting = stage_ == Stage::kQueued || stage_ == Stage::kBackingOff;
  if (!waiting || attempt <= attempt_)
    return;
  attempt_ = attempt;
  prefill_ = prefill;
  decode_ = decode;
  delivered_before_ = delivered_;
  stage_ = Stage::kPrefill;
  wake_ = now + timeouts_.prefill_base +
          timeouts_.prefill_per_token * (prompt_tokens_ + delivered_);
  commands_.emplace_back(StartPrefill{attempt, prefill});
}

void CompletionFlow::OnRefused(std::string_view reason,
                               Duration retry_after,
                               TimePoint now) {
  if (stage_ != Stage::kQueued)
    return;
  if (delivered_ > 0) {
    stage_ = Stage::kBackingOff;
    wake_ = now + retry_after;
    return;
  }
  commands_.emplace_back(GiveUp{std::string(reason), retry_after});
  Finish();
}

void CompletionFlow::OnPrefillDone(std::uint32_t attempt,
                                   std::string kv_transfer,
                                   std::uint64_t kv_bytes,
                                   TimePoint now) {
  if (!Concerns(attempt) || stage_ != Stage::kPrefill)
    return;
  stage_ = Stage::kTransfer;
  wake_ = now + timeouts_.transfer;
  commands_.emplace_back(ReportPrefillDone{attempt, kv_bytes});
  commands_.emplace_back(
      StartDecode{attempt, decode_, std::move(kv_transfer), delivered_});
}

void CompletionFlow::OnPrefillFailed(std::uint32_t attempt) {
  if (Concerns(attempt) && stage_ == Stage::kPrefill)
    FailAttempt(AttemptStage::kPrefill, prefill_);
}

void CompletionFlow::OnToken(std::uint32_t attempt,
                             std::uint32_t offset,
                             std::string_view text,
                             TimePoint now) {
  const bool streaming = stage_ == Stage::kTransfer || stage_ == Stage::kDecode;
  if (!Concerns(attempt) || !streaming || offset < delivered_)
    return;
  if (offset > delivered_) {
    FailAttempt(AttemptStage::kDecode, decode_);
    return;
  }
  if (stage_ == Stage::kTransfer) {
    stage_ = Stage::kDecode;
    commands_.emplace_back(ReportFirstToken{attempt});
    last_progress_ = now;
  }
  ++delivered_;
  if (now - last_progress_ >= kProgressInterval) {
    commands_.emplace_back(
        ReportProgress{attempt, delivered_ - delivered_before_});
    last_progress_ = now;
  }
  wake_ = now + timeouts_.token_gap;
  commands_.emplace_back(DeliverToken{offset, std::string(text)});
}

void CompletionFlow::OnDecodeEnd(std::uint32_t attempt) {
  if (!Concerns(attempt))
    return;
  if (stage_ == Stage::kPrefill) {
    FailAttempt(AttemptStage::kDecode, decode_);
    return;
  }
  commands_.emplace_back(
      ReportFinished{attempt, delivered_ - delivered_before_});
  commands_.emplace_back(CompleteAnswer{delivered_});
  Finish();
}

void CompletionFlow::OnDecodeFailed(std::uint32_t attempt) {
  if (!Concerns(attempt))
    return;
  const AttemptStage stage = stage_ == Stage::kTransfer
                                 ? AttemptStage::kTransfer
                                 : AttemptStage::kDecode;
  FailAttempt(stage, decode_);
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
    AskAgain();
}

void CompletionFlow::Tick(TimePoint now) {
  if (!wake_.has_value() || now < *wake_)
    return;
  switch (stage_) {
    case Stage::kBackingOff:
      AskAgain();
      return;
    case Stage::kPrefill:
      FailAttempt(AttemptStage::kPrefill, prefill_);
      return;
    case Stage::kTransfer:
      FailAttempt(AttemptStage::kTransfer, decode_);
      return;
    case Stage::kDecode:
      FailAttempt(AttemptStage::kDecode, decode_);
      return;
    case Stage::kQueued:
    case Stage::kDone:
      return;
  }
}

std::vector<CompletionCommand> CompletionFlow::TakeCommands() {
  return std::exchange(commands_, {});
}

bool CompletionFlow::Concerns(std::uint32_t attempt) const {
  return running() && attempt == attempt_;
}

void CompletionFlow::FailAttempt(AttemptStage stage,
                                 const BackendServerId& server) {
  commands_.emplace_back(AbortAttempt{attempt_});
  commands_.emplace_back(ReportFailed{attempt_, stage, server});
  ++failures_;
  if (delivered_ == 0 && failures_ >= kMaxAttemptsBeforeFirstToken) {
    commands_.emplace_back(ReportCancelled{});
    commands_.emplace_back(
        GiveUp{"engines failed on every attempt", kRetryAfterFailures});
    Finish();
    return;
  }
  AskAgain();
}

void CompletionFlow::AskAgain() {
  stage_ = Stage::kQueued;
  wake_.reset();
  commands_.emplace_back(RequestPlacement{delivered_});
}

void CompletionFlow::Finish() {
  stage_ = Stage::kDone;
  wake_.reset();
}

}  // namespace briarlead
