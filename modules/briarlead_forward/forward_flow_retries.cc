// The part of ForwardFlow that counts retries against the retry budget.

#include <utility>

#include "briarlead_forward/forward_flow.h"

namespace briarlead {

bool ForwardFlow::MayRetry(TimePoint now) {
  return route_.repeatable() && runs_ < route_.max_attempts &&
         sends_ < kMaxSends && now < deadline_ &&
         CheckAccount(now) == SendVerdict::kMaySend && ReserveRetries(now);
}

unsigned ForwardFlow::RetriesOfNextSend() const {
  const bool reads_prompt = routed_service_ != nullptr &&
                            routed_service_->engine.has_value() &&
                            kv_source_.empty();
  const unsigned prefills = reads_prompt && prefill_deliveries_ > 0 ? 1 : 0;
  const unsigned runs = run_deliveries_ > 0 ? 1 : 0;
  return prefills + runs;
}

bool ForwardFlow::ReserveRetries(TimePoint now) {
  const unsigned needed = RetriesOfNextSend();
  if (needed <= reserved_retries_)
    return true;
  if (!context_.budget.TryAcquire(service_, needed - reserved_retries_, now))
    return false;
  reserved_retries_ = needed;
  return true;
}

bool ForwardFlow::CountDelivery(SendPart part, TimePoint now) {
  const bool is_retry = DeliveriesOf(part)++ > 0;
  if (!is_retry)
    return false;
  if (reserved_retries_ > 0)
    --reserved_retries_;
  else
    context_.budget.Charge(service_, now);
  return true;
}

void ForwardFlow::UncountDelivery(const Attempt& attempt) {
  --DeliveriesOf(attempt.part);
  reserved_retries_ += attempt.is_retry ? 1 : 0;
}

}  // namespace briarlead
