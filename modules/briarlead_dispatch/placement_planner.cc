#include "briarlead_dispatch/placement_planner.h"

#include <algorithm>
#include <chrono>

namespace briarlead {
namespace {

/// Largest number of pending prefills on a healthy prefill engine.
constexpr std::uint32_t kMaxPendingPrefills = 64;
/// Part of the KV lifetime that a plan leaves unused as a safety margin.
constexpr Duration kKvLifetimeMargin = std::chrono::milliseconds(150);
/// Minimum probability that the reserved slots are free again in time.
constexpr double kReserveConfidence = 0.9;

}  // namespace

std::optional<PlacementPlan> PlacementPlanner::Plan(
    const ActivePlacement& placement,
    const PlanLimits& limits,
    TimePoint now) const {
  PlacementPlan plan;
  const PlacementRequest& request = placement.placement;
  const std::uint32_t tokens = request.prompt_tokens + request.delivered_tokens;
  plan.kv_bytes = costs_.KvBytes(tokens);
  plan.memory_bytes =
      costs_.KvBytes(request.prompt_tokens + request.max_output_tokens);
  if (!ChoosePrefill(placement, limits, now, plan))
    return std::nullopt;
  if (!ChooseDecode(placement, limits, now, plan))
    return std::nullopt;
  return plan;
}

bool PlacementPlanner::ChoosePrefill(const ActivePlacement& placement,
                                     const PlanLimits& limits,
                                     TimePoint now,
                                     PlacementPlan& plan) const {
  const PlacementRequest& request = placement.placement;
  const std::uint32_t tokens = request.prompt_tokens + request.delivered_tokens;
  bool found = false;
  for (const PrefillEngine& it : ledger_.prefill_engines()) {
    if (!it.accepts_work ||
        it.pending.size() >=
            health_.AllowedSlots(it.id, kMaxPendingPrefills, now))
      continue;
    const Duration ahead = ledger_.PrefillAhead(it, request.rank, now);
    if (ahead > limits.max_prefill_ahead)
      continue;
    const std::uint32_t cached = std::min(
        prefixes_.CachedTokens(it.id, request.prefix_blocks), tokens - 1);
    const Duration prefill_time = costs_.PrefillTime(it.id, tokens - cached);
    if (found && now + ahead + prefill_time >= plan.ready_at)
      continue;
    found = true;
    plan.prefill_server = it.id;
    plan.prefill_tokens = tokens - cached;
    plan.prefill_ahead = ahead;
    plan.prefill_time = prefill_time;
    plan.ready_at = now + ahead + prefill_time;
  }
  return found;
}

PlacementPlanner::SlotCount PlacementPlanner::CountSlots(
    const DecodeEngine& engine,
    TimePoint now) const {
  SlotCount count;
  if (engine.accepts_work)
    count.allowed = health_.AllowedSlots(engine.id, engine.slots, now);
  for (const ActivePlacement* it : engine.held) {
    if (it->stage == PlacementStage::kPrefill)
      ++count.in_prefill;
    else
      ++count.past_prefill;
  }
  return count;
}

std::uint32_t PlacementPlanner::FreeSlots(TimePoint now) const {
  std::uint32_t free = 0;
  for (const DecodeEngine& it : ledger_.decode_engines()) {
    const SlotCount count = CountSlots(it, now);
    const std::uint32_t used = count.in_prefill + count.past_prefill;
    free += count.allowed > used ? count.allowed - used : 0;
  }
  return free;
}

bool PlacementPlanner::ChooseDecode(const ActivePlacement& placement,
                                    const PlanLimits& limits,
                                    TimePoint now,
                                    PlacementPlan& plan) const {
  const std::uint32_t shard_free = FreeSlots(now);
  const std::uint32_t reserve_missing =
      limits.reserve + 1 > shard_free ? limits.reserve + 1 - shard_free : 0;
  const DecodeEngine* best = nullptr;
  bool best_is_free = false;
  std::uint32_t best_free_slots = 0;
  for (const DecodeEngine& it : ledger_.decode_engines()) {
    const SlotCount count = CountSlots(it, now);
    if (count.allowed == 0)
      continue;
    const Duration transfer =
        ledger_.TransferTime(it, plan.kv_bytes, plan.ready_at);
    if (!Fits(it, plan, transfer))
      continue;
    const std::uint32_t used = count.in_prefill + count.past_prefill;
    const std::uint32_t free_slots =
        count.allowed > used ? count.allowed - used : 0;
    const bool is_free = free_slots > 0 && reserve_missing == 0;
    if (best != nullptr && (best_is_free || free_slots <= best_free_slots) &&
        !(is_free && (!best_is_free || free_slots > best_free_slots)))
      continue;
    plan.transfer_time = transfer;
    if (!is_free && !SlotsFreeInTime(placement, it, count, limits,
                                     reserve_missing, plan, now))
      continue;
    best = &it;
    best_is_free = is_free;
    best_free_slots = free_slots;
    plan.decode_server = it.id;
    plan.waits_for_slot = free_slots == 0;
  }
  if (best == nullptr)
    return false;
  plan.transfer_time =
      ledger_.TransferTime(*best, plan.kv_bytes, plan.ready_at);
  return true;
}

bool PlacementPlanner::Fits(const DecodeEngine& engine,
                            const PlacementPlan& plan,
                            Duration transfer_time) const {
  const bool memory_free =
      engine.kv_capacity_bytes == 0 || engine.held.empty() ||
      engine.kv_held_bytes + plan.memory_bytes <= engine.kv_capacity_bytes;
  if (!memory_free)
    return false;
  if (transfer_time + kKvLifetimeMargin <= options_.kv_lifetime)
    return true;
  // A cache too large to be transferred in time over a shared link goes when no
  // other transfer uses the link.
  const Duration alone =
      engine.link_bytes_per_second == 0
          ? Duration::zero()
          : FromSeconds(static_cast<double>(plan.kv_bytes) /
                        static_cast<double>(engine.link_bytes_per_second));
  return transfer_time <= alone;
}

bool PlacementPlanner::SlotsFreeInTime(const ActivePlacement& placement,
                                       const DecodeEngine& engine,
                                       const SlotCount& count,
                                       const PlanLimits& limits,
                                       std::uint32_t reserve_missing,
                                       const PlacementPlan& plan,
                                       TimePoint now) const {
  if (limits.confidence > 1.0)
    return false;
  const Duration slack =
      std::max(options_.kv_lifetime - plan.transfer_time - kKvLifetimeMargin,
               Duration::zero());
  TimePoint by = plan.ready_at + slack;
  if (placement.placement.rank == Rank::kUrgent && now < placement.latest_start)
    by = std::min(by, placement.latest_start + (plan.ready_at - now));
  const std::uint32_t wanted = count.in_prefill + count.past_prefill + 1;
  const std::uint32_t needed_slots =
      wanted > count.allowed ? wanted - count.allowed : 0;
  if (needed_slots > limits.max_waiting_for_slot)
    return false;
  if (slot_forecast_.ProbabilityOfFreedSlots(engine, needed_slots, by, now) <
      limits.confidence)
    return false;
  if (reserve_missing == 0)
    return true;
  const std::uint32_t with_reserve = std::max(needed_slots, reserve_missing);
  return slot_forecast_.ProbabilityOfFreedSlots(engine, with_reserve, by,
                                                now) >= kReserveConfidence;
}

}  // namespace briarlead
