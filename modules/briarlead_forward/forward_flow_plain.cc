// The part of ForwardFlow that deals with servers of plain services, and with
// permits for those that named a limit.

#include <algorithm>
#include <utility>

#include "briarlead_forward/forward_flow.h"

namespace briarlead {

void ForwardFlow::SendPlain(TimePoint now) {
  if (RefuseByAccount(now))
    return;
  if (NeedsSlot())
    RequestSlot(now);
  else
    SendPlainByChoice(now);
}

void ForwardFlow::SendPlainByChoice(TimePoint now) {
  const ServerQuery query{service_, EngineStage::kNone, tried_, software_};
  const std::optional<ServerRecord> server =
      context_.pool.Choose(query, now, context_.random);
  if (server.has_value()) {
    if (!AdmitQuota(now))
      return;
    EndPermitWait(now);
    context_.pool.UsePermit(IncarnationOf(*server), now);
    context_.pool.WantPermit(query, SendPermits::kPrefetchTime, now);
    SendTo(*server, SendPart::kWhole, now);
    return;
  }
  if (!context_.pool.LacksPermit(query, now)) {
    EndPermitWait(now);
    retry_after_ = WantedPause(now);
    GiveUp("no_server", now);
  } else if (!WaitForPermit(query, now)) {
    EndPermitWait(now);
    GiveUp("servers_limited", now);
  }
}

TimePoint ForwardFlow::LatestPermitStart() const {
  const Duration patience =
      FromSeconds(ToSeconds(deadline_ - arrived_) * kMaxWaitShare);
  return arrived_ +
         std::min(patience, std::max(route_.target_latency, kMinPermitWait));
}

bool ForwardFlow::WaitForPermit(const ServerQuery& query, TimePoint now) {
  // An answer that is there is not held back for a better one.
  if (runs_ > 0)
    return false;
  const TimePoint latest = LatestPermitStart();
  if (!permit_wait_.has_value())
    permit_wait_ = {std::nullopt, now, now};
  permit_wait_->permit = context_.pool.ClaimPermit(query, latest, now);
  if (permit_wait_->permit.has_value()) {
    permit_wait_->wake_at = permit_wait_->permit->starts_at;
    return true;
  }
  const Duration within = std::max(latest - now, Duration::zero());
  const std::optional<TimePoint> next =
      context_.pool.WantPermit(query, within, now);
  const TimePoint earliest = next.value_or(now);
  if (now < latest && earliest < latest) {
    permit_wait_->wake_at = std::clamp(earliest, now + kPermitCheckInterval,
                                       now + kWaitCheckInterval);
    return true;
  }
  retry_after_ = std::clamp(earliest - now, kMinRetryAfter, kMaxRetryAfter);
  return false;
}

void ForwardFlow::ContinuePermitWait(TimePoint now) {
  if (RefuseByAccount(now) || RefuseBlockedContent(now) || !AdmitQuota(now))
    return;
  const std::optional<SendPermit> permit =
      std::exchange(permit_wait_->permit, std::nullopt);
  const std::optional<ServerRecord> server =
      permit.has_value() ? context_.pool.ServerOf(*permit, now) : std::nullopt;
  if (!server.has_value()) {
    SendPlain(now);
    return;
  }
  EndPermitWait(now);
  SendTo(*server, SendPart::kWhole, now);
}

void ForwardFlow::EndPermitWait(TimePoint now) {
  if (!permit_wait_.has_value())
    return;
  summary_.waited += now - permit_wait_->since;
  if (permit_wait_->permit.has_value())
    context_.pool.ReturnPermit(*permit_wait_->permit);
  permit_wait_.reset();
}

void ForwardFlow::OnPermitsChanged(TimePoint now) {
  if (done_)
    return;
  if (permit_wait_.has_value() && !permit_wait_->permit.has_value())
    SendPlain(now);
  else
    OnEnginesChanged(now);
}

void ForwardFlow::OnPlainSilence(TimePoint now) {
  if (!attempt_->has_events || !MayTryAnotherServer()) {
    attempt_->check_at = deadline_;
    CheckIfNothingAnswers();
    return;
  }
  attempt_->check_at = now + kCheckInterval;
  if (now - attempt_->last_received_at >= kMaxSilence)
    TryAnotherServer("silent", now);
  else if (!attempt_->relay.has_value())
    Emit(CheckServer{attempt_->server});
}

}  // namespace briarlead
