// The part of ForwardFlow that deals with the client account of a request.

#include "briarlead_forward/forward_flow.h"

namespace briarlead {

namespace {

constexpr int kUnauthorized = 401;

}  // namespace

unsigned ForwardFlow::Rank() const {
  return facts_.account == nullptr
             ? route_.rank
             : RankOfAccountRequest(facts_.account->rank, route_.rank);
}

void ForwardFlow::AddAccount(SendToServer& command) const {
  command.has_accounts = table_->accounts() != nullptr;
  command.account = facts_.account;
  command.rank = facts_.account == nullptr
                     ? route_.rank
                     : EnginePriorityOf(facts_.account->rank, route_.rank);
}

SendVerdict ForwardFlow::CheckAccount(TimePoint now) const {
  if (facts_.account == nullptr)
    return SendVerdict::kMaySend;
  return context_.gate.Check(facts_.account->id, facts_.key.digest, now);
}

bool ForwardFlow::RefuseByAccount(TimePoint now) {
  const SendVerdict verdict = CheckAccount(now);
  if (verdict == SendVerdict::kMaySend)
    return false;
  const bool was_sent =
      stream_started_ || run_deliveries_ + prefill_deliveries_ > 0;
  if (verdict == SendVerdict::kKeyUnknown && !was_sent) {
    Emit(SendOwnResponse{kUnauthorized, "key_unknown", {}});
    Finish(now);
    return true;
  }
  retry_after_ = kRetryAfterLeaseEnded;
  GiveUp(
      verdict == SendVerdict::kLeaseEnded ? "key_lease_ended" : "key_unknown",
      now);
  return true;
}

}  // namespace briarlead
