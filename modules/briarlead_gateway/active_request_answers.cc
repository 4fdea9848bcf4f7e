// The part of ActiveRequest that answers the caller.

#include <fmt/format.h>

#include "briarlead_accounts/bearer_key.h"
#include "briarlead_gateway/active_request.h"
#include "briarlead_net/loop_clock.h"

namespace briarlead {

namespace {

constexpr int kUnauthorized = 401;
constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
/// Bytes of a stream that may wait for its caller; while more wait, nothing is
/// read from the server.
constexpr std::size_t kMaxUnsentStreamBytes = 65536;
/// Less than the silence after which a server is checked.
constexpr guint kPauseIntervalMs = 100;

/// Returns how a request ended that got `status`; 0 for a broken-off stream.
AccountOutcome OutcomeOf(int status, bool from_server) {
  if (from_server)
    return AccountOutcome::kServed;
  switch (status) {
    case kUnauthorized:
      return AccountOutcome::kUnauthorized;
    case kTooManyRequests:
      return AccountOutcome::kLimited;
    case kUnavailable:
      return AccountOutcome::kRefused;
    default:
      return AccountOutcome::kFailed;
  }
}

}  // namespace

HeaderFields ActiveRequest::FieldsForCaller(const ResponseHead& head) {
  HeaderFields fields = head.fields;
  RemoveHopByHopFields(fields);
  return fields;
}

void ActiveRequest::Execute(SendResponse& it) {
  const ResponseHead& head = calls_[it.attempt].head;
  environment_.callers.SendHead(id_, head.status, head.reason,
                                FieldsForCaller(head), it.body.size());
  environment_.callers.SendBody(
      id_, std::make_shared<const std::string>(std::move(it.body)));
  environment_.callers.Finish(id_);
  RecordAnswer(head.status, true, "server");
}

void ActiveRequest::Execute(const SendStreamHead& it) {
  const ResponseHead& head = calls_[it.attempt].head;
  environment_.callers.SendHead(id_, head.status, head.reason,
                                FieldsForCaller(head), std::nullopt);
}

void ActiveRequest::Execute(const SendStreamBytes& it) {
  environment_.callers.SendBody(id_, it.bytes);
  if (environment_.callers.WaitingBytes(id_) > kMaxUnsentStreamBytes)
    PauseReading();
}

void ActiveRequest::PauseReading() {
  for (auto& [attempt, call] : calls_) {
    if (call.call)
      call.call->SetReading(false);
  }
  if (!pause_timer_.active())
    pause_timer_.StartTimer(kPauseIntervalMs, [this] { ExtendPause(); });
}

void ActiveRequest::ExtendPause() {
  for (const auto& [attempt, call] : calls_) {
    if (call.call)
      flow_->OnBody(attempt, {}, LoopNow());
  }
  pause_timer_.StartTimer(kPauseIntervalMs, [this] { ExtendPause(); });
}

void ActiveRequest::OnCallerDrained() {
  if (!pause_timer_.active())
    return;
  pause_timer_.Reset();
  for (auto& [attempt, call] : calls_) {
    if (call.call)
      call.call->SetReading(true);
  }
}

void ActiveRequest::Execute(const EndStream&) {
  environment_.callers.Finish(id_);
  RecordAnswer(200, true, "stream");
}

void ActiveRequest::Execute(const AbortStream&) {
  environment_.callers.Abort(id_);
  RecordAnswer(0, false, "broken_off");
}

void ActiveRequest::Execute(const SendOwnResponse& it) {
  HeaderFields fields;
  fields.Add("Content-Type", "text/plain");
  if (it.status == kUnauthorized)
    fields.Add("WWW-Authenticate", kBearerChallenge);
  if (it.retry_after.has_value()) {
    fields.Add("Retry-After",
               fmt::format("{:.2f}", ToSeconds(*it.retry_after)));
  }
  environment_.callers.Respond(id_, it.status, fields, it.reason);
  RecordAnswer(it.status, false, it.reason);
}

void ActiveRequest::CountForAccount(AccountOutcome outcome) {
  const ClientAccount* account = flow_->facts().account;
  if (account != nullptr)
    environment_.metrics.OnAccountRequest(account->id, outcome);
}

void ActiveRequest::RecordAnswer(int status,
                                 bool from_server,
                                 std::string_view how) {
  const TimePoint now = LoopNow();
  const ForwardSummary& it = flow_->summary();
  environment_.metrics.OnAnswered(status, from_server, now - arrived_, it);
  CountForAccount(OutcomeOf(status, from_server));
  const ClientAccount* account = flow_->facts().account;
  environment_.logger.Info(
      now, "request_answered",
      {{"request", flow_->facts().id},
       {"account", account ? account->id.value() : ""},
       {"status", status},
       {"how", how},
       {"lease_age_ms", environment_.forward.gate.LeaseAgeMs(now)},
       {"took_ms", (now - arrived_).count() / 1000},
       {"sends", it.sends},
       {"waited_ms", it.waited.count() / 1000},
       {"first_event_ms", it.first_event.count() / 1000},
       {"longest_gap_ms", it.longest_gap.count() / 1000}});
}

}  // namespace briarlead
