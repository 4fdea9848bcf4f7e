#include "briarlead_dispatch/admission_control.h"

#include <algorithm>
#include <chrono>

namespace briarlead {
namespace {

constexpr Duration kRetryWithoutEngines = std::chrono::seconds(5);

}  // namespace

ServingCapacity AdmissionControl::CapacityOf(Rank rank) const {
  const double slots = ledger_.TotalSlots();
  const double engines = ledger_.PrefillEngineCount();
  const double floor = options_.patient_floor;
  if (rank == Rank::kUrgent) {
    const double share = queue_.size(Rank::kPatient) > 0 ? 1.0 - floor : 1.0;
    return {slots * share, engines * share};
  }
  const double urgent = ledger_.HeldSlots(Rank::kUrgent);
  const double left = std::max(slots - urgent, slots * floor);
  const double share = slots > 0.0 ? left / slots : 0.0;
  return {left, engines * share};
}

Duration AdmissionControl::ExpectedWait(const ActivePlacement& placement,
                                        TimePoint now) const {
  const PlacementRequest& request = placement.placement;
  const ServingCapacity capacity = CapacityOf(request.rank);
  const double share =
      queue_.Share(request.rank, request.customer, request.weight);
  const ServingCapacity own = {capacity.decode_slots * share,
                               capacity.prefill_engines * share};
  const WorkAhead of_customer = queue_.AheadOfCustomer(
      request.rank, request.customer, placement.cost, now);
  const WorkAhead in_rank =
      queue_.AheadInRank(request.rank, placement.cost, now);
  return std::min(RetryAfterForecast::Wait(of_customer, own),
                  RetryAfterForecast::Wait(in_rank, capacity));
}

bool AdmissionControl::LateBacklogHasRoom(
    const ActivePlacement& placement) const {
  PlacementCost late = queue_.LateCost(Rank::kPatient);
  late.slot_seconds += placement.cost.slot_seconds;
  late.prefill_seconds += placement.cost.prefill_seconds;
  ServingCapacity capacity = CapacityOf(Rank::kPatient);
  capacity.decode_slots *= options_.late_share;
  capacity.prefill_engines *= options_.late_share;
  return RetryAfterForecast::DrainTime(late, capacity) <=
         options_.late_backlog_limit;
}

AdmissionVerdict AdmissionControl::Judge(const ActivePlacement& placement,
                                         TimePoint now) const {
  const PlacementRequest& request = placement.placement;
  if (ledger_.TotalSlots() == 0 || ledger_.PrefillEngineCount() == 0)
    return {false, kRetryWithoutEngines, "no engines"};
  const Duration slack = placement.latest_start - now;
  const Duration limit =
      FromSeconds(ToSeconds(slack) * options_.admission_margin);
  const Duration wait = ExpectedWait(placement, now);
  const Duration retry_after =
      RetryAfterForecast::RetryAfter(wait, limit, placement.ticket);
  if (queue_.size(request.rank) >= options_.max_queued_per_rank)
    return {false, retry_after, "queue full"};
  if (queue_.size(request.rank, request.customer) >=
      options_.max_queued_per_customer)
    return {false, retry_after, "customer's queue full"};
  if (wait <= limit)
    return {};
  if (request.rank == Rank::kPatient && LateBacklogHasRoom(placement))
    return {};
  return {false, retry_after, "forecast past target"};
}

}  // namespace briarlead
