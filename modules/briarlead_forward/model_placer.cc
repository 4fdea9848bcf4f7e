#include "briarlead_forward/model_placer.h"

#include <algorithm>

namespace briarlead {

namespace {

/// Random cost that decides between equal engines.
constexpr double kTieBreakSpread = 0.01;

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

std::optional<std::size_t> ModelPlacer::FindRoom(
    const std::vector<Candidate>& candidates,
    const StreamLoad& load,
    const EngineTraits& traits) const {
  const double capacity = static_cast<double>(traits.kv_token_capacity);
  std::optional<std::size_t> best;
  double best_fill = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const Candidate& it = candidates[i];
    if (it.streams.size() >= traits.slots)
      continue;
    const double peak =
        static_cast<double>(PeakTokens(it.streams, load)) / capacity;
    // A request that exceeds the memory of an empty engine is placed all the
    // same: the engine itself refuses it.
    if (peak > kMemoryShare && !it.streams.empty())
      continue;
    const double fill =
        peak + it.jitter -
        (it.server.data_centre == local_data_centre_ ? kLocalDataCentreBonus
                                                     : 0);
    if (!best.has_value() || fill < best_fill) {
      best = i;
      best_fill = fill;
    }
  }
  return best;
}

ModelPlacer::Answer ModelPlacer::Place(
    const ModelDemand& demand,
    RequestKey key,
    const EngineTraits& traits,
    std::span<const ServerIncarnation> excluded,
    TimePoint now,
    RandomSource& random) const {
  Answer answer;
  std::vector<Candidate> candidates;
  const ServerQuery query{demand.service, EngineStage::kDecode, excluded};
  for (ServerRecord& it : pool_.Usable(query, now)) {
    std::vector<StreamLoad> streams = load_tracker_.StreamsOn(it.id);
    candidates.push_back(
        {std::move(it), std::move(streams), random.Unit() * kTieBreakSpread});
  }
  if (candidates.empty()) {
    answer.failure = PlacementFailure::kNoEngine;
    return answer;
  }
  WaitingLoad request;
  request.rank = demand.rank;
  request.prompt_tokens = demand.prompt_tokens;
  request.target_left = demand.target - now;
  // Tentatively place the requests position in the queue first.
  for (const EngineLoadTracker::Waiting& it :
       load_tracker_.WaitingInOrder(demand.service, now)) {
    if (it.is_local && it.key == key)
      break;
    if (ServingOrder(request) <= ServingOrder(it.load))
      break;
    const StreamLoad load{{}, it.load.prompt_tokens, it.load.output_tokens};
    const auto room = FindRoom(candidates, load, traits);
    // Smaller requests must not overtake a large one that finds no room.
    if (!room.has_value())
      return answer;
    candidates[*room].streams.push_back(load);
  }
  const StreamLoad load{{}, demand.prompt_tokens, demand.output_tokens};
  const auto room = FindRoom(candidates, load, traits);
  if (!room.has_value())
    return answer;
  answer.placement.emplace();
  answer.placement->decode = candidates[*room].server;
  answer.placement->prefill = ChoosePrefill(demand, {}, now, random);
  return answer;
}

std::optional<ServerRecord> ModelPlacer::ChoosePrefill(
    const ModelDemand& demand,
    std::span<const ServerIncarnation> excluded,
    TimePoint now,
    RandomSource& random) const {
  const ServerQuery query{demand.service, EngineStage::kPrefill, excluded};
  std::optional<ServerRecord> best;
  double best_backlog = 0;
  for (ServerRecord& it : pool_.Usable(query, now)) {
    double backlog = static_cast<double>(load_tracker_.PrefillBacklog(it.id));
    backlog += demand.PrefillTokensAt(it.id) + random.Unit();
    if (it.data_centre != local_data_centre_)
      backlog += kRemotePenaltyTokens;
    if (!best.has_value() || backlog < best_backlog) {
      best_backlog = backlog;
      best = std::move(it);
    }
  }
  return best;
}

}  // namespace briarlead
