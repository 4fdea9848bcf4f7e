#include "briarlead_forward/model_placer.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace briarlead {

namespace {

/// Random cost that decides between equal engines.
constexpr double kTieBreakSpread = 0.01;

WaitingLoad AsWaiting(const ModelDemand& demand, TimePoint now) {
  WaitingLoad load;
  load.rank = demand.rank;
  load.prompt_tokens = demand.prompt_tokens;
  load.target_left = demand.target - now;
  load.software = demand.software;
  return load;
}

}  // namespace

std::uint64_t ModelPlacer::PeakTokens(std::vector<StreamLoad> streams,
                                      const StreamLoad& added) {
  streams.push_back(added);
  std::sort(streams.begin(), streams.end(),
            [](const StreamLoad& left, const StreamLoad& right) {
              return left.tokens_remaining < right.tokens_remaining;
            });
  std::uint64_t held = 0;
  for (const StreamLoad& it : streams)
    held += it.tokens_held;
  // Between two ends all streams grow, so the peak is at the end of a stream.
  std::uint64_t peak = held;
  std::uint64_t steps = 0;
  for (std::size_t i = 0; i < streams.size(); ++i) {
    const std::uint64_t more = streams[i].tokens_remaining - steps;
    held += more * (streams.size() - i);
    steps = streams[i].tokens_remaining;
    peak = std::max(peak, held);
    held -= streams[i].tokens_held + steps;
  }
  return peak;
}

bool ModelPlacer::Suits(const Candidate& candidate,
                        const std::optional<SoftwareVersion>& software) {
  return !software.has_value() || candidate.server.software == *software;
}

std::optional<std::size_t> ModelPlacer::FindRoom(
    std::span<const Candidate> candidates,
    const Need& need,
    const EngineTraits& traits) {
  const double capacity = static_cast<double>(traits.kv_token_capacity);
  std::optional<std::size_t> best;
  std::pair<bool, double> best_cost;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const Candidate& it = candidates[i];
    if (it.streams.size() >= traits.slots || !Suits(it, need.software))
      continue;
    const double peak =
        static_cast<double>(PeakTokens(it.streams, need.load)) / capacity;
    // A request that exceeds the memory of an empty engine is placed all the
    // same: the engine itself refuses it.
    if (peak > kMemoryShare && !it.streams.empty())
      continue;
    const double fill =
        peak + it.jitter - it.pace_bonus -
        (it.server.data_centre == need.data_centre ? kLocalDataCentreBonus : 0);
    const std::pair cost(it.first_event > need.first_event_within, fill);
    if (!best.has_value() || cost < best_cost) {
      best = i;
      best_cost = cost;
    }
  }
  return best;
}

std::vector<ModelPlacer::Candidate> ModelPlacer::Candidates(
    const ServiceId& service,
    const EngineTraits& traits,
    std::span<const ServerIncarnation> excluded,
    TimePoint now,
    RandomSource& random) const {
  std::vector<Candidate> candidates;
  const EngineSpeeds& speeds = load_tracker_.speeds();
  const double median = speeds.MedianOf(service, SpeedKind::kStream, 0);
  const ServerQuery query{service, EngineStage::kDecode, excluded};
  auto streams = load_tracker_.StreamsByEngine();
  for (ServerRecord& it : pool_.Usable(query, now)) {
    std::vector<StreamLoad>& on_engine = streams[it.id];
    const ServerIncarnation id = IncarnationOf(it);
    candidates.push_back(
        {std::move(it), std::move(on_engine), random.Unit() * kTieBreakSpread});
    if (median <= 0)
      continue;
    const double pace = speeds.SpeedOf(service, id, SpeedKind::kStream, median);
    candidates.back().pace_bonus =
        kPaceBonus * std::clamp(std::log2(pace / median), -1.0, 1.0);
    candidates.back().first_event = FromSeconds(traits.tokens_per_event / pace);
  }
  return candidates;
}

