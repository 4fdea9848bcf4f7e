#include "briarlead_dispatch/admission_control.h"

#include <algorithm>
#include <chrono>

namespace briarlead {
namespace {

constexpr Duration kRetryWithoutEngines = std::chrono::seconds(5);

ServingCapacity Scaled(const ServingCapacity& capacity, double share) {
  return {capacity.decode_slots * share, capacity.prefill_engines * share};
}

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
  const double available = std::max(slots - urgent, slots * floor);
  const double share = slots > 0.0 ? available / slots : 0.0;
  return {available, engines * share};
}

Duration AdmissionControl::ExpectedWait(const ActivePlacement& placement,
                                        TimePoint now) const {
  const PlacementRequest& request = placement.placement;
  const Rank rank = request.rank;
  const ServingCapacity capacity = CapacityOf(rank);
  const Duration in_rank = RetryAfterForecast::Wait(
      queue_.AheadWithoutFlooding(rank, placement.cost, now),
      Scaled(capacity, queue_.ShareWithoutFlooding(rank)));
  // Without a flooding customer the state of the whole rank is the better
  // basis: one customer alone offers too few requests for a forecast.
  if (!queue_.HasFlooding(rank))
    return in_rank;
  const Duration of_customer = RetryAfterForecast::Wait(
      queue_.AheadOfCustomer(rank, request.customer, placement.cost, now),
      Scaled(capacity, queue_.Share(rank, request.customer, request.weight)));
  if (queue_.IsFlooding(rank, request.customer))
    return of_customer;
  return std::min(in_rank, of_customer);
}

double AdmissionControl::LateBacklogUse(const PlacementCost& added) const {
  PlacementCost late = queue_.LateCost(Rank::kPatient);
  late.slot_seconds += added.slot_seconds;
  late.prefill_seconds += added.prefill_seconds;
  ServingCapacity capacity = CapacityOf(Rank::kPatient);
  capacity.decode_slots *= options_.late_share;
  capacity.prefill_engines *= options_.late_share;
  return ToSeconds(RetryAfterForecast::DrainTime(late, capacity)) /
         ToSeconds(options_.late_backlog_limit);
}

AdmissionDecision AdmissionControl::Decide(const ActivePlacement& placement,
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
  if (request.rank == Rank::kPatient && LateBacklogUse(placement.cost) <= 1.0)
    return {};
  return {false, retry_after, "forecast past target"};
}

}  // namespace briarlead
