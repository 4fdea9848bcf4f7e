#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>

#include "briarlead_dispatch/dispatcher_impl.h"

namespace briarlead {
namespace {

constexpr Duration kReserveUpdateInterval = std::chrono::milliseconds(500);
/// An urgent request may pause a stream when it must start within this time.
constexpr Duration kUrgentPauseWindow = std::chrono::milliseconds(800);
/// Streams with fewer tokens are not paused, since one long gap would weigh too
/// much in so short a stream.
constexpr double kMinTokensBeforePause = 24.0;
/// Share of the prefill time that may be spent on prefilling paused streams
/// again, and the largest credit that can accumulate.
constexpr double kPauseShare = 0.05;
constexpr double kMaxPauseCreditSeconds = 4.0;
/// Pause credit below which slots are kept free for urgent work, because
/// pausing a stream may not be possible.
constexpr double kMinCreditWithoutReserve = 0.5;
/// Pause credit from which a patient prefill may start before a slot is free.
constexpr double kMinCreditForEarlyStart = 1.5;
/// Probability of a slot in time with which urgent work may start.
constexpr double kUrgentConfidence = 0.97;
/// Largest credit for late work, in slot seconds.
constexpr double kMaxLateCreditSeconds = 120.0;
constexpr std::size_t kNoCap = std::numeric_limits<std::size_t>::max();
constexpr Duration kMaxUrgentPrefillAhead = std::chrono::seconds(10);

}  // namespace

void Dispatcher::Impl::StartQueued(TimePoint now) {
  last_start_pass_ = now;
  queue_.MarkLate(now);
  RefuseTooLateUrgent(now);
  UpdateReserve(now);
  while (StartNext(now)) {
  }
}

void Dispatcher::Impl::RefuseTooLateUrgent(TimePoint now) {
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

void Dispatcher::Impl::UpdateReserve(TimePoint now) {
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
  if (queue_.KnownCustomerCount() < 2)
    return kNoCap;
  const double cap = options_.customer_cap * ledger_.TotalSlots();
  return std::max<std::size_t>(static_cast<std::size_t>(cap), 1);
}

PlanLimits Dispatcher::Impl::UrgentLimits(std::uint32_t reserve) const {
  PlanLimits limits = {reserve, kUrgentConfidence, kMaxUrgentPrefillAhead};
  limits.max_waiting_for_slot = 0;
  return limits;
}

PlanLimits Dispatcher::Impl::PatientLimits(std::uint32_t reserve) const {
  const std::uint32_t kept =
      pause_credit_seconds_ < kMinCreditWithoutReserve ? reserve : 0;
  PlanLimits limits = {kept, options_.overlap_confidence,
                       options_.prefill_lookahead};
  limits.max_waiting_for_slot =
      pause_credit_seconds_ < kMinCreditForEarlyStart ? 0 : 1;
  return limits;
}

bool Dispatcher::Impl::StartNext(TimePoint now) {
  if (StartInterrupted(now))
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
      queue_.NextOnTime(Rank::kPatient, kNoCap).has_value() ||
      queue_.NextOnTime(Rank::kUrgent, kNoCap).has_value();
  return !on_time_waits && StartLate(true, now);
}

bool Dispatcher::Impl::StartInterrupted(TimePoint now) {
  for (const std::uint64_t it : interrupted_) {
    if (TryStart(it, UrgentLimits(0), "resumed", now))
      return true;
  }
  return false;
}

bool Dispatcher::Impl::StartUrgent(TimePoint now) {
  const auto within_cap = queue_.NextOnTime(Rank::kUrgent, CustomerCap());
  if (within_cap) {
    if (TryStart(*within_cap, UrgentLimits(0), "urgent", now))
      return true;
    return PauseForUrgent(*table_.Find(*within_cap), now) &&
           TryStart(*within_cap, UrgentLimits(0), "urgent, paused a stream",
                    now);
  }
  const auto over_cap = queue_.NextOnTime(Rank::kUrgent, kNoCap);
  return over_cap && TryStart(*over_cap, UrgentLimits(reserve_slots_),
                              "urgent over cap", now);
}

ActivePlacement* Dispatcher::Impl::ChooseStreamToPause(
    const BackendServerId& server,
    TimePoint now) {
  const ActivePlacement* best = nullptr;
  for (const DecodeEngine& engine : ledger_.decode_engines()) {
    if (!engine.accepts_work || (!server.empty() && engine.id != server))
      continue;
    for (const ActivePlacement* it : engine.held) {
      if (it->stage != PlacementStage::kDecode || it->was_paused ||
          it->placement.rank != Rank::kPatient)
        continue;
      const double age = ToSeconds(now - it->first_token_at);
      if (age < kMinTokensBeforePause * costs_.StepSeconds(engine.id))
        continue;
      if (best == nullptr ||
          it->placement.prompt_tokens < best->placement.prompt_tokens)
        best = it;
    }
  }
  if (best == nullptr || best->cost.prefill_seconds > pause_credit_seconds_)
    return nullptr;
  return table_.Find(best->ticket);
}

void Dispatcher::Impl::Pause(ActivePlacement& stream, TimePoint now) {
  pause_credit_seconds_ -= stream.cost.prefill_seconds;
  stream.was_paused = true;
  Requeue(stream, now);
}

bool Dispatcher::Impl::PauseForUrgent(const ActivePlacement& urgent,
                                      TimePoint now) {
  if (urgent.latest_start > now + kUrgentPauseWindow || PatientBelowFloor())
    return false;
  ActivePlacement* stream = ChooseStreamToPause(BackendServerId(), now);
  if (stream == nullptr)
    return false;
  Pause(*stream, now);
  return true;
}

bool Dispatcher::Impl::IsOverCapacity(
    const BackendServerId& decode_server) const {
  for (const DecodeEngine& it : ledger_.decode_engines()) {
    if (it.id == decode_server)
      return it.held.size() > it.slots;
  }
  return false;
}

void Dispatcher::Impl::FreeSlotFor(const ActivePlacement& waiting,
                                   TimePoint now) {
  if (!IsOverCapacity(waiting.decode_server))
    return;
  ActivePlacement* stream = ChooseStreamToPause(waiting.decode_server, now);
  if (stream != nullptr)
    Pause(*stream, now);
}

bool Dispatcher::Impl::StartPatient(std::uint32_t reserve, TimePoint now) {
  auto ticket = queue_.NextOnTime(Rank::kPatient, CustomerCap());
  if (!ticket)
    ticket = queue_.NextOnTime(Rank::kPatient, kNoCap);
  if (!ticket)
    return false;
  const PlanLimits limits = PatientLimits(reserve);
  if (TryStart(*ticket, limits, "patient", now))
    return true;
  return PauseLateFor(*table_.Find(*ticket), limits, now) &&
         TryStart(*ticket, limits, "patient, paused a late stream", now);
}

bool Dispatcher::Impl::PauseLateFor(const ActivePlacement& on_time,
                                    const PlanLimits& limits,
                                    TimePoint now) {
  if (!planner_.HasPrefillCapacity(on_time, limits, now))
    return false;
  const ActivePlacement* best = nullptr;
  for (const DecodeEngine& engine : ledger_.decode_engines()) {
    if (!engine.accepts_work)
      continue;
    for (const ActivePlacement* it : engine.held) {
      if (!it->preemptible || it->stage != PlacementStage::kDecode)
        continue;
      if (best == nullptr || it->first_token_at > best->first_token_at)
        best = it;
    }
  }
  if (best == nullptr)
    return false;
  ActivePlacement& stream = *table_.Find(best->ticket);
  stream.was_paused = true;
  stream.preemptible = false;
  Requeue(stream, now);
  return true;
}

bool Dispatcher::Impl::StartLate(bool spare_capacity, TimePoint now) {
  for (const Rank rank : kRanks) {
    const auto ticket = queue_.NextLate(rank);
    if (!ticket)
      continue;
    const double cost = table_.Find(*ticket)->cost.slot_seconds;
    if (!spare_capacity && late_credit_seconds_ < cost)
      continue;
    if (!TryStart(*ticket, PatientLimits(reserve_slots_), "late", now))
      return false;
    if (!spare_capacity)
      late_credit_seconds_ -= cost;
    ActivePlacement& started = *table_.Find(*ticket);
    started.preemptible =
        spare_capacity && !started.was_paused && rank == Rank::kPatient;
    return true;
  }
  return false;
}

bool Dispatcher::Impl::TryStart(std::uint64_t ticket,
                                const PlanLimits& limits,
                                std::string_view reason,
                                TimePoint now) {
  ActivePlacement& entry = *table_.Find(ticket);
  const auto plan = planner_.Plan(entry, limits, now);
  if (!plan)
    return false;
  Grant(entry, *plan, reason, now);
  return true;
}

void Dispatcher::Impl::Grant(ActivePlacement& entry,
                             const PlacementPlan& plan,
                             std::string_view reason,
                             TimePoint now) {
  queue_.Start(entry.ticket);
  interrupted_.erase(entry.ticket);
  if (entry.placement.rank == Rank::kUrgent)
    reserve_.OnStarted(now <= entry.latest_start);
  if (now <= entry.latest_start)
    late_credit_seconds_ = std::min(
        late_credit_seconds_ + options_.late_share * entry.cost.slot_seconds,
        kMaxLateCreditSeconds);
  pause_credit_seconds_ =
      std::min(pause_credit_seconds_ + kPauseShare * entry.cost.prefill_seconds,
               kMaxPauseCreditSeconds);
  if (entry.placement.delivered_tokens == 0)
    entry.late = now > entry.latest_start;
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
  entry.missing_since.reset();
  ledger_.Hold(entry, now);
  queue_.AddRunning(entry.placement.customer);
  SetTimer(entry, plan.ready_at + FromSeconds(0.25) + plan.prefill_time / 2);
  commands_.emplace_back(
      PlacementGrant{entry.placement.request, entry.attempt,
                     entry.prefill_server, entry.decode_server,
                     fmt::format("{}: waited_ms={} free_slots={} reserve={}{}",
                                 reason, (now - entry.arrival).count() / 1000,
                                 ledger_.FreeSlots(), reserve_slots_,
                                 plan.waits_for_slot ? " slot_expected" : "")});
}

}  // namespace briarlead
