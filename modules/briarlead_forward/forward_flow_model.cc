// The parts of ForwardFlow that concern engines: placing, waiting, KV results.

#include <algorithm>
#include <utility>

#include "briarlead_forward/forward_flow.h"

namespace briarlead {

namespace {

/// Time that a prefill or a first token may take beyond the work itself.
constexpr Duration kEngineSlack = std::chrono::milliseconds(150);
/// Factor by which an engine may be slower than expected.
constexpr double kEngineSlowness = 3;
/// Share of a KV result's life in which it is sent to another engine.
constexpr double kUsableLife = 0.7;
/// Slowdown of an engine that reads a prompt beside its streams.
constexpr double kOwnPrefillSlowness = 2;
/// Least output that is expected of a stream that has outrun its estimate, as
/// a share of the estimate.
constexpr double kLeastRemainder = 0.15;

Duration PrefillTime(double tokens) {
  return FromSeconds(tokens / ModelPlacer::kPrefillTokensPerSecond);
}

}  // namespace

ModelDemand ForwardFlow::Demand() const {
  const double estimate = context_.outputs.Estimate(facts_);
  ModelDemand demand;
  demand.service = service_;
  demand.rank = route_.rank;
  demand.prompt_tokens = facts_.prompt_tokens + produced_tokens_;
  demand.output_tokens = static_cast<std::uint32_t>(
      std::max(estimate - produced_tokens_, kLeastRemainder * estimate));
  demand.target = arrived_ + route_.target_latency;
  demand.read_by = read_by_;
  demand.unread_tokens = produced_tokens_ - produced_at_prefill_;
  return demand;
}

void ForwardFlow::SendModel(TimePoint now) {
  const ModelDemand demand = Demand();
  const ModelPlacer::Answer answer = context_.placer.Place(
      demand, key_, *service_traits_->engine, tried_, now, context_.random);
  if (!answer.placement.has_value()) {
    if (answer.refusal == PlacementRefusal::kNoEngine && !stream_begun_)
      RefuseWithoutEngine(now);
    else
      Wait(now);
    return;
  }
  if (std::exchange(waiting_, false))
    summary_.waited += now - waiting_since_;
  context_.book.RemoveWaiting(key_, now);
  decode_ = answer.placement->decode;
  context_.book.SetStream(
      key_, {decode_->id, demand.prompt_tokens, demand.output_tokens}, now);
  const bool keeps_result = !kv_source_.empty();
  const std::optional<ServerRecord> prefill =
      tried_prefill_.empty()
          ? answer.placement->prefill
          : context_.placer.ChoosePrefill(demand, tried_prefill_, now,
                                          context_.random);
  if (keeps_result || !prefill.has_value()) {
    SendDecode(now);
    return;
  }
  tried_prefill_.push_back(StartOf(*prefill));
  SendTo(*prefill, SendPart::kPrefill, now);
  context_.book.SetPrefill(
      key_, {prefill->id, demand.TokensToReadAt(prefill->id)}, now);
}

void ForwardFlow::SendDecode(TimePoint now) {
  SendTo(*decode_, SendPart::kWhole, now);
}

Duration ForwardFlow::FirstWordTime(const ServerRecord& server,
                                    SendPart part) const {
  double tokens = 0;
  if (part == SendPart::kPrefill) {
    tokens = facts_.prompt_tokens + produced_tokens_ +
             static_cast<double>(context_.book.PrefillBacklog(server.id));
  } else if (kv_source_.empty()) {
    tokens = (facts_.prompt_tokens + produced_tokens_) * kOwnPrefillSlowness;
  }
  return kEngineSlack +
         FromSeconds(ToSeconds(PrefillTime(tokens)) * kEngineSlowness);
}

void ForwardFlow::OnSilence(TimePoint now) {
  const bool prefill = attempt_->part == SendPart::kPrefill;
  const bool too_long = now - attempt_->heard_at >= kLongestSilence;
  attempt_->check_at = now + kCheckInterval;
  if (!too_long || (!prefill && !MayMoveOn())) {
    Emit(CheckServer{attempt_->server});
    return;
  }
  if (prefill) {
    EndAttempt(AttemptOutcome::kTimedOut, "silent", now);
    RetryOrGiveUp(false, now);
    return;
  }
  // A stream is given up only for a place that is there.
  const bool has_place = context_.placer
                             .Place(Demand(), key_, *service_traits_->engine,
                                    tried_, now, context_.random)
                             .placement.has_value();
  if (has_place)
    MoveOn("silent", now);
}

void ForwardFlow::OnServerDown(const ServerStart& server, TimePoint now) {
  if (done_ || !attempt_ || StartOf(attempt_->server) != server ||
      now - attempt_->heard_at < kCheckAfterSilence / 2) {
    return;
  }
  if (attempt_->part == SendPart::kPrefill) {
    EndAttempt(AttemptOutcome::kTimedOut, "server_down", now);
    RetryOrGiveUp(false, now);
    return;
  }
  if (MayMoveOn())
    MoveOn("server_down", now);
}

void ForwardFlow::Wait(TimePoint now) {
  if (waiting_)
    return;
  // A stream that has begun goes on as long as its caller waits.
  if (!stream_begun_ && WaitIsHopeless(now)) {
    RefuseForRoom(now);
    return;
  }
  waiting_ = true;
  waiting_since_ = now;
  wait_check_at_ = now + kWaitCheckInterval;
  // Engines that were full for this request may have room by then.
  tried_.clear();
  kv_source_.clear();
  const ModelDemand demand = Demand();
  context_.book.SetWaiting(
      key_,
      {service_, demand.rank, demand.prompt_tokens, demand.output_tokens, {}},
      demand.target, now);
}

Duration ForwardFlow::ExpectedWait(TimePoint now) const {
  const ModelDemand demand = Demand();
  WaitingLoad own;
  own.rank = demand.rank;
  own.prompt_tokens = demand.prompt_tokens;
  own.target_left = demand.target - now;
  std::size_t ahead = 1;
  for (const EngineBook::Waiting& it :
       context_.book.WaitingInOrder(service_, now))
    ahead += ServingOrder(it.load) < ServingOrder(own) ? 1 : 0;
  const std::size_t streams =
      std::max<std::size_t>(context_.book.stream_count(), 1);
  const double stream_seconds = demand.output_tokens / kStreamTokensPerSecond;
  return FromSeconds(static_cast<double>(ahead) * stream_seconds /
                     static_cast<double>(streams));
}

TimePoint ForwardFlow::WaitEnd() const {
  const ModelDemand demand = Demand();
  const Duration first_token = FirstTokenTime(demand.prompt_tokens);
  const Duration stream =
      FromSeconds(demand.output_tokens / kStreamTokensPerSecond);
  TimePoint end = deadline_ - first_token - stream;
  if (route_.caller_patience > Duration::zero())
    end = std::min(end, arrived_ + route_.caller_patience - first_token);
  return end;
}

bool ForwardFlow::WaitIsHopeless(TimePoint now) const {
  const double left = ToSeconds(WaitEnd() - now);
  return left <= 0 || ToSeconds(ExpectedWait(now)) > kWaitShare * left;
}

void ForwardFlow::CheckWait(TimePoint now) {
  wait_check_at_ = now + kWaitCheckInterval;
  if (!stream_begun_ && WaitIsHopeless(now))
    RefuseForRoom(now);
}

void ForwardFlow::RefuseForRoom(TimePoint now) {
  refused_full_ = true;
  retry_after_ =
      std::clamp(ExpectedWait(now), kLeastRetryAfter, kMostRetryAfter);
  GiveUp("engines_full", now);
}

void ForwardFlow::RefuseWithoutEngine(TimePoint now) {
  retry_after_ = kRetryAfterNoEngine;
  GiveUp("no_engine", now);
}

void ForwardFlow::OnEnginesChanged(TimePoint now) {
  if (!done_ && waiting_)
    SendModel(now);
}

void ForwardFlow::KeepKvResult(TimePoint now) {
  if (!service_traits_ || !service_traits_->engine || !attempt_)
    return;
  const Duration life = service_traits_->engine->kv_result_life;
  if (ToSeconds(now - prefilled_at_) < ToSeconds(life) * kUsableLife)
    kv_source_ = attempt_->kv_source;
}

void ForwardFlow::NoteEvents(std::uint32_t events, TimePoint now) {
  if (events == 0 || !service_traits_ || !service_traits_->engine)
    return;
  if (summary_.first_event == Duration::zero())
    summary_.first_event = now - arrived_;
  else
    summary_.longest_gap = std::max(summary_.longest_gap, now - last_event_at_);
  last_event_at_ = now;
  const std::uint32_t tokens =
      events * service_traits_->engine->tokens_per_event;
  produced_tokens_ += tokens;
  context_.book.AddTokens(key_, tokens, now);
}

void ForwardFlow::LeaveBook(TimePoint now) {
  waiting_ = false;
  context_.book.RemoveWaiting(key_, now);
  context_.book.RemovePrefill(key_, now);
  context_.book.RemoveStream(key_, now);
}

}  // namespace briarlead
