#include "briarlead_dispatch/admission_control.h"

#include <algorithm>
#include <chrono>

namespace briarlead {
namespace {

constexpr Duration kRetryWithoutEngines = std::chrono::seconds(5);

ServingCapacity Part(const ServingCapacity& whole, double share) {
  return {whole.decode_slots * share, whole.prefill_engines * share};
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
  const double left = std::max(slots - urgent, slots * floor);
  const double share = slots > 0.0 ? left / slots : 0.0;
  return {left, engines * share};
}

Duration AdmissionControl::ExpectedWait(const ActivePlacement& placement,
                                        TimePoint now) const {
  const PlacementRequest& request = placement.placement;
  const Rank rank = request.rank;
  const ServingCapacity whole = CapacityOf(rank);
  const Duration in_rank = RetryAfterForecast::Wait(
      queue_.AheadWithoutFloods(rank, placement.cost, now),
      Part(whole, queue_.ShareWithoutFloods(rank)));
  // Nobody floods: the rank as a whole says more than the little that one
  // customer asked for lately.
  if (!queue_.HasFloods(rank))
    return in_rank;
  const Duration of_customer = RetryAfterForecast::Wait(
      queue_.AheadOfCustomer(rank, request.customer, placement.cost, now),
      Part(whole, queue_.Share(rank, request.customer, request.weight)));
  if (queue_.Floods(rank, request.customer))
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
  if (request.rank == Rank::kPatient && LateBacklogUse(placement.cost) <= 1.0)
    return {};
  return {false, retry_after, "forecast past target"};
}

}  // namespace briarlead
