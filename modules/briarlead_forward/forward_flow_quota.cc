// The part of ForwardFlow that deals with the quota of the request's account.

#include <algorithm>
#include <utility>

#include "briarlead_forward/forward_flow.h"

namespace briarlead {

namespace {

constexpr int kTooManyRequests = 429;

}  // namespace

bool ForwardFlow::NeedsAmount(TimePoint now) const {
  return facts_.account != nullptr && facts_.account->quota.limited() &&
         facts_.quota_amount > 0 && !amount_used_ && now >= amount_lapses_at_;
}

bool ForwardFlow::AdmitQuota(TimePoint now) {
  if (!NeedsAmount(now))
    return true;
  if (std::exchange(asking_amount_, true))
    return false;
  const Duration wait =
      std::max(FromSeconds(ToSeconds(route_.target_latency) * kQuotaWaitShare),
               kMinQuotaWait);
  Emit(AskForQuota{facts_.account->id, facts_.account->quota,
                   facts_.quota_amount, std::min(deadline_, now + wait)});
  return false;
}

void ForwardFlow::OnQuota(const QuotaAnswer& answer, TimePoint now) {
  if (done_ || !std::exchange(asking_amount_, false))
    return;
  if (answer.refusal != QuotaRefusal::kNone) {
    RefuseQuota(answer, now);
    return;
  }
  amount_lapses_at_ = answer.lapses_at;
  const std::optional<ServerRecord> slot =
      std::exchange(slot_server_, std::nullopt);
  const std::optional<ModelPlacement> placement =
      std::exchange(placement_, std::nullopt);
  if (placement.has_value() && UsesBarredEngine(*placement, now)) {
    context_.load_tracker.RemoveStream(key_, now);
    SendModel(now);
  } else if (placement.has_value())
    SendPlacement(*placement, now);
  else if (slot.has_value())
    SendToSlot(*slot, now);
  else if (permit_wait_.has_value())
    ContinuePermitWait(now);
  else
    Send(now);
}

void ForwardFlow::RefuseQuota(const QuotaAnswer& answer, TimePoint now) {
  retry_after_ = answer.retry_after;
  if (answer.refusal != QuotaRefusal::kBeyondQuota || runs_ > 0 ||
      stream_started_) {
    GiveUp("quota_unknown", now);
    return;
  }
  Emit(SendOwnResponse{kTooManyRequests, "beyond_quota", answer.retry_after});
  Finish(now);
}

void ForwardFlow::SendPlacement(const ModelPlacement& placement,
                                TimePoint now) {
  if (!AdmitQuota(now)) {
    // The engines stay reserved: the answer takes milliseconds.
    placement_ = placement;
    return;
  }
  const bool has_kv_result = !kv_source_.empty();
  if (has_kv_result || !placement.prefill.has_value()) {
    SendDecode(now);
    return;
  }
  const ServerRecord& prefill = *placement.prefill;
  prefill_backlog_ = placement.prefill_backlog;
  tried_prefill_.push_back(IncarnationOf(prefill));
  SendTo(prefill, SendPart::kPrefill, now);
  context_.load_tracker.SetPrefill(
      key_, {prefill.id, Demand().PrefillTokensAt(prefill.id)}, now);
}

void ForwardFlow::RecordAmountUse(AttemptOutcome outcome) {
  const bool not_run = outcome == AttemptOutcome::kNotConnected ||
                       outcome == AttemptOutcome::kNotRelayed ||
                       outcome == AttemptOutcome::kRefused ||
                       outcome == AttemptOutcome::kWrongServer ||
                       attempt_->connecting;
  amount_used_ = amount_used_ || !not_run;
}

}  // namespace briarlead
