#include <algorithm>
#include <chrono>
#include <string>

#include "briarlead_dispatch/dispatcher_impl.h"

namespace briarlead {
namespace {

/// Minimum time beyond the expected one after which a prefill is overdue.
constexpr Duration kPrefillSlack = std::chrono::milliseconds(250);
/// Minimum time beyond the expected one after which a transfer is given up.
constexpr Duration kTransferSlack = std::chrono::milliseconds(300);
/// Time after the end of the KV lifetime within which a first token may still
/// arrive.
constexpr Duration kExpirySlack = std::chrono::milliseconds(150);
/// A transfer must begin this long, plus twice its expected duration, before
/// its KV cache expires.
constexpr Duration kFreeSlotMargin = std::chrono::milliseconds(200);
constexpr int kTransferStallFactor = 4;
constexpr Duration kMinRetryAfter = std::chrono::seconds(1);

}  // namespace

void Dispatcher::Impl::Release(ActivePlacement& entry, TimePoint now) {
  ledger_.Release(entry, now);
  queue_.RemoveRunning(entry.placement.customer);
  reserve_.OnSlotFreed(now);
}

void Dispatcher::Impl::CancelOnEngines(const ActivePlacement& entry) {
  const RequestId& request = entry.placement.request;
  if (entry.stage == PlacementStage::kPrefill ||
      entry.stage == PlacementStage::kTransfer)
    commands_.emplace_back(
        CancelOnEngine{entry.prefill_server, request, entry.attempt});
  if (entry.stage != PlacementStage::kQueued)
    commands_.emplace_back(
        CancelOnEngine{entry.decode_server, request, entry.attempt});
}

void Dispatcher::Impl::RepeatGrant(const ActivePlacement& entry) {
  commands_.emplace_back(PlacementGrant{entry.placement.request, entry.attempt,
                                        entry.prefill_server,
                                        entry.decode_server, "repeated"});
}

void Dispatcher::Impl::Requeue(ActivePlacement& entry, TimePoint now) {
  CancelOnEngines(entry);
  Release(entry, now);
  entry.placement.delivered_tokens += entry.attempt_tokens;
  entry.attempt_tokens = 0;
  EstimateCost(entry);
  Queue(entry, now);
}

void Dispatcher::Impl::EndAttempt(ActivePlacement& entry, TimePoint now) {
  Requeue(entry, now);
  if (++entry.failures >= options_.max_attempts)
    Refuse(entry, kMinRetryAfter, "attempts used up");
}

void Dispatcher::Impl::FailAttempt(ActivePlacement& entry,
                                   const BackendServerId& server,
                                   TimePoint now) {
  if (!server.empty())
    health_.OnFailure(server, now);
  EndAttempt(entry, now);
  if (UsableSlots(now) == 0)
    RefuseQueued();
}

std::uint32_t Dispatcher::Impl::UsableSlots(TimePoint now) const {
  bool can_prefill = false;
  for (const PrefillEngine& it : ledger_.prefill_engines())
    can_prefill = can_prefill ||
                  (it.accepts_work && health_.AllowedSlots(it.id, 1, now) > 0);
  if (!can_prefill)
    return 0;
  std::uint32_t slots = 0;
  for (const DecodeEngine& it : ledger_.decode_engines()) {
    if (it.accepts_work)
      slots += health_.AllowedSlots(it.id, it.slots, now);
  }
  return slots;
}

bool Dispatcher::Impl::IsOnProbation() const {
  const auto is_bad = [this](const auto& engine) {
    return !engine.accepts_work || health_.IsOnProbation(engine.id);
  };
  return std::ranges::all_of(ledger_.prefill_engines(), is_bad) ||
         std::ranges::all_of(ledger_.decode_engines(), is_bad);
}

void Dispatcher::Impl::RefuseQueued() {
  for (const std::uint64_t it : table_.QueuedTickets())
    Refuse(*table_.Find(it), kMinRetryAfter, "no engines");
}

void Dispatcher::Impl::SetTimer(const ActivePlacement& entry, TimePoint due) {
  timers_.insert({due, entry.ticket, entry.attempt, entry.stage});
}

void Dispatcher::Impl::SetTransferTimer(ActivePlacement& entry, TimePoint now) {
  entry.overdue = false;
  const Duration longest = options_.kv_lifetime + kExpirySlack;
  if (entry.waits_for_slot) {
    const TimePoint free_slot_at =
        now + options_.kv_lifetime - entry.transfer_time * 2 - kFreeSlotMargin;
    SetTimer(entry, std::max(free_slot_at, now));
    return;
  }
  const Duration expected =
      entry.transfer_time * kTransferStallFactor + kTransferSlack;
  SetTimer(entry, now + std::min(expected, longest));
}

void Dispatcher::Impl::OnStageOverdue(ActivePlacement& entry, TimePoint now) {
  switch (entry.stage) {
    case PlacementStage::kQueued:
      return;
    case PlacementStage::kPrefill: {
      const Duration remaining =
          ledger_.PrefillRemaining(entry.prefill_server, entry.ticket, now);
      const bool first = !entry.overdue;
      entry.overdue = remaining == Duration::zero();
      if (entry.overdue && !first) {
        FailAttempt(entry, entry.prefill_server, now);
        return;
      }
      entry.ready_at = std::max(entry.ready_at, now + remaining);
      SetTimer(entry, now + remaining + kPrefillSlack + entry.prefill_time / 2);
      return;
    }
    case PlacementStage::kTransfer:
      if (entry.waits_for_slot && !entry.overdue) {
        entry.overdue = true;
        FreeSlotFor(entry, now);
        SetTimer(entry, entry.ready_at + options_.kv_lifetime + kExpirySlack);
        return;
      }
      FailAttempt(
          entry, entry.waits_for_slot ? BackendServerId() : entry.decode_server,
          now);
      return;
    case PlacementStage::kDecode:
      if (entry.last_progress_at + options_.decode_stall_limit > now) {
        SetTimer(entry, entry.last_progress_at + options_.decode_stall_limit);
        return;
      }
      FailAttempt(entry, entry.decode_server, now);
      return;
  }
}

void Dispatcher::Impl::RunTimers(TimePoint now) {
  while (!timers_.empty() && timers_.begin()->due <= now) {
    const Timer timer = *timers_.begin();
    timers_.erase(timers_.begin());
    ActivePlacement* entry = table_.Find(timer.ticket);
    if (entry != nullptr && entry->attempt == timer.attempt &&
        entry->stage == timer.stage)
      OnStageOverdue(*entry, now);
  }
}

void Dispatcher::Impl::EndMissingAttempts(const BackendServerId& server,
                                          std::span<const HeldAttempt> held,
                                          TimePoint now) {
  bool ended = false;
  for (const std::uint64_t ticket : table_.TicketsOnServer(server)) {
    ActivePlacement& entry = *table_.Find(ticket);
    if (entry.stage != PlacementStage::kDecode)
      continue;
    const HeldAttempt wanted = {entry.placement.request, entry.attempt};
    if (std::ranges::find(held, wanted) != held.end()) {
      entry.missing_since.reset();
      continue;
    }
    if (!entry.missing_since)
      entry.missing_since = now;
    if (now - *entry.missing_since < options_.orphan_grace)
      continue;
    EndAttempt(entry, now);
    ended = true;
  }
  if (ended)
    StartQueued(now);
}

}  // namespace briarlead
