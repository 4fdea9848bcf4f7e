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
  it->second.stage_end = now + limits_.begin_window;
  AskBegin(it->second, now);
}

void ClaimCoordinator::AskBegin(Call& call, TimePoint now) {
  const Duration run_limit =
      limits_.begin_window + call.call.timeout + kRunLimitSlack;
  commands_.push_back(ProposeBegin{{*call.call.key, call.call.content,
                                    call.call.id, ToMilliseconds(run_limit)}});
  ++call.asks;
  call.next_ask = now + limits_.ask_interval;
}

void ClaimCoordinator::AskFinish(Call& call, TimePoint now) {
  commands_.push_back(ProposeFinish{*call.unrecorded});
  call.next_ask = now + limits_.ask_interval;
}

void ClaimCoordinator::Send(Call& call, TimePoint now) {
  call.stage = Stage::kRunning;
  call.stage_end = now + call.call.timeout;
  commands_.push_back(SendCall{call.call.id});
}

void ClaimCoordinator::Record(Call& call,
                              RunOutcome outcome,
                              const RecordedAnswer& answer,
                              TimePoint now) {
  if (!call.call.key)
    return;
  call.unrecorded = FinishClaim{*call.call.key, call.call.content, call.call.id,
                                outcome, answer};
  call.record_end = now + limits_.finish_window;
  if (answer.body.size() > kMaxRecordedBodyBytes)
    call.unrecorded->answer = {answer.status, {}, {}, false};
  AskFinish(call, now);
}

void ClaimCoordinator::Answer(Call& call,
                              CallVerdict verdict,
                              Duration retry_after,
                              const RecordedAnswer& answer) {
  if (std::exchange(call.answered, true))
    return;
  commands_.push_back(AnswerCaller{call.call.id, verdict, retry_after, answer});
}

void ClaimCoordinator::GiveUpBeginning(Call& call,
                                       CallVerdict verdict,
                                       TimePoint now) {
  call.stage = Stage::kEnded;
  Answer(call, verdict, limits_.retry_after);
  // A question may still be on its way, and must not hold the claim then.
  Record(call, RunOutcome::kNotRun, {}, now);
}

