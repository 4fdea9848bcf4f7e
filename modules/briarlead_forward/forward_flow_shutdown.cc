// The part of ForwardFlow that deals with the end of the process.

#include "briarlead_forward/forward_flow.h"

namespace briarlead {

bool ForwardFlow::MayBegin(TimePoint now) const {
  // What may have run is tried again: a refusal would be no proof any more.
  return runs_ > 0 || stream_started_ ||
         context_.shutdown.MaySend(deadline_, now);
}

void ForwardFlow::EndWithProcess(TimePoint now) {
  retry_after_ = kRetryAfterStopping;
  GiveUp("stopping", now);
}

void ForwardFlow::OnShutdown(TimePoint now) {
  if (done_)
    return;
  if (now >= context_.shutdown.last_answers_at()) {
    AbandonAttempt(AttemptOutcome::kWithdrawn, "stopping", now);
    EndWithProcess(now);
  } else if (!attempt_.has_value() && !MayBegin(now)) {
    EndWithProcess(now);
  }
}

}  // namespace briarlead