PlacementFailure ModelPlacer::FailureWithoutCandidate(
    const ModelDemand& demand,
    std::span<const ServerIncarnation> excluded,
    TimePoint now) const {
  const ServerQuery query{demand.service, EngineStage::kDecode, excluded,
                          demand.software};
  return pool_.LacksPermit(query, now) ? PlacementFailure::kMustWait
                                       : PlacementFailure::kNoEngine;
}

ModelPlacement ModelPlacer::Complete(
    const ServerRecord& decode,
    const ModelDemand& demand,
    std::span<const ServerIncarnation> excluded,
    TimePoint now,
    RandomSource& random) const {
  ModelPlacement placement;
  placement.decode = decode;
  // An engine can't go on from what one of another version wrote.
  ModelDemand prefill_demand = demand;
  prefill_demand.software = decode.software;
  placement.prefill = ChoosePrefill(prefill_demand, excluded, now, random);
  if (placement.prefill.has_value())
    placement.prefill_backlog =
        load_tracker_.PrefillBacklog(placement.prefill->id);
  return placement;
}

ModelPlacer::Answer ModelPlacer::Place(
    const ModelDemand& demand,
    const HostRequest& request,
    const EngineTraits& traits,
    std::span<const ServerIncarnation> excluded,
    TimePoint now,
    RandomSource& random) const {
  Answer answer;
  std::vector<Candidate> candidates =
      Candidates(demand.service, traits, excluded, now, random);
  const bool any_suits =
      std::any_of(candidates.begin(), candidates.end(),
                  [&](const auto& it) { return Suits(it, demand.software); });
  if (!any_suits) {
    answer.failure = FailureWithoutCandidate(demand, excluded, now);
    return answer;
  }
  const double speed = load_tracker_.PromptSpeed(demand.service);
  const ServingOrderKey own = ServingOrder(AsWaiting(demand, now), speed);
  // Tentatively place the requests that come first in the queue.
  for (const EngineLoadTracker::Waiting& it :
       load_tracker_.WaitingInOrder(demand.service, now)) {
    if (it.request == request || own <= ServingOrder(it.load, speed))
      break;
    const StreamLoad load{{}, it.load.prompt_tokens, it.load.output_tokens};
    const auto room = FindRoom(
        candidates, {load, it.load.software, demand.data_centre}, traits);
    if (room.has_value()) {
      candidates[*room].streams.push_back(load);
      continue;
    }
    // Smaller requests must not overtake a large one that finds no room, but a
    // stream that waits for the engines of its version.
    if (!it.load.software.has_value())
      return answer;
  }
  const auto room = FindRoom(candidates, NeedOf(demand, now), traits);
  if (room.has_value()) {
    answer.placement =
        Complete(candidates[*room].server, demand, excluded, now, random);
  }
  return answer;
}

std::vector<ModelPlacer::Answer> ModelPlacer::PlaceInOrder(
    std::span<const WaitingDemand> waiting,
    const EngineTraits& traits,
    TimePoint now,
    RandomSource& random) const {
  std::vector<Answer> answers;
  if (waiting.empty())
    return answers;
  std::vector<Candidate> all =
      Candidates(waiting.front().demand.service, traits, {}, now, random);
  for (const WaitingDemand& it : waiting) {
    const bool has_begun = it.demand.software.has_value();
    std::vector<Candidate> allowed;
    if (!it.excluded.empty() || has_begun) {
      allowed = all;
      std::erase_if(allowed, [&](const Candidate& candidate) {
        return !Suits(candidate, it.demand.software) ||
               std::find(it.excluded.begin(), it.excluded.end(),
                         IncarnationOf(candidate.server)) != it.excluded.end();
      });
    }
    std::vector<Candidate>& candidates =
        it.excluded.empty() && !has_begun ? all : allowed;
    Answer answer;
    if (candidates.empty()) {
      answer.failure = FailureWithoutCandidate(it.demand, it.excluded, now);
      const bool must_wait = answer.failure == PlacementFailure::kMustWait;
      if (has_begun || !must_wait)
        answers.push_back(std::move(answer));
      if (has_begun)
        continue;
      return answers;
    }
    const Need need = NeedOf(it.demand, now);
    const auto room = FindRoom(candidates, need, traits);
    if (!room.has_value() && has_begun) {
      answers.push_back(std::move(answer));
      continue;
    }
    if (!room.has_value())
      return answers;
    const ServerRecord decode = candidates[*room].server;
    answer.placement = Complete(decode, it.demand, it.excluded, now, random);
    const bool takes_permit =
        pool_.NeedsPermit(IncarnationOf(decode)) ||
        (answer.placement->prefill.has_value() &&
         pool_.NeedsPermit(IncarnationOf(*answer.placement->prefill)));
    answers.push_back(std::move(answer));
    // Which permits are left shows only in the next round.
    if (takes_permit)
      return answers;
    const auto taken =
        std::find_if(all.begin(), all.end(), [&](const Candidate& candidate) {
          return candidate.server.id == decode.id;
        });
    taken->streams.push_back(need.load);
  }
  return answers;
}