void ClaimCoordinator::OnBeginResult(const BeginResult& result, TimePoint now) {
  const auto it = calls_.find(result.attempt);
  if (it == calls_.end() || it->second.stage != Stage::kBeginning)
    return;
  Call& call = it->second;
  if (now >= call.stage_end) {
    GiveUpBeginning(call, CallVerdict::kAttemptNotRun, now);
    return;
  }
  if (result.verdict == BeginVerdict::kGranted) {
    Send(call, now);
    return;
  }
  if (result.verdict == BeginVerdict::kTableFull && call.asks > 1) {
    GiveUpBeginning(call, CallVerdict::kNotRun, now);
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
  Release(it);
}

void ClaimCoordinator::OnFinishResult(const FinishResult& result) {
  const auto it = calls_.find(result.attempt);
  if (it == calls_.end() || !it->second.unrecorded ||
      it->second.unrecorded->outcome != result.outcome) {
    return;
  }
  it->second.unrecorded.reset();
  Release(it);
}

void ClaimCoordinator::OnControlUnavailable(const AttemptToken& attempt,
                                            TimePoint now) {
  const auto it = calls_.find(attempt);
  if (it == calls_.end())
    return;
  // A short pause, so that a leaderless control is not asked in a loop.
  it->second.next_ask =
      std::min(it->second.next_ask, now + limits_.ask_interval / 4);
}

void ClaimCoordinator::OnCallNotSent(const RequestId& id, TimePoint now) {
  const auto it = calls_.find(id);
  if (it == calls_.end() || !AwaitsOutcome(it->second))
    return;
  it->second.stage = Stage::kEnded;
  // Answered before the record is committed: nobody can have run it yet.
  Answer(it->second, CallVerdict::kNotRun, limits_.retry_after);
  Record(it->second, RunOutcome::kNotRun, {}, now);
  Release(it);
}

void ClaimCoordinator::OnCallAnswered(const RequestId& id,
                                      const RecordedAnswer& answer,
                                      TimePoint now) {
  const auto it = calls_.find(id);
  if (it == calls_.end() || !AwaitsOutcome(it->second))
    return;
  it->second.stage = Stage::kEnded;
  Answer(it->second, CallVerdict::kRan, {}, answer);
  Record(it->second, RunOutcome::kRan, answer, now);
  Release(it);
}

void ClaimCoordinator::OnCallFailed(const RequestId& id, TimePoint now) {
  const auto it = calls_.find(id);
  if (it == calls_.end() || !AwaitsOutcome(it->second))
    return;
  // A late call was recorded as unknown when its time was over.
  const bool is_recorded = it->second.stage == Stage::kLate;
  it->second.stage = Stage::kEnded;
  Answer(it->second, CallVerdict::kUnknown);
  if (!is_recorded)
    Record(it->second, RunOutcome::kUnknown, {}, now);
  Release(it);
}

void ClaimCoordinator::OnCallerGone(const RequestId& id, TimePoint now) {
  const auto it = calls_.find(id);
  if (it == calls_.end())
    return;
  it->second.answered = true;
  if (it->second.stage == Stage::kBeginning)
    GiveUpBeginning(it->second, CallVerdict::kAttemptNotRun, now);
}

void ClaimCoordinator::Tick(TimePoint now) {
  for (auto it = calls_.begin(); it != calls_.end();) {
    const auto current = it++;
    TickCall(current->second, now);
    Release(current);
  }
}

void ClaimCoordinator::TickCall(Call& call, TimePoint now) {
  if (call.stage != Stage::kEnded && now >= call.stage_end)
    EndStage(call, now);
  if (call.unrecorded && now >= call.record_end)
    call.unrecorded.reset();
  const bool asking = call.stage == Stage::kBeginning || call.unrecorded;
  if (!asking || now < call.next_ask)
    return;
  if (call.stage == Stage::kBeginning) {
    AskBegin(call, now);
  } else {
    AskFinish(call, now);
  }
}

void ClaimCoordinator::EndStage(Call& call, TimePoint now) {
  switch (call.stage) {
    case Stage::kBeginning:
      GiveUpBeginning(call, CallVerdict::kAttemptNotRun, now);
      return;
    case Stage::kRunning:
      call.stage = Stage::kLate;
      call.stage_end = now + limits_.late_window;
      Answer(call, CallVerdict::kUnknown);
      Record(call, RunOutcome::kUnknown, {}, now);
      return;
    case Stage::kLate:
      call.stage = Stage::kEnded;
      return;
    case Stage::kEnded:
      return;
  }
}

bool ClaimCoordinator::AwaitsOutcome(const Call& call) {
  return call.stage == Stage::kRunning || call.stage == Stage::kLate;
}

void ClaimCoordinator::Release(Calls::iterator it) {
  if (it->second.stage == Stage::kEnded && !it->second.unrecorded)
    calls_.erase(it);
}

std::optional<TimePoint> ClaimCoordinator::NextDeadline() const {
  std::optional<TimePoint> next;
  for (const auto& [id, call] : calls_) {
    const TimePoint deadline = DeadlineOf(call);
    next = next ? std::min(*next, deadline) : deadline;
  }
  return next;
}

TimePoint ClaimCoordinator::DeadlineOf(const Call& call) {
  TimePoint deadline = TimePoint::max();
  if (call.stage != Stage::kEnded)
    deadline = call.stage_end;
  if (call.stage == Stage::kBeginning || call.unrecorded)
    deadline = std::min(deadline, call.next_ask);
  if (call.unrecorded)
    deadline = std::min(deadline, call.record_end);
  return deadline;
}

std::vector<ClaimCommand> ClaimCoordinator::TakeCommands() {
  return std::exchange(commands_, {});
}

}  // namespace briarlead
