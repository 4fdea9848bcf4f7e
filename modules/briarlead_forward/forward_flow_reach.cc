// The part of ForwardFlow that deals with the way to a server: connections that
// aren't there yet, and other hosts that pass the request on.

#include "briarlead_forward/forward_flow.h"

namespace briarlead {

std::optional<Endpoint> ForwardFlow::RelayFor(const ServerIncarnation& server,
                                              TimePoint now) const {
  if (!context_.pool.NeedsRelay(server))
    return std::nullopt;
  return context_.relays.Choose(server, now, context_.random);
}

void ForwardFlow::CheckIfNothingAnswers() {
  if (!attempt_->relay.has_value() &&
      !context_.pool.HadContactSince(attempt_->sent_at)) {
    Emit(CheckServer{attempt_->server});
  }
}

void ForwardFlow::OnConnecting(AttemptNumber attempt) {
  if (IsCurrent(attempt))
    attempt_->connecting = true;
}

void ForwardFlow::OnConnected(AttemptNumber attempt) {
  if (IsCurrent(attempt))
    attempt_->connecting = false;
}

void ForwardFlow::ForgetTried(const ServerIncarnation& server) {
  std::erase(tried_, server);
  std::erase(tried_prefill_, server);
}

void ForwardFlow::OnNotRelayed(AttemptNumber attempt,
                               RelayRefusal why,
                               TimePoint now) {
  if (!IsCurrent(attempt))
    return;
  const ServerIncarnation server = IncarnationOf(attempt_->server);
  context_.relays.OnRefused(*attempt_->relay, server, why, now);
  KeepKvResult(now);
  const bool is_plain = attempt_->server.stage == EngineStage::kNone;
  EndAttempt(AttemptOutcome::kNotRelayed, ToString(why), now);
  // An engine that the other host doesn't reach has mostly ended; an owner
  // would place the request there again.
  if (is_plain || why != RelayRefusal::kNoServer)
    ForgetTried(server);
  RetryOrGiveUp(false, now);
}

}  // namespace briarlead
