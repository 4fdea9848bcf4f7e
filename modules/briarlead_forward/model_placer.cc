#include "briarlead_forward/model_placer.h"

#include <algorithm>

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
    const StreamLoad& load,
    const std::optional<SoftwareVersion>& software,
    const EngineTraits& traits,
    const DataCentreId& data_centre) {
  const double capacity = static_cast<double>(traits.kv_token_capacity);
  std::optional<std::size_t> best;
  double best_fill = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const Candidate& it = candidates[i];
    if (it.streams.size() >= traits.slots || !Suits(it, software))
      continue;
    const double peak =
        static_cast<double>(PeakTokens(it.streams, load)) / capacity;
    // A request that exceeds the memory of an empty engine is placed all the
    // same: the engine itself refuses it.
    if (peak > kMemoryShare && !it.streams.empty())
      continue;
    const double fill =
        peak + it.jitter -
        (it.server.data_centre == data_centre ? kLocalDataCentreBonus : 0);
    if (!best.has_value() || fill < best_fill) {
      best = i;
      best_fill = fill;
    }
  }
  return best;
}

std::vector<ModelPlacer::Candidate> ModelPlacer::Candidates(
    const ServiceId& service,
    std::span<const ServerIncarnation> excluded,
    TimePoint now,
    RandomSource& random) const {
  std::vector<Candidate> candidates;
  const ServerQuery query{service, EngineStage::kDecode, excluded};
  auto streams = load_tracker_.StreamsByEngine();
  for (ServerRecord& it : pool_.Usable(query, now)) {
    std::vector<StreamLoad>& on_engine = streams[it.id];
    candidates.push_back(
        {std::move(it), std::move(on_engine), random.Unit() * kTieBreakSpread});
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
      Candidates(demand.service, excluded, now, random);
  const bool any_suits =
      std::any_of(candidates.begin(), candidates.end(),
                  [&](const auto& it) { return Suits(it, demand.software); });
  if (!any_suits) {
    answer.failure = FailureWithoutCandidate(demand, excluded, now);
    return answer;
  }
  const WaitingLoad own = AsWaiting(demand, now);
  // Tentatively place the requests that come first in the queue.
  for (const EngineLoadTracker::Waiting& it :
       load_tracker_.WaitingInOrder(demand.service, now)) {
    if (it.request == request || ServingOrder(own) <= ServingOrder(it.load))
      break;
    const StreamLoad load{{}, it.load.prompt_tokens, it.load.output_tokens};
    const auto room = FindRoom(candidates, load, it.load.software, traits,
                               demand.data_centre);
    if (room.has_value()) {
      candidates[*room].streams.push_back(load);
      continue;
    }
    // Smaller requests must not overtake a large one that finds no room, but a
    // stream that waits for the engines of its version.
    if (!it.load.software.has_value())
      return answer;
  }
  const StreamLoad load{{}, demand.prompt_tokens, demand.output_tokens};
  const auto room =
      FindRoom(candidates, load, demand.software, traits, demand.data_centre);
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
      Candidates(waiting.front().demand.service, {}, now, random);
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
    const StreamLoad load{{}, it.demand.prompt_tokens, it.demand.output_tokens};
    const auto room = FindRoom(candidates, load, it.demand.software, traits,
                               it.demand.data_centre);
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
    taken->streams.push_back(load);
  }
  return answers;
}

std::optional<ServerRecord> ModelPlacer::ChoosePrefill(
    const ModelDemand& demand,
    std::span<const ServerIncarnation> excluded,
    TimePoint now,
    RandomSource& random) const {
  const ServerQuery query{demand.service, EngineStage::kPrefill, excluded,
                          demand.software};
  std::optional<ServerRecord> best;
  double best_backlog = 0;
  for (ServerRecord& it : pool_.Usable(query, now)) {
    double backlog = static_cast<double>(load_tracker_.PrefillBacklog(it.id));
    backlog += demand.PrefillTokensAt(it.id) + random.Unit();
    if (it.data_centre != demand.data_centre)
      backlog += kRemotePenaltyTokens;
    if (!best.has_value() || backlog < best_backlog) {
      best_backlog = backlog;
      best = std::move(it);
    }
  }
  return best;
}

Duration ModelPlacer::ExpectedWait(const ModelDemand& demand,
                                   TimePoint now) const {
  const WaitingLoad own = AsWaiting(demand, now);
  std::size_t position = 1;
  for (const EngineLoadTracker::Waiting& it :
       load_tracker_.WaitingInOrder(demand.service, now))
    position += ServingOrder(it.load) < ServingOrder(own) ? 1 : 0;
  return load_tracker_.ForecastWait(position);
}

}  // namespace briarlead
