// The part of ForwardFlow that deals with engines: placement, waiting and KV
// results.

#include <algorithm>
#include <utility>

#include "briarlead_forward/forward_flow.h"

namespace briarlead {

namespace {

/// Time allowed for a prefill or a first token besides the processing itself.
constexpr Duration kEngineOverhead = std::chrono::milliseconds(150);
/// Factor by which an engine may be slower than expected before it is checked.
constexpr double kEngineSlowdown = 3;
/// Share of a KV result's lifetime in which it may be sent to another engine.
constexpr double kKvReuseShare = 0.7;
/// Slowdown of a prefill on a decode engine that also runs streams.
constexpr double kLocalPrefillSlowdown = 2;
/// Minimum further output expected of a stream that has exceeded its estimate,
/// as a share of the estimate.
constexpr double kMinRemainder = 0.15;

}  // namespace

ModelDemand ForwardFlow::Demand() const {
  const double estimate = context_.output_lengths.Estimate(facts_);
  ModelDemand demand;
  demand.service = service_;
  demand.rank = Rank();
  demand.prompt_tokens = facts_.prompt_tokens + produced_tokens_;
  demand.output_tokens = static_cast<std::uint32_t>(
      std::max(estimate - produced_tokens_, kMinRemainder * estimate));
  demand.target = arrived_ + route_.target_latency;
  demand.prefilled_by = prefilled_by_;
  demand.tokens_since_prefill = produced_tokens_ - tokens_at_prefill_;
  demand.data_centre = context_.owners.data_centre();
  demand.software = software_;
  return demand;
}

std::vector<ServerIncarnation> ForwardFlow::ExcludedEngines(
    TimePoint now) const {
  std::vector<ServerIncarnation> tried = tried_;
  tried.insert(tried.end(), tried_prefill_.begin(), tried_prefill_.end());
  const std::vector<ServerIncarnation> barred = context_.pool.Barred(now);
  tried.insert(tried.end(), barred.begin(), barred.end());
  return tried;
}

void ForwardFlow::SendModel(TimePoint now) {
  if (context_.owners.places_locally())
    PlaceLocally(now);
  else
    AskForEngines(now);
}

void ForwardFlow::RecordSurvival(TimePoint now) {
  if (!attempt_->first_event_at.has_value())
    attempt_->first_event_at = now;
  if (attempt_->survived ||
      now - *attempt_->first_event_at < CrashSuspects::kSurvivalTime) {
    return;
  }
  attempt_->survived = true;
  context_.suspects.OnSurvived(Suspects(), now);
}

void ForwardFlow::AskForEngines(TimePoint now) {
  asking_ = true;
  asked_at_ = now;
  Emit(AskForPlacement{Demand(), ExcludedEngines(now), waiting_});
}

void ForwardFlow::OnPlacement(const ModelPlacer::Answer& answer,
                              TimePoint now) {
  if (done_ || attempt_.has_value() || (!asking_ && !waiting_))
    return;
  HandlePlacement(answer, now);
}

void ForwardFlow::OnNoOwner(TimePoint now) {
  if (!done_ && !attempt_.has_value() && (asking_ || waiting_))
    PlaceLocally(now);
}

void ForwardFlow::PlaceLocally(TimePoint now) {
  const ModelPlacer::Answer answer = context_.placer.Place(
      Demand(), {HostId(), key_}, *routed_service_->engine,
      ExcludedEngines(now), now, context_.random);
  if (answer.placement.has_value()) {
    context_.pool.UsePermit(IncarnationOf(answer.placement->decode), now);
    if (answer.placement->prefill.has_value() && kv_source_.empty())
      context_.pool.UsePermit(IncarnationOf(*answer.placement->prefill), now);
  }
  WantEnginePermit(EngineStage::kPrefill, now);
  WantEnginePermit(EngineStage::kDecode, now);
  HandlePlacement(answer, now);
}

void ForwardFlow::WantEnginePermit(EngineStage stage, TimePoint now) {
  context_.pool.WantPermit({service_, stage, {}}, SendPermits::kPrefetchTime,
                           now);
}

void ForwardFlow::HandlePlacement(const ModelPlacer::Answer& answer,
                                  TimePoint now) {
  asking_ = false;
  if (answer.placement.has_value() &&
      UsesBarredEngine(*answer.placement, now)) {
    // An owner doesn't know what engines said to this host. A new question, as
    // a repeated one would get the same answer.
    asking_ = true;
    asked_at_ = now;
    Emit(AskForPlacement{Demand(), ExcludedEngines(now), false});
    return;
  }
  if (answer.placement.has_value()) {
    StartPlacement(*answer.placement, now);
    return;
  }
  owner_wait_ = answer.expected_wait;
  const bool no_engine = answer.failure == PlacementFailure::kNoEngine;
  if (no_engine && !stream_started_)
    RefuseNoEngine(now);
  else if (no_engine && !VersionIsServed())
    GiveUp("version_gone", now);
  else
    Wait(now);
}

bool ForwardFlow::VersionIsServed() const {
  return context_.pool.HasReady(
      {service_, EngineStage::kDecode, {}, software_});
}

bool ForwardFlow::UsesBarredEngine(const ModelPlacement& placement,
                                   TimePoint now) const {
  const ServerPool& pool = context_.pool;
  return pool.IsBarred(IncarnationOf(placement.decode), now) ||
         (placement.prefill.has_value() &&
          pool.IsBarred(IncarnationOf(*placement.prefill), now));
}

void ForwardFlow::StartPlacement(const ModelPlacement& placement,
                                 TimePoint now) {
  if (RefuseByAccount(now) || RefuseBlockedContent(now))
    return;
  if (placement.decode.software != kv_software_)
    kv_source_.clear();
  // A prompt whose result expired in the queue is read once more.
  if (!ReserveRetries(now)) {
    GiveUp("no_retries_left", now);
    return;
  }
  const ModelDemand demand = Demand();
  if (std::exchange(waiting_, false))
    summary_.waited += now - waiting_since_;
  context_.load_tracker.RemoveWaiting(key_, now);
  decode_ = placement.decode;
  context_.load_tracker.SetStream(
      key_, {decode_->id, demand.prompt_tokens, demand.output_tokens}, now);
  SendPlacement(placement, now);
}

void ForwardFlow::SendDecode(TimePoint now) {
  if (RefuseByAccount(now) || RefuseBlockedContent(now))
    return;
  if (context_.pool.Accepts(*decode_, now)) {
    SendTo(*decode_, SendPart::kWhole, now);
    return;
  }
  // The engine began to leave during the prefill, whose result serves another.
  context_.load_tracker.RemoveStream(key_, now);
  // An owner may not know it yet and would place the request there again.
  tried_.push_back(IncarnationOf(*decode_));
  decode_.reset();
  SendModel(now);
}

Duration ForwardFlow::FirstResponseTime(const ServerRecord& engine,
                                        SendPart part) const {
  double tokens = 0;
  if (part == SendPart::kPrefill) {
    tokens = facts_.prompt_tokens + produced_tokens_ +
             static_cast<double>(prefill_backlog_);
  } else if (kv_source_.empty()) {
    tokens = (facts_.prompt_tokens + produced_tokens_) * kLocalPrefillSlowdown;
  }
  const double speed = context_.load_tracker.speeds().SpeedOf(
      service_, IncarnationOf(engine), SpeedKind::kPrefill,
      ModelPlacer::kPrefillTokensPerSecond);
  return kEngineOverhead + FromSeconds(tokens / speed * kEngineSlowdown);
}

void ForwardFlow::OnSilence(TimePoint now) {
  if (attempt_->server.stage == EngineStage::kNone) {
    OnPlainSilence(now);
    return;
  }
  const bool prefill = attempt_->part == SendPart::kPrefill;
  const bool silent_too_long = now - attempt_->last_received_at >= kMaxSilence;
  attempt_->check_at = now + kCheckInterval;
  if (!silent_too_long || (!prefill && !MayTryAnotherServer())) {
    Emit(CheckServer{attempt_->server});
    return;
  }
  if (prefill) {
    EndAttempt(AttemptOutcome::kTimedOut, "silent", now);
    RetryOrGiveUp(false, now);
    return;
  }
  // Abandon a stream only if another engine has room for it now.
  const bool has_room =
      context_.placer
          .Place(Demand(), {HostId(), key_}, *routed_service_->engine, tried_,
                 now, context_.random)
          .placement.has_value();
  if (has_room)
    TryAnotherServer("silent", now);
}

void ForwardFlow::OnServerDown(const ServerIncarnation& server, TimePoint now) {
  if (done_ || !attempt_ || attempt_->relay.has_value() ||
      IncarnationOf(attempt_->server) != server ||
      now - attempt_->last_received_at < kCheckAfterSilence / 2) {
    return;
  }
  if (attempt_->part == SendPart::kPrefill) {
    EndAttempt(AttemptOutcome::kTimedOut, "server_down", now);
    RetryOrGiveUp(false, now);
    return;
  }
  const AttemptNumber number = attempt_->number;
  if (MayTryAnotherServer())
    TryAnotherServer("server_down", now);
  if (IsCurrent(number))
    EndIfKnownDown(now);
}

void ForwardFlow::EndIfKnownDown(TimePoint now) {
  const TimePoint heard = attempt_->last_received_at;
  const bool is_down =
      context_.pool.IsKnownDown(IncarnationOf(attempt_->server), heard, now);
  if (!is_down || attempt_->server.stage == EngineStage::kNone ||
      now - heard < kCheckAfterSilence) {
    return;
  }
  // It can't run again, and nothing more comes: the caller may try again now.
  AbandonAttempt(AttemptOutcome::kTimedOut, "server_down", now);
  GiveUp("server_down", now);
}

void ForwardFlow::Wait(TimePoint now) {
  if (waiting_)
    return;
  // A stream that has started is not refused: it may resume until the deadline.
  if (!stream_started_ && WaitIsTooLong(now)) {
    RefuseEnginesFull(now);
    return;
  }
  waiting_ = true;
  waiting_since_ = now;
  wait_check_at_ = now + kWaitCheckInterval;
  // Engines that were tried before may have room by then.
  tried_.clear();
  tried_prefill_.clear();
  kv_source_.clear();
  const ModelDemand demand = Demand();
  context_.load_tracker.SetWaiting(key_,
                                   {service_,
                                    demand.rank,
                                    demand.prompt_tokens,
                                    demand.output_tokens,
                                    {},
                                    0,
                                    demand.software},
                                   demand.target, now);
}

Duration ForwardFlow::ExpectedWait(TimePoint now) const {
  return context_.owners.places_locally()
             ? context_.placer.ExpectedWait(Demand(), now)
             : owner_wait_;
}

TimePoint ForwardFlow::LatestWaitEnd() const {
  const ModelDemand demand = Demand();
  const EngineLoadTracker& tracker = context_.load_tracker;
  const Duration first_token =
      FirstTokenTime(demand.prompt_tokens, tracker.PromptSpeed(service_));
  const Duration stream =
      FromSeconds(demand.output_tokens /
                  tracker.speeds().MedianOf(service_, SpeedKind::kStream,
                                            kStreamTokensPerSecond));
  TimePoint end = deadline_ - first_token - stream;
  if (route_.caller_patience > Duration::zero())
    end = std::min(end, arrived_ + route_.caller_patience - first_token);
  return end;
}

bool ForwardFlow::WaitIsTooLong(TimePoint now) const {
  const double left = ToSeconds(LatestWaitEnd() - now);
  return left <= 0 || ToSeconds(ExpectedWait(now)) > kMaxWaitShare * left;
}

void ForwardFlow::CheckWait(TimePoint now) {
  wait_check_at_ = now + kWaitCheckInterval;
  if (RefuseByAccount(now) || RefuseBlockedContent(now))
    return;
  if (!stream_started_ && WaitIsTooLong(now))
    RefuseEnginesFull(now);
  else if (!context_.owners.places_locally() &&
           now - asked_at_ >= kRepeatInterval)
    AskForEngines(now);
  else if (context_.owners.places_locally() &&
           context_.pool.LacksPermit({service_, EngineStage::kDecode, {}}, now))
    PlaceLocally(now);
}

void ForwardFlow::RefuseEnginesFull(TimePoint now) {
  refused_full_ = true;
  retry_after_ = std::clamp(ExpectedWait(now), kMinRetryAfter, kMaxRetryAfter);
  GiveUp("engines_full", now);
}

void ForwardFlow::RefuseNoEngine(TimePoint now) {
  retry_after_ = WantedPause(now).value_or(kRetryAfterNoEngine);
  GiveUp("no_engine", now);
}

void ForwardFlow::OnEnginesChanged(TimePoint now) {
  // Where an owner places the requests, it does so as soon as there is room.
  if (!done_ && waiting_ && context_.owners.places_locally())
    PlaceLocally(now);
}

void ForwardFlow::KeepKvResult(TimePoint now) {
  if (!routed_service_ || !routed_service_->engine || !attempt_)
    return;
  const Duration life = routed_service_->engine->kv_result_life;
  if (ToSeconds(now - prefilled_at_) < ToSeconds(life) * kKvReuseShare)
    kv_source_ = attempt_->kv_source;
}

void ForwardFlow::CountEvents(std::uint32_t events, TimePoint now) {
  if (events == 0 || !routed_service_ || !routed_service_->engine)
    return;
  RecordSurvival(now);
  if (summary_.first_event == Duration::zero())
    summary_.first_event = now - arrived_;
  else
    summary_.longest_gap = std::max(summary_.longest_gap, now - last_event_at_);
  last_event_at_ = now;
  const std::uint32_t tokens =
      events * routed_service_->engine->tokens_per_event;
  produced_tokens_ += tokens;
  context_.load_tracker.AddTokens(key_, tokens, now);
  ObservePace(tokens, now);
}

void ForwardFlow::ObservePrefill(TimePoint now) {
  if (attempt_->relay.has_value())
    return;
  const PlacementOwners& owners = context_.owners;
  const PrefillWork work{
      static_cast<double>(Demand().PrefillTokensAt(attempt_->server.id)),
      static_cast<double>(prefill_backlog_), attempt_->sent_at};
  context_.load_tracker.NotePrefill(
      attempt_->server, work, owners.all_place() || owners.owns_engines(), now);
}

void ForwardFlow::ObservePace(std::uint32_t tokens, TimePoint now) {
  Attempt::Pace& pace = attempt_->pace;
  // The first event also took the transfer of the prefill's result.
  if (!pace.since.has_value()) {
    pace = {now, now, 0};
    return;
  }
  // Up to the event before: the last one of a stream may contain fewer tokens.
  const Duration took = pace.last_event - *pace.since;
  if (took >= kPaceWindow && !attempt_->relay.has_value()) {
    context_.load_tracker.NotePace(attempt_->server, pace.tokens, took, now);
    pace = {pace.last_event, now, 0};
  }
  pace.last_event = now;
  pace.tokens += tokens;
}

void ForwardFlow::RemoveLoad(TimePoint now) {
  waiting_ = false;
  context_.load_tracker.RemoveWaiting(key_, now);
  context_.load_tracker.RemovePrefill(key_, now);
  context_.load_tracker.RemoveStream(key_, now);
}

}  // namespace briarlead
