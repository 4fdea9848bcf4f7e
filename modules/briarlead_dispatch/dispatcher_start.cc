#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>

#include "briarlead_dispatch/dispatcher_impl.h"

namespace briarlead {
namespace {

constexpr Duration kReserveUpdateInterval = std::chrono::milliseconds(500);
/// A queue that takes longer than this part of its slack goes shortest first.
constexpr double kCrowdedShareOfSlack = 0.5;
constexpr Duration kTypicalPatientSlack = std::chrono::seconds(8);
constexpr Duration kTypicalUrgentSlack = std::chrono::seconds(1);
/// Probability of a slot in time that urgent work starts on.
constexpr double kUrgentConfidence = 0.97;
/// Most slot seconds that late work may be owed.
constexpr double kMaxLateCreditSeconds = 120.0;
constexpr std::size_t kNoCap = std::numeric_limits<std::size_t>::max();
constexpr Duration kUrgentPrefillAhead = std::chrono::seconds(10);

}  // namespace

void Dispatcher::Impl::Pump(TimePoint now) {
  pumped_at_ = now;
  queue_.SetLateApart(now);
  GiveUpLateUrgent(now);
  UpdateOrder(now);
  while (StartOne(now)) {
  }
}

void Dispatcher::Impl::GiveUpLateUrgent(TimePoint now) {
  while (const auto ticket = queue_.NextLate(Rank::kUrgent)) {
    ActivePlacement& entry = *table_.Find(*ticket);
    const double limit = options_.urgent_late_limit *
                         ToSeconds(entry.placement.first_token_target);
    if (entry.placement.delivered_tokens > 0 ||
        ToSeconds(now - entry.arrival) < limit)
      return;
    const Duration wait = RetryAfterForecast::DrainTime(
        queue_.OnTimeCost(Rank::kUrgent), admission_.CapacityOf(Rank::kUrgent));
    Refuse(entry,
           RetryAfterForecast::RetryAfter(wait, Duration::zero(), entry.ticket),
           "too late to be of use");
  }
}

void Dispatcher::Impl::UpdateOrder(TimePoint now) {
  for (const Rank rank : kRanks) {
    const Duration slack =
        rank == Rank::kUrgent ? kTypicalUrgentSlack : kTypicalPatientSlack;
    const Duration drain = RetryAfterForecast::DrainTime(
        queue_.OnTimeCost(rank), admission_.CapacityOf(rank));
    queue_.SetShortestFirst(
        rank, ToSeconds(drain) > kCrowdedShareOfSlack * ToSeconds(slack));
  }
  if (now - reserve_updated_ < kReserveUpdateInterval)
    return;
  reserve_updated_ = now;
  const auto limit = static_cast<std::uint32_t>(
      std::floor(options_.max_urgent_reserve * ledger_.TotalSlots()));
  reserve_slots_ = reserve_.Slots(limit, now);
}

bool Dispatcher::Impl::PatientBelowFloor() const {
  const double floor = options_.patient_floor * ledger_.TotalSlots();
  return ledger_.HeldSlots(Rank::kPatient) + 1 <= floor;
}

std::size_t Dispatcher::Impl::CustomerCap() const {
  if (queue_.ActiveCustomers() < 2)
    return kNoCap;
  const double cap = options_.customer_cap * ledger_.TotalSlots();
  return std::max<std::size_t>(static_cast<std::size_t>(cap), 1);
}

PlanLimits Dispatcher::Impl::UrgentLimits(std::uint32_t reserve) const {
  return {reserve, kUrgentConfidence, kUrgentPrefillAhead};
}

PlanLimits Dispatcher::Impl::PatientLimits(std::uint32_t reserve) const {
  return {reserve, options_.overlap_confidence, options_.prefill_lookahead};
}

bool Dispatcher::Impl::StartOne(TimePoint now) {
  if (StartResumed(now))
    return true;
  if (PatientBelowFloor() && (StartPatient(0, now) || StartLate(true, now)))
    return true;
  if (StartUrgent(now))
    return true;
  if (StartLate(false, now))
    return true;
  if (StartPatient(reserve_slots_, now))
    return true;
  const bool on_time_waits =
      queue_.NextOnTime(Rank::kPatient, kNoCap, now).has_value() ||
      queue_.NextOnTime(Rank::kUrgent, kNoCap, now).has_value();
  return !on_time_waits && StartLate(true, now);
}

bool Dispatcher::Impl::StartResumed(TimePoint now) {
  for (const std::uint64_t it : resumed_) {
    if (TryStart(it, UrgentLimits(0), "resumed", now))
      return true;
  }
  return false;
}

bool Dispatcher::Impl::StartUrgent(TimePoint now) {
  const auto within_cap = queue_.NextOnTime(Rank::kUrgent, CustomerCap(), now);
  if (within_cap)
    return TryStart(*within_cap, UrgentLimits(0), "urgent", now);
  const auto over_cap = queue_.NextOnTime(Rank::kUrgent, kNoCap, now);
  return over_cap && TryStart(*over_cap, UrgentLimits(reserve_slots_),
                              "urgent over cap", now);
}

bool Dispatcher::Impl::StartPatient(std::uint32_t reserve, TimePoint now) {
  auto ticket = queue_.NextOnTime(Rank::kPatient, CustomerCap(), now);
  if (!ticket)
    ticket = queue_.NextOnTime(Rank::kPatient, kNoCap, now);
  return ticket && TryStart(*ticket, PatientLimits(reserve), "patient", now);
}

bool Dispatcher::Impl::StartLate(bool spare, TimePoint now) {
  for (const Rank rank : kRanks) {
    const auto ticket = queue_.NextLate(rank);
    if (!ticket)
      continue;
    const double cost = table_.Find(*ticket)->cost.slot_seconds;
    if (!spare && late_credit_seconds_ < cost)
      continue;
    if (!TryStart(*ticket, PatientLimits(reserve_slots_), "late", now))
      return false;
    if (!spare)
      late_credit_seconds_ -= cost;
    return true;
  }
  return false;
}

bool Dispatcher::Impl::TryStart(std::uint64_t ticket,
                                const PlanLimits& limits,
                                std::string_view why,
                                TimePoint now) {
  ActivePlacement& entry = *table_.Find(ticket);
  const auto plan = planner_.Plan(entry, limits, now);
  if (!plan)
    return false;
  Grant(entry, *plan, why, now);
  return true;
}

void Dispatcher::Impl::Grant(ActivePlacement& entry,
                             const PlacementPlan& plan,
                             std::string_view why,
                             TimePoint now) {
  queue_.Start(entry.ticket);
  resumed_.erase(entry.ticket);
  if (entry.placement.rank == Rank::kUrgent)
    reserve_.OnStarted(now <= entry.latest_start);
  if (now <= entry.latest_start)
    late_credit_seconds_ = std::min(
        late_credit_seconds_ + options_.late_share * entry.cost.slot_seconds,
        kMaxLateCreditSeconds);
  ++entry.attempt;
  entry.stage = PlacementStage::kPrefill;
  entry.prefill_server = plan.prefill_server;
  entry.decode_server = plan.decode_server;
  entry.prefill_tokens = plan.prefill_tokens;
  entry.kv_bytes = plan.kv_bytes;
  entry.memory_bytes = plan.memory_bytes;
  entry.prefill_alone = plan.prefill_ahead == Duration::zero();
  entry.waits_for_slot = plan.waits_for_slot;
  entry.prefill_time = plan.prefill_time;
  entry.transfer_time = plan.transfer_time;
  entry.granted_at = now;
  entry.ready_at = plan.ready_at;
  entry.overdue = false;
  entry.attempt_tokens = 0;
  entry.reports_progress = false;
  ledger_.Hold(entry, now);
  queue_.Hold(entry.placement.customer);
  Arm(entry, plan.ready_at + FromSeconds(0.25) + plan.prefill_time / 2);
  commands_.emplace_back(
      PlacementGrant{entry.placement.request, entry.attempt,
                     entry.prefill_server, entry.decode_server,
                     fmt::format("{}: waited_ms={} free_slots={} reserve={}{}",
                                 why, (now - entry.arrival).count() / 1000,
                                 ledger_.FreeSlots(), reserve_slots_,
                                 plan.waits_for_slot ? " slot_expected" : "")});
}

}  // namespace briarlead
