// The part of ForwardFlow that deals with slots of plain services' servers that
// a scheduler hands out to all entry hosts.

#include <algorithm>
#include <utility>

#include "briarlead_forward/forward_flow.h"

namespace briarlead {

namespace {

SlotOutcome SlotOutcomeOf(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kServed:
    case AttemptOutcome::kServerError:
      return SlotOutcome::kServed;
    case AttemptOutcome::kRefused:
      return SlotOutcome::kRejected;
    case AttemptOutcome::kWithdrawn:
    case AttemptOutcome::kNotRelayed:
      return SlotOutcome::kUnused;
    default:
      return SlotOutcome::kFailed;
  }
}

}  // namespace

bool ForwardFlow::NeedsSlot() const {
  // Servers that named a limit, and streams that have begun, restrict the
  // servers in ways that the scheduler doesn't know.
  return context_.scheduled_services.contains(service_) &&
         !context_.limits.IsAnyLimited() && !software_.has_value();
}

void ForwardFlow::RequestSlot(TimePoint now) {
  slot_wanted_since_ = now;
  SlotDemand demand;
  demand.service = service_;
  demand.rank = Rank();
  demand.target = arrived_ + route_.target_latency;
  demand.deadline = deadline_;
  demand.data_centre = context_.owners.data_centre();
  demand.excluded = tried_;
  if (facts_.account != nullptr) {
    demand.account = facts_.account->id;
    if (facts_.account->quota.limited())
      demand.weight = facts_.account->quota.rate_per_second;
  }
  Emit(AskForSlot{std::move(demand)});
}

void ForwardFlow::OnSlot(const SlotAnswer& answer, TimePoint now) {
  if (done_ || !slot_wanted_since_.has_value())
    return;
  if (answer.verdict == SlotVerdict::kMustWait)
    return;
  summary_.waited += now - *slot_wanted_since_;
  slot_wanted_since_.reset();
  if (answer.verdict == SlotVerdict::kRefused) {
    refused_full_ = true;
    retry_after_ = std::clamp(answer.next_in, kRetryAfterFull, kMaxRetryAfter);
    GiveUp("service_full", now);
    return;
  }
  const bool may_send =
      answer.server.has_value() && context_.pool.Accepts(*answer.server, now);
  if (!may_send) {
    if (answer.verdict == SlotVerdict::kGranted)
      Emit(ReleaseSlot{SlotOutcome::kUnused});
    SendPlainByChoice(now);
    return;
  }
  SendToSlot(*answer.server, now);
}

void ForwardFlow::SendToSlot(const ServerRecord& server, TimePoint now) {
  // A request that ends gives its slot back.
  if (RefuseByAccount(now) || RefuseBlockedContent(now))
    return;
  if (!AdmitQuota(now)) {
    // The slot stays granted: the answer takes milliseconds.
    slot_server_ = server;
    return;
  }
  has_slot_ = true;
  SendTo(server, SendPart::kWhole, now);
}

void ForwardFlow::OnNoSlotScheduler(TimePoint now) {
  if (done_ || !std::exchange(slot_wanted_since_, std::nullopt).has_value())
    return;
  SendPlainByChoice(now);
}

void ForwardFlow::ReturnSlot(AttemptOutcome outcome) {
  if (std::exchange(has_slot_, false))
    Emit(ReleaseSlot{SlotOutcomeOf(outcome)});
}

}  // namespace briarlead
