#include <algorithm>
#include <chrono>
#include <utility>

#include "briarlead_dispatch/dispatcher_impl.h"

namespace briarlead {
namespace {

/// Assumed minimum rate at which decode slots become free.
constexpr double kMinSlotsFreedPerSecond = 0.2;
constexpr std::size_t kPrefixBlocksPerEngine = 4096;
/// Average share of the prefill time during which the reserved decode slot is
/// idle.
constexpr double kSlotShareOfPrefill = 0.3;
/// Weight of prefill time against decode slot time in the service cost, which
/// orders the queue.
constexpr double kPrefillWeight = 0.12;
/// Time between a start and the first token that the cost model does not cover.
constexpr Duration kStartMargin = std::chrono::milliseconds(60);
/// Minimum time beyond the expected one after which a prefill is overdue.
constexpr Duration kPrefillSlack = std::chrono::milliseconds(250);
/// Time within which an interrupted stream counts as on time.
constexpr Duration kResumeWindow = std::chrono::seconds(2);
constexpr Duration kMinRetryAfter = std::chrono::seconds(1);
/// Interval at which a non-empty queue is checked for requests that can start.
constexpr Duration kQueueCheckInterval = std::chrono::milliseconds(20);

}  // namespace

Dispatcher::Impl::Impl(DataCentreId data_centre,
                       ModelId model,
                       const Blackboard& blackboard,
                       const DispatcherOptions& options)
    : data_centre_(std::move(data_centre)),
      model_(std::move(model)),
      blackboard_(blackboard),
      options_(options),
      prefixes_(kPrefixBlocksPerEngine),
      reserve_(options.urgent_confidence),
      orphaned_(options.orphan_grace),
      admission_(options_, ledger_, queue_),
      planner_(options_, ledger_, costs_, health_, prefixes_) {}

ActivePlacement& Dispatcher::Impl::AddEntry(const PlacementRequest& request,
                                            TimePoint now) {
  ActivePlacement& entry = table_.Add(request);
  entry.arrival = now - request.waited;
  EstimateCost(entry);
  return entry;
}

void Dispatcher::Impl::EstimateCost(ActivePlacement& entry) const {
  const PlacementRequest& request = entry.placement;
  const BackendServerId any;
  const Duration prefill =
      costs_.PrefillTime(any, request.prompt_tokens + request.delivered_tokens);
  const double step = costs_.StepSeconds(any);
  entry.cost.prefill_seconds = ToSeconds(prefill);
  entry.cost.slot_seconds = costs_.ExpectedOutput(request) * step +
                            kSlotShareOfPrefill * ToSeconds(prefill);
  const double slots_per_prefill =
      ledger_.TotalSlots() / std::max(1.0, 1.0 * ledger_.PrefillEngineCount());
  entry.cost.service_seconds =
      entry.cost.slot_seconds +
      kPrefillWeight * slots_per_prefill * entry.cost.prefill_seconds;
  entry.latest_start = entry.arrival + request.first_token_target - prefill -
                       FromSeconds(step) - kStartMargin;
}

void Dispatcher::Impl::Queue(ActivePlacement& entry, TimePoint now) {
  entry.stage = PlacementStage::kQueued;
  // A paused late stream is queued as late work again; its lower ticket puts it
  // ahead of newer requests.
  const bool is_late_stream = entry.was_paused && entry.late;
  if (entry.placement.delivered_tokens > 0 && !is_late_stream) {
    entry.latest_start = now + kResumeWindow;
    interrupted_.insert(entry.ticket);
  }
  queue_.Add({entry.ticket, entry.placement.customer, entry.placement.weight,
              entry.placement.rank, entry.cost, entry.latest_start});
}

void Dispatcher::Impl::Enqueue(const PlacementRequest& request, TimePoint now) {
  ActivePlacement* known = table_.Find(request.request);
  if (known != nullptr) {
    auto& delivered = known->placement.delivered_tokens;
    delivered = std::max(delivered, request.delivered_tokens);
    if (known->stage == PlacementStage::kQueued)
      return;
    if (request.last_attempt < known->attempt) {
      RepeatGrant(*known);
      return;
    }
    EndAttempt(*known, now);
    StartQueued(now);
    return;
  }
  ActivePlacement& entry = AddEntry(request, now);
  if (UsableSlots(now) == 0 ||
      (request.rank == Rank::kUrgent && IsOnProbation())) {
    Refuse(entry, kMinRetryAfter, "no engines");
    return;
  }
  if (request.rank == Rank::kUrgent)
    reserve_.OnArrival(entry.latest_start - now, now);
  // A request that has run before was already admitted and is not checked
  // again.
  if (request.delivered_tokens == 0 && request.last_attempt == 0) {
    queue_.MarkLate(now);
    queue_.OnOffered(request.rank, request.customer, entry.cost, now);
    const AdmissionDecision decision = admission_.Decide(entry, now);
    if (!decision.admitted) {
      Refuse(entry, decision.retry_after, decision.reason);
      return;
    }
  }
  Queue(entry, now);
  StartQueued(now);
}

void Dispatcher::Impl::Refuse(ActivePlacement& entry,
                              Duration retry_after,
                              std::string_view reason) {
  commands_.emplace_back(PlacementRefusal{entry.placement.request,
                                          std::max(retry_after, kMinRetryAfter),
                                          std::string(reason)});
  interrupted_.erase(entry.ticket);
  queue_.Remove(entry.ticket);
  table_.Erase(entry.ticket);
}

void Dispatcher::Impl::RemoveEntry(ActivePlacement& entry, TimePoint now) {
  if (entry.stage != PlacementStage::kQueued)
    Release(entry, now);
  interrupted_.erase(entry.ticket);
  queue_.Remove(entry.ticket);
  table_.Erase(entry.ticket);
}

void Dispatcher::Impl::OnPrefillDone(const RequestId& request,
                                     std::uint32_t attempt,
                                     std::uint64_t kv_bytes,
                                     TimePoint now) {
  ActivePlacement* entry = table_.FindAttempt(request, attempt);
  if (entry == nullptr || entry->stage != PlacementStage::kPrefill)
    return;
  ledger_.EndPrefill(*entry, now);
  health_.OnSuccess(entry->prefill_server, now);
  prefixes_.OnCached(entry->prefill_server, entry->placement.prefix_blocks);
  if (entry->prefill_alone)
    costs_.LearnPrefill(entry->prefill_server, entry->prefill_tokens,
                        now - entry->granted_at);
  const std::uint32_t tokens =
      entry->placement.prompt_tokens + entry->placement.delivered_tokens;
  costs_.LearnKvBytes(tokens, kv_bytes);
  if (kv_bytes > 0)
    entry->kv_bytes = kv_bytes;
  entry->stage = PlacementStage::kTransfer;
  entry->ready_at = now;
  SetTransferTimer(*entry, now);
  StartQueued(now);
}

void Dispatcher::Impl::OnFirstToken(const RequestId& request,
                                    std::uint32_t attempt,
                                    TimePoint now) {
  ActivePlacement* entry = table_.FindAttempt(request, attempt);
  if (entry == nullptr || entry->stage == PlacementStage::kDecode)
    return;
  if (entry->stage == PlacementStage::kPrefill)
    ledger_.EndPrefill(*entry, now);
  entry->stage = PlacementStage::kDecode;
  entry->first_token_at = now;
  entry->last_progress_at = now;
  entry->attempt_tokens = 1;
  health_.OnSuccess(entry->decode_server, now);
}

void Dispatcher::Impl::OnProgress(const RequestId& request,
                                  std::uint32_t attempt,
                                  std::uint32_t tokens,
                                  TimePoint now) {
  ActivePlacement* entry = table_.FindAttempt(request, attempt);
  if (entry == nullptr || entry->stage != PlacementStage::kDecode ||
      tokens <= entry->attempt_tokens)
    return;
  entry->attempt_tokens = tokens;
  entry->last_progress_at = now;
  if (entry->reports_progress)
    return;
  entry->reports_progress = true;
  SetTimer(*entry, now + options_.decode_stall_limit);
}

void Dispatcher::Impl::OnFinished(const RequestId& request,
                                  std::uint32_t attempt,
                                  std::uint32_t output_tokens,
                                  TimePoint now) {
  ActivePlacement* entry = table_.FindAttempt(request, attempt);
  if (entry == nullptr)
    return;
  costs_.LearnOutput(entry->placement,
                     entry->placement.delivered_tokens + output_tokens);
  if (entry->stage == PlacementStage::kDecode && output_tokens > 1)
    costs_.LearnSteps(entry->decode_server, output_tokens - 1,
                      now - entry->first_token_at);
  health_.OnSuccess(entry->decode_server, now);
  RemoveEntry(*entry, now);
  StartQueued(now);
}

void Dispatcher::Impl::OnAttemptFailed(const RequestId& request,
                                       std::uint32_t attempt,
                                       FailedStage /*stage*/,
                                       const BackendServerId& server,
                                       TimePoint now) {
  ActivePlacement* entry = table_.FindAttempt(request, attempt);
  if (entry == nullptr)
    return;
  FailAttempt(*entry, server, now);
  StartQueued(now);
}

void Dispatcher::Impl::CancelAndRemove(std::uint64_t ticket, TimePoint now) {
  ActivePlacement* entry = table_.Find(ticket);
  if (entry == nullptr)
    return;
  CancelOnEngines(*entry);
  RemoveEntry(*entry, now);
}

void Dispatcher::Impl::OnCallerGone(const RequestId& request, TimePoint now) {
  const ActivePlacement* entry = table_.Find(request);
  if (entry == nullptr)
    return;
  CancelAndRemove(entry->ticket, now);
  StartQueued(now);
}

void Dispatcher::Impl::OnHostDead(const HostId& host,
                                  std::uint64_t incarnation,
                                  TimePoint now) {
  for (const std::uint64_t it : table_.TicketsOfHost(host, incarnation))
    CancelAndRemove(it, now);
  StartQueued(now);
}

void Dispatcher::Impl::OnReRegister(const InFlightPlacement& in_flight,
                                    TimePoint now) {
  if (table_.Find(in_flight.placement.request) != nullptr)
    return;
  ActivePlacement& entry = AddEntry(in_flight.placement, now);
  if (in_flight.stage == PlacementStage::kQueued) {
    Queue(entry, now);
    StartQueued(now);
    return;
  }
  entry.attempt = in_flight.attempt;
  entry.stage = in_flight.stage;
  entry.prefill_server = in_flight.prefill_server;
  entry.decode_server = in_flight.decode_server;
  entry.prefill_tokens = entry.placement.prompt_tokens;
  entry.kv_bytes = costs_.KvBytes(entry.prefill_tokens);
  entry.memory_bytes = costs_.KvBytes(entry.placement.prompt_tokens +
                                      entry.placement.max_output_tokens);
  entry.prefill_time =
      costs_.PrefillTime(entry.prefill_server, entry.prefill_tokens);
  entry.granted_at = now;
  entry.first_token_at = now;
  entry.last_progress_at = now;
  entry.ready_at = now + entry.prefill_time;
  ledger_.Hold(entry, now);
  queue_.AddRunning(entry.placement.customer);
  if (entry.stage == PlacementStage::kTransfer) {
    entry.waits_for_slot = true;
    SetTransferTimer(entry, now);
  } else if (entry.stage == PlacementStage::kPrefill) {
    SetTimer(entry, entry.ready_at + kPrefillSlack);
  }
}

void Dispatcher::Impl::OnEngineReport(const BackendServerId& server,
                                      std::span<const HeldAttempt> held,
                                      TimePoint now) {
  const auto is_known = [this, &server](const HeldAttempt& it) {
    const ActivePlacement* entry = table_.FindAttempt(it.request, it.attempt);
    return entry != nullptr &&
           (entry->prefill_server == server || entry->decode_server == server);
  };
  for (const HeldAttempt& it : orphaned_.OnReport(server, held, is_known, now))
    commands_.emplace_back(CancelOnEngine{server, it.request, it.attempt});
  EndMissingAttempts(server, held, now);
}

void Dispatcher::Impl::OnCacheEvent(const BackendServerId& server,
                                    std::span<const std::uint64_t> cached,
                                    std::span<const std::uint64_t> evicted) {
  prefixes_.OnCached(server, cached);
  prefixes_.OnEvicted(server, evicted);
}

void Dispatcher::Impl::OnServersChanged(TimePoint now) {
  const auto prefill = blackboard_.servers.ServingEngines(
      data_centre_, model_, BackendServerRole::kPrefill);
  const auto decode = blackboard_.servers.ServingEngines(
      data_centre_, model_, BackendServerRole::kDecode);
  std::map<BackendServerId, std::uint64_t> serving;
  std::vector<BackendServerId> restarted;
  for (const auto* engines : {&prefill, &decode}) {
    for (const BackendServerRecord* it : *engines) {
      serving[it->id] = it->incarnation;
      const auto known = incarnations_.find(it->id);
      const bool has_restarted =
          known != incarnations_.end() && known->second != it->incarnation;
      if (has_restarted)
        restarted.push_back(it->id);
      // Engines that a new dispatcher sees first have not returned after an
      // absence and need no slow start.
      if (had_engines_ && (known == incarnations_.end() || has_restarted))
        health_.OnReturned(it->id, now);
    }
  }
  ledger_.SetEngines(prefill, decode, now);
  incarnations_ = std::move(serving);
  had_engines_ = had_engines_ || !incarnations_.empty();
  for (const BackendServerId& it : restarted) {
    prefixes_.Forget(it);
    for (const std::uint64_t ticket : table_.TicketsOnServer(it))
      EndAttempt(*table_.Find(ticket), now);
  }
  if (UsableSlots(now) == 0)
    RefuseQueued();
  StartQueued(now);
}

void Dispatcher::Impl::Tick(TimePoint now) {
  RunTimers(now);
  StartQueued(now);
}

std::optional<TimePoint> Dispatcher::Impl::NextWake() const {
  std::optional<TimePoint> next;
  if (!timers_.empty())
    next = timers_.begin()->due;
  const bool queued =
      queue_.size(Rank::kUrgent) + queue_.size(Rank::kPatient) > 0;
  if (queued) {
    const TimePoint next_check = last_start_pass_ + kQueueCheckInterval;
    next = next ? std::min(*next, next_check) : next_check;
  }
  return next;
}

std::vector<DispatchCommand> Dispatcher::Impl::TakeCommands() {
  return std::exchange(commands_, {});
}

ShardSummary Dispatcher::Impl::Summary(TimePoint now) const {
  ShardSummary summary;
  summary.data_centre = data_centre_;
  summary.model = model_;
  summary.queued_urgent =
      static_cast<std::uint32_t>(queue_.size(Rank::kUrgent));
  summary.queued_patient =
      static_cast<std::uint32_t>(queue_.size(Rank::kPatient));
  summary.decode_slots = UsableSlots(now);
  summary.free_decode_slots =
      std::min(ledger_.FreeSlots(), summary.decode_slots);
  const double freed_per_second =
      std::max(reserve_.SlotsFreedPerSecond(now), kMinSlotsFreedPerSecond);
  const auto wait = [this, &summary, freed_per_second](Rank rank) {
    PlacementCost cost = queue_.OnTimeCost(rank);
    const PlacementCost late = queue_.LateCost(rank);
    cost.slot_seconds += late.slot_seconds * options_.late_share;
    cost.prefill_seconds += late.prefill_seconds * options_.late_share;
    const std::uint32_t kept = rank == Rank::kUrgent ? 0 : reserve_slots_;
    const Duration next_free = summary.free_decode_slots > kept
                                   ? Duration::zero()
                                   : FromSeconds(1.0 / freed_per_second);
    return next_free +
           RetryAfterForecast::DrainTime(cost, admission_.CapacityOf(rank));
  };
  summary.expected_urgent_wait = wait(Rank::kUrgent);
  summary.expected_patient_wait = wait(Rank::kPatient);
  return summary;
}

}  // namespace briarlead