double ModelPlacer::PrefillSpeed(const ServerRecord& engine) const {
  return load_tracker_.speeds().SpeedOf(engine.service, IncarnationOf(engine),
                                        SpeedKind::kPrefill,
                                        kPrefillTokensPerSecond);
}

Duration ModelPlacer::LeastPrefillTime(const ModelDemand& demand,
                                       TimePoint now) const {
  const ServerQuery query{
      demand.service, EngineStage::kPrefill, {}, demand.software};
  std::optional<double> least;
  for (const ServerRecord& it : pool_.Usable(query, now)) {
    const double tokens =
        static_cast<double>(load_tracker_.PrefillBacklog(it.id)) +
        static_cast<double>(demand.PrefillTokensAt(it.id));
    const double seconds = tokens / PrefillSpeed(it);
    least = std::min(least.value_or(seconds), seconds);
  }
  return FromSeconds(least.value_or(0));
}

ModelPlacer::Need ModelPlacer::NeedOf(const ModelDemand& demand,
                                      TimePoint now) const {
  Need need{{{}, demand.prompt_tokens, demand.output_tokens},
            demand.software,
            demand.data_centre};
  if (!load_tracker_.speeds().IsUneven(demand.service, SpeedKind::kStream))
    return need;
  const Duration left =
      demand.target - now - kFirstTokenOverhead - LeastPrefillTime(demand, now);
  // One that is late on every engine gets the one with the most room.
  if (left > Duration::zero())
    need.first_event_within = left;
  return need;
}

std::optional<ServerRecord> ModelPlacer::ChoosePrefill(
    const ModelDemand& demand,
    std::span<const ServerIncarnation> excluded,
    TimePoint now,
    RandomSource& random) const {
  const ServerQuery query{demand.service, EngineStage::kPrefill, excluded,
                          demand.software};
  std::optional<ServerRecord> best;
  double best_seconds = 0;
  for (ServerRecord& it : pool_.Usable(query, now)) {
    double backlog = static_cast<double>(load_tracker_.PrefillBacklog(it.id));
    backlog += demand.PrefillTokensAt(it.id) + random.Unit();
    double seconds = backlog / PrefillSpeed(it);
    if (it.data_centre != demand.data_centre)
      seconds += ToSeconds(kRemotePenalty);
    if (!best.has_value() || seconds < best_seconds) {
      best_seconds = seconds;
      best = std::move(it);
    }
  }
  return best;
}

Duration ModelPlacer::ExpectedWait(const ModelDemand& demand,
                                   TimePoint now) const {
  const double speed = load_tracker_.PromptSpeed(demand.service);
  const ServingOrderKey own = ServingOrder(AsWaiting(demand, now), speed);
  std::size_t position = 1;
  for (const EngineLoadTracker::Waiting& it :
       load_tracker_.WaitingInOrder(demand.service, now))
    position += ServingOrder(it.load, speed) < own ? 1 : 0;
  return load_tracker_.ForecastWait(position);
}

}  // namespace briarlead
