// The part of ForwardFlow that deals with content that ends servers.

#include <algorithm>

#include "briarlead_forward/forward_flow.h"

namespace briarlead {

const RequestNames& ForwardFlow::Names() {
  if (!names_.has_value())
    names_ = NamesOf(content_);
  return *names_;
}

std::vector<SuspectId> ForwardFlow::Suspects() {
  std::vector<SuspectId> suspects = facts_.shared_parts;
  const CrashSuspects& known = context_.suspects;
  if (!names_.has_value()) {
    // Nothing is hashed while no request is a suspect, and no body while none
    // with this head is.
    if (content_.method.empty() || !known.KnowsRequests())
      return suspects;
    if (!head_names_.has_value())
      head_names_ = HeadNamesOf(content_);
    if (!known.KnowsHead(head_names_->by_content) &&
        !known.KnowsHead(head_names_->by_caller)) {
      return suspects;
    }
  }
  suspects.push_back(Names().by_content);
  suspects.push_back(Names().by_caller);
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
  const CrashSuspects::Admission admission =
      context_.suspects.Admit(Suspects(), now);
  is_trial_ = is_trial_ || admission.is_trial;
  if (admission.admitted || is_trial_)
    return true;
  retry_after_ = admission.retry_after;
  GiveUp("content_blocked", now);
  return false;
}

bool ForwardFlow::RefuseBlockedContent(TimePoint now) {
  if (is_trial_ || !context_.suspects.IsBlocked(Suspects(), now))
    return false;
  retry_after_ = CrashSuspects::kFirstTrialDelay;
  GiveUp("content_blocked", now);
  return true;
}

bool ForwardFlow::HasCrashedBefore(TimePoint now) const {
  return names_.has_value() &&
         context_.suspects.HasCrashed(names_->by_caller, now);
}

void ForwardFlow::RecordSuspects(const Attempt& attempt,
                                 AttemptOutcome outcome,
                                 TimePoint now) {
  CrashSuspects& suspects = context_.suspects;
  const ServerIncarnation server = IncarnationOf(attempt.server);
  if (outcome == AttemptOutcome::kNotConnected)
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
  if (!content_.method.empty())
    Names();
  suspects.OnBroken(facts_.shared_parts, names_, server, now);
}

}  // namespace briarlead
