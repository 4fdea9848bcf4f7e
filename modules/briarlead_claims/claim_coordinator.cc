#include "briarlead_claims/claim_coordinator.h"

#include <algorithm>
#include <utility>

namespace briarlead {
namespace {

constexpr Duration kRunLimitSlack = std::chrono::seconds(1);

std::uint32_t ToMilliseconds(Duration duration) {
  const auto n =
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
  return static_cast<std::uint32_t>(std::clamp<std::int64_t>(n, 0, UINT32_MAX));
}

}  // namespace

std::string_view ToString(CallVerdict verdict) {
  switch (verdict) {
    case CallVerdict::kRan:
      return "ran";
    case CallVerdict::kRanAnswerNotKept:
      return "ran_answer_not_kept";
    case CallVerdict::kUnknown:
      return "unknown";
    case CallVerdict::kStillRunning:
      return "still_running";
    case CallVerdict::kNotRun:
      return "not_run";
    case CallVerdict::kAttemptNotRun:
      return "attempt_not_run";
    case CallVerdict::kKeyReused:
      return "key_reused";
  }
  return "unknown";
}

ClaimCoordinator::ClaimCoordinator(ClaimCoordinatorLimits limits)
    : limits_(limits) {}

void ClaimCoordinator::Start(const ClaimedCall& call, TimePoint now) {
  if (calls_.size() >= limits_.max_calls) {
    commands_.push_back(AnswerCaller{
        call.id, CallVerdict::kAttemptNotRun, limits_.retry_after, {}});
    return;
  }
  const auto [it, is_new] = calls_.try_emplace(call.id);
  if (!is_new)
    return;
  it->second.call = call;
  if (!call.key) {
    Send(it->second, now);
    return;
  }
  it->second.stage_deadline = now + limits_.begin_window;
  IssueBegin(it->second, now);
}

void ClaimCoordinator::IssueBegin(Call& call, TimePoint now) {
  const Duration run_limit =
      limits_.begin_window + call.call.timeout + kRunLimitSlack;
  commands_.push_back(ProposeBegin{{*call.call.key, call.call.content,
                                    call.call.id, ToMilliseconds(run_limit)}});
  ++call.begin_proposals;
  call.next_proposal = now + limits_.proposal_retry_interval;
}

void ClaimCoordinator::IssueFinish(Call& call, TimePoint now) {
  commands_.push_back(ProposeFinish{*call.pending_finish});
  call.next_proposal = now + limits_.proposal_retry_interval;
}

void ClaimCoordinator::Send(Call& call, TimePoint now) {
  call.stage = Stage::kRunning;
  call.stage_deadline = now + call.call.timeout;
  commands_.push_back(SendCall{call.call.id});
}

void ClaimCoordinator::RecordOutcome(Call& call,
                                     RunOutcome outcome,
                                     const RecordedAnswer& answer,
                                     TimePoint now) {
  if (!call.call.key)
    return;
  call.pending_finish = FinishClaim{*call.call.key, call.call.content,
                                    call.call.id, outcome, answer};
  call.finish_deadline = now + limits_.finish_window;
  if (answer.body.size() > kMaxRecordedBodyBytes)
    call.pending_finish->answer = {answer.status, {}, {}, false};
  IssueFinish(call, now);
}

void ClaimCoordinator::Answer(Call& call,
                              CallVerdict verdict,
                              Duration retry_after,
                              const RecordedAnswer& answer) {
  if (std::exchange(call.answered, true))
    return;
  commands_.push_back(AnswerCaller{call.call.id, verdict, retry_after, answer});
}

void ClaimCoordinator::AbandonClaim(Call& call,
                                    CallVerdict verdict,
                                    TimePoint now) {
  call.stage = Stage::kEnded;
  Answer(call, verdict, limits_.retry_after);
  // A ProposeBegin may still be in flight. Recording the attempt as not run
  // keeps that proposal from holding the claim when it is committed later.
  RecordOutcome(call, RunOutcome::kNotRun, {}, now);
}

void ClaimCoordinator::OnBeginResult(const BeginResult& result, TimePoint now) {
  const auto it = calls_.find(result.attempt);
  if (it == calls_.end() || it->second.stage != Stage::kClaiming)
    return;
  Call& call = it->second;
  if (now >= call.stage_deadline) {
    AbandonClaim(call, CallVerdict::kAttemptNotRun, now);
    return;
  }
  if (result.verdict == BeginVerdict::kGranted) {
    Send(call, now);
    return;
  }
  if (result.verdict == BeginVerdict::kTableFull && call.begin_proposals > 1) {
    AbandonClaim(call, CallVerdict::kNotRun, now);
    return;
  }
  call.stage = Stage::kEnded;
  switch (result.verdict) {
    case BeginVerdict::kInProgress:
      Answer(call, CallVerdict::kStillRunning, limits_.retry_after);
      break;
    case BeginVerdict::kFinished:
      Answer(call,
             result.answer.kept ? CallVerdict::kRan
                                : CallVerdict::kRanAnswerNotKept,
             {}, result.answer);
      break;
    case BeginVerdict::kUnknown:
      Answer(call, CallVerdict::kUnknown);
      break;
    case BeginVerdict::kContentMismatch:
      Answer(call, CallVerdict::kKeyReused);
      break;
    case BeginVerdict::kTableFull:
      Answer(call, CallVerdict::kNotRun, limits_.retry_after);
      break;
    case BeginVerdict::kGranted:
    case BeginVerdict::kAbandoned:
      Answer(call, CallVerdict::kAttemptNotRun, limits_.retry_after);
      break;
  }
  EraseIfComplete(it);
}

void ClaimCoordinator::OnFinishResult(const FinishResult& result) {
  const auto it = calls_.find(result.attempt);
  if (it == calls_.end() || !it->second.pending_finish ||
      it->second.pending_finish->outcome != result.outcome) {
    return;
  }
  it->second.pending_finish.reset();
  EraseIfComplete(it);
}

void ClaimCoordinator::OnControlUnavailable(const AttemptToken& attempt,
                                            TimePoint now) {
  const auto it = calls_.find(attempt);
  if (it == calls_.end())
    return;
  // A short delay avoids a busy loop of proposals while there is no leader.
  it->second.next_proposal = std::min(
      it->second.next_proposal, now + limits_.proposal_retry_interval / 4);
}

void ClaimCoordinator::OnCallNotSent(const RequestId& id, TimePoint now) {
  const auto it = calls_.find(id);
  if (it == calls_.end() || !AwaitsOutcome(it->second))
    return;
  it->second.stage = Stage::kEnded;
  // The caller need not wait until the outcome is committed: until then this
  // attempt holds the claim, so no other attempt can have run the operation.
  Answer(it->second, CallVerdict::kNotRun, limits_.retry_after);
  RecordOutcome(it->second, RunOutcome::kNotRun, {}, now);
  EraseIfComplete(it);
}

void ClaimCoordinator::OnCallAnswered(const RequestId& id,
                                      const RecordedAnswer& answer,
                                      TimePoint now) {
  const auto it = calls_.find(id);
  if (it == calls_.end() || !AwaitsOutcome(it->second))
    return;
  it->second.stage = Stage::kEnded;
  Answer(it->second, CallVerdict::kRan, {}, answer);
  RecordOutcome(it->second, RunOutcome::kRan, answer, now);
  EraseIfComplete(it);
}

void ClaimCoordinator::OnCallFailed(const RequestId& id, TimePoint now) {
  const auto it = calls_.find(id);
  if (it == calls_.end() || !AwaitsOutcome(it->second))
    return;
  // The outcome of a call that timed out was recorded as unknown at that time.
  const bool is_unknown_recorded = it->second.stage == Stage::kTimedOut;
  it->second.stage = Stage::kEnded;
  Answer(it->second, CallVerdict::kUnknown);
  if (!is_unknown_recorded)
    RecordOutcome(it->second, RunOutcome::kUnknown, {}, now);
  EraseIfComplete(it);
}

void ClaimCoordinator::OnCallerGone(const RequestId& id, TimePoint now) {
  const auto it = calls_.find(id);
  if (it == calls_.end())
    return;
  it->second.answered = true;
  if (it->second.stage == Stage::kClaiming)
    AbandonClaim(it->second, CallVerdict::kAttemptNotRun, now);
}

void ClaimCoordinator::Tick(TimePoint now) {
  for (auto it = calls_.begin(); it != calls_.end();) {
    const auto current = it++;
    TickCall(current->second, now);
    EraseIfComplete(current);
  }
}

void ClaimCoordinator::TickCall(Call& call, TimePoint now) {
  if (call.stage != Stage::kEnded && now >= call.stage_deadline)
    OnStageTimeout(call, now);
  if (call.pending_finish && now >= call.finish_deadline)
    call.pending_finish.reset();
  const bool awaits_control =
      call.stage == Stage::kClaiming || call.pending_finish;
  if (!awaits_control || now < call.next_proposal)
    return;
  if (call.stage == Stage::kClaiming) {
    IssueBegin(call, now);
  } else {
    IssueFinish(call, now);
  }
}

void ClaimCoordinator::OnStageTimeout(Call& call, TimePoint now) {
  switch (call.stage) {
    case Stage::kClaiming:
      AbandonClaim(call, CallVerdict::kAttemptNotRun, now);
      return;
    case Stage::kRunning:
      call.stage = Stage::kTimedOut;
      call.stage_deadline = now + limits_.late_window;
      Answer(call, CallVerdict::kUnknown);
      RecordOutcome(call, RunOutcome::kUnknown, {}, now);
      return;
    case Stage::kTimedOut:
      call.stage = Stage::kEnded;
      return;
    case Stage::kEnded:
      return;
  }
}

bool ClaimCoordinator::AwaitsOutcome(const Call& call) {
  return call.stage == Stage::kRunning || call.stage == Stage::kTimedOut;
}

void ClaimCoordinator::EraseIfComplete(Calls::iterator it) {
  if (it->second.stage == Stage::kEnded && !it->second.pending_finish)
    calls_.erase(it);
}

std::optional<TimePoint> ClaimCoordinator::NextDeadline() const {
  std::optional<TimePoint> next;
  for (const auto& [id, call] : calls_) {
    const TimePoint deadline = NextDeadlineOf(call);
    next = next ? std::min(*next, deadline) : deadline;
  }
  return next;
}

TimePoint ClaimCoordinator::NextDeadlineOf(const Call& call) {
  TimePoint deadline = TimePoint::max();
  if (call.stage != Stage::kEnded)
    deadline = call.stage_deadline;
  if (call.stage == Stage::kClaiming || call.pending_finish)
    deadline = std::min(deadline, call.next_proposal);
  if (call.pending_finish)
    deadline = std::min(deadline, call.finish_deadline);
  return deadline;
}

std::vector<ClaimCommand> ClaimCoordinator::TakeCommands() {
  return std::exchange(commands_, {});
}

}  // namespace briarlead
