// The part of ForwardFlow that deals with content that ends servers.

#include <algorithm>

#include "briarlead_forward/forward_flow.h"

namespace briarlead {

const RequestNames& ForwardFlow::Names() {
  if (!names_.has_value())
    names_ = NamesOf(content_);
  return *names_;
}

void ForwardFlow::NameIfSuspect() {
  const CrashSuspects& known = context_.suspects;
  // Nothing is hashed while no request is a suspect, and no body while none
  // with this head is.
  if (names_.has_value() || content_.method.empty() || !known.KnowsRequests())
    return;
  if (!head_names_.has_value())
    head_names_ = HeadNamesOf(content_);
  const auto heads = head_names_->All();
  if (std::any_of(heads.begin(), heads.end(),
                  [&](SuspectId it) { return known.KnowsHead(it); })) {
    Names();
  }
}

std::vector<SuspectId> ForwardFlow::Suspects() {
  NameIfSuspect();
  std::vector<SuspectId> suspects = facts_.shared_parts;
  if (names_.has_value()) {
    const auto names = names_->All();
    suspects.insert(suspects.end(), names.begin(), names.end());
  }
  return suspects;
}

bool ForwardFlow::AdmitContent(TimePoint now) {
  if (run_deliveries_ > 0) {
    // A trial is sent once.
    if (!is_trial_)
      return !RefuseBlockedContent(now);
    GiveUp("content_blocked", now);
    return false;
  }
  NameIfSuspect();
  const CrashSuspects::Admission admission =
      context_.suspects.Admit(facts_.shared_parts, names_, now);
  is_trial_ = is_trial_ || admission.is_trial;
  if (admission.admitted || is_trial_)
    return true;
  retry_after_ = admission.retry_after;
  GiveUp("content_blocked", now);
  return false;
}

bool ForwardFlow::RefuseBlockedContent(TimePoint now) {
  NameIfSuspect();
  if (is_trial_ ||
      !context_.suspects.IsBlocked(facts_.shared_parts, names_, now)) {
    return false;
  }
  retry_after_ = CrashSuspects::kFirstTrialDelay;
  GiveUp("content_blocked", now);
  return true;
}

bool ForwardFlow::HasCrashedBefore(TimePoint now) {
  NameIfSuspect();
  if (!names_.has_value())
    return false;
  const auto names = names_->All();
  return std::any_of(names.begin(), names.end(), [&](SuspectId it) {
    return context_.suspects.HasCrashed(it, now);
  });
}

void ForwardFlow::RecordSuspects(const Attempt& attempt,
                                 AttemptOutcome outcome,
                                 TimePoint now) {
  CrashSuspects& suspects = context_.suspects;
  const ServerIncarnation server = IncarnationOf(attempt.server);
  // A host that is cut off doesn't know which servers have ended.
  if (outcome == AttemptOutcome::kNotConnected && !context_.pool.IsCutOff())
    suspects.OnServerChecked(server, false, now);
  if (attempt.survived)
    return;
  const bool is_plain = attempt.server.stage == EngineStage::kNone;
  const bool answered = outcome == AttemptOutcome::kServed ||
                        (is_plain && outcome == AttemptOutcome::kServerError);
  if (answered && attempt.part == SendPart::kWhole)
    suspects.OnSurvived(Suspects(), now);
  // The server may go on with a plain run that was left, and end under it.
  const bool left = is_plain && (outcome == AttemptOutcome::kTimedOut ||
                                 outcome == AttemptOutcome::kWithdrawn);
  if (outcome != AttemptOutcome::kBroken && !left)
    return;
  // Nothing of it arrived, or the other host may have ended, not the server.
  if (attempt.connecting || attempt.relay.has_value())
    return;
  if (!content_.method.empty())
    Names();
  suspects.OnBroken(facts_.shared_parts, names_, server, now);
}

}  // namespace briarlead
