#include "briarlead_forward/remote_placements.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

namespace briarlead {

namespace {

ModelDemand DemandOf(const EnginePlacementRequest& request, TimePoint target) {
  ModelDemand demand;
  demand.service = request.service;
  demand.rank = request.rank;
  demand.prompt_tokens = request.prompt_tokens;
  demand.output_tokens = request.output_tokens;
  demand.target = target;
  demand.prefilled_by = request.prefilled_by;
  demand.tokens_since_prefill = request.tokens_since_prefill;
  demand.data_centre = request.data_centre;
  demand.software = request.software;
  return demand;
}

WaitingLoad AsWaitingLoad(const EnginePlacementRequest& request,
                          Duration target_left) {
  return {request.service,       request.rank, request.prompt_tokens,
          request.output_tokens, target_left,  request.key,
          request.software};
}

/// Returns a reply that states nothing but to which question it belongs.
EnginePlacementReply EmptyReplyTo(const EnginePlacementRequest& request) {
  EnginePlacementReply reply;
  reply.key = request.key;
  reply.number = request.number;
  return reply;
}

bool MustWait(const ModelPlacer::Answer& answer) {
  return !answer.placement.has_value() &&
         answer.failure == PlacementFailure::kMustWait;
}

const EngineTraits* TraitsOf(const RouteTable* table,
                             const ServiceId& service) {
  const RoutedService* found =
      table == nullptr ? nullptr : table->FindService(service);
  return found != nullptr && found->engine.has_value() ? &*found->engine
                                                       : nullptr;
}

}  // namespace

void RemotePlacements::SetOwner(bool owns_engines, TimePoint now) {
  if (!owns_engines) {
    owner_since_.reset();
    waiting_.clear();
  } else if (!owner_since_.has_value()) {
    owner_since_ = now;
  }
}

bool RemotePlacements::IsReady(TimePoint now) const {
  return owner_since_.has_value() && now - *owner_since_ >= kWarmUp;
}

void RemotePlacements::OnRequest(const HostId& host,
                                 const Endpoint& peers,
                                 const EnginePlacementRequest& request,
                                 const RouteTable* table,
                                 TimePoint now) {
  const EngineTraits* traits = TraitsOf(table, request.service);
  if (!IsReady(now) || traits == nullptr) {
    replies_.push_back({peers, EmptyReplyTo(request)});
    return;
  }
  const HostRequest id{host, request.key};
  if (RepeatPlacement(id, request, peers))
    return;
  WantPermits(request.service, now);
  const TimePoint target = now + request.target_left;
  const ModelDemand demand = DemandOf(request, target);
  const ModelPlacer::Answer answer = Decide(id, request, demand, *traits, now);
  const EnginePlacementReply reply = ReplyTo(id, request, demand, answer, now);
  if (reply.verdict == PlacementVerdict::kMustWait) {
    waiting_[id] = {peers, request, target, now + kRequestLife,
                    reply.expected_wait};
  } else {
    waiting_.erase(id);
  }
  replies_.push_back({peers, reply});
}

void RemotePlacements::WantPermits(const ServiceId& service, TimePoint now) {
  for (const EngineStage it : {EngineStage::kPrefill, EngineStage::kDecode})
    pool_.WantPermit({service, it, {}}, SendPermits::kPrefetchTime, now);
}

bool RemotePlacements::RepeatPlacement(const HostRequest& id,
                                       const EnginePlacementRequest& request,
                                       const Endpoint& peers) {
  const auto placed = placed_.find(id);
  if (placed == placed_.end())
    return false;
  if (placed->second.reply.number == request.number) {
    replies_.push_back({peers, placed->second.reply});
    return true;
  }
  // The request needs other engines now.
  placed_.erase(placed);
  load_tracker_.RemoveReservation(id);
  return false;
}

ModelPlacer::Answer RemotePlacements::Decide(
    const HostRequest& id,
    const EnginePlacementRequest& request,
    const ModelDemand& demand,
    const EngineTraits& traits,
    TimePoint now) const {
  const auto waits = waiting_.find(id);
  if (waits != waiting_.end() &&
      waits->second.request.number == request.number) {
    ModelPlacer::Answer answer;
    answer.expected_wait = waits->second.expected_wait;
    return answer;
  }
  if (ComesAfterWaiting(request, now))
    return {};
  return placer_.Place(demand, id, traits, request.excluded, now, random_);
}

bool RemotePlacements::ComesAfterWaiting(const EnginePlacementRequest& request,
                                         TimePoint now) const {
  const double speed = load_tracker_.PromptSpeed(request.service);
  const auto order =
      ServingOrder(AsWaitingLoad(request, request.target_left), speed);
  return std::any_of(waiting_.begin(), waiting_.end(), [&](const auto& it) {
    const Waiting& other = it.second;
    // A stream that waits for the engines of its version blocks no others.
    return other.request.service == request.service &&
           !other.request.software.has_value() &&
           ServingOrder(AsWaitingLoad(other.request, other.target - now),
                        speed) < order;
  });
}

EnginePlacementReply RemotePlacements::ReplyTo(
    const HostRequest& id,
    const EnginePlacementRequest& request,
    const ModelDemand& demand,
    const ModelPlacer::Answer& answer,
    TimePoint now) {
  EnginePlacementReply reply = EmptyReplyTo(request);
  if (!answer.placement.has_value()) {
    const bool waits = MustWait(answer);
    reply.verdict =
        waits ? PlacementVerdict::kMustWait : PlacementVerdict::kNoEngine;
    reply.expected_wait = answer.expected_wait;
    if (waits && reply.expected_wait == Duration::zero())
      reply.expected_wait = placer_.ExpectedWait(demand, now);
    return reply;
  }
  reply.verdict = PlacementVerdict::kPlaced;
  reply.decode = IncarnationOf(answer.placement->decode);
  pool_.UsePermit(reply.decode, now);
  const StreamLoad stream{reply.decode.id, request.prompt_tokens,
                          request.output_tokens, request.key};
  std::optional<PrefillLoad> prefill;
  if (answer.placement->prefill.has_value()) {
    reply.prefill = IncarnationOf(*answer.placement->prefill);
    pool_.UsePermit(*reply.prefill, now);
    prefill = {reply.prefill->id, demand.PrefillTokensAt(reply.prefill->id),
               request.key};
    reply.prefill_backlog = answer.placement->prefill_backlog;
  }
  load_tracker_.Reserve(id, stream, prefill, now);
  floor_credit_ = std::min(floor_credit_ + kFloorShare, kMaxFloorCredit);
  placed_[id] = {reply, now + EngineLoadTracker::kReservationLife};
  return reply;
}

void RemotePlacements::Expire(TimePoint now) {
  std::erase_if(waiting_,
                [now](const auto& it) { return now >= it.second.ends; });
  std::erase_if(placed_,
                [now](const auto& it) { return now >= it.second.ends; });
}

void RemotePlacements::PlaceWaiting(const RouteTable* table, TimePoint now) {
  Expire(now);
  std::set<ServiceId> services;
  for (const auto& [id, it] : waiting_)
    services.insert(it.request.service);
  for (const ServiceId& it : services) {
    const EngineTraits* traits = TraitsOf(table, it);
    if (traits != nullptr)
      PlaceWaitingFor(it, *traits, now);
  }
}

RemotePlacements::Queue RemotePlacements::QueueFor(const ServiceId& service,
                                                   TimePoint now) const {
  Queue queue;
  const double speed = load_tracker_.PromptSpeed(service);
  for (const auto& [id, it] : waiting_) {
    if (it.request.service == service) {
      const WaitingLoad load = AsWaitingLoad(it.request, it.target - now);
      queue.emplace_back(ServingOrder(load, speed), id);
    }
  }
  std::sort(queue.begin(), queue.end());
  return queue;
}

std::size_t RemotePlacements::PutFloorFirst(Queue& queue) const {
  std::uint32_t first_rank = std::numeric_limits<std::uint32_t>::max();
  for (const auto& [key, id] : queue)
    first_rank = std::min(first_rank, key.rank);
  std::size_t moved = 0;
  for (std::size_t i = 0; i < queue.size(); ++i) {
    const ServingOrderKey& key = queue[i].first;
    if (!key.begins || !key.late || key.rank == first_rank ||
        static_cast<double>(moved + 1) > floor_credit_) {
      continue;
    }
    const auto from = queue.begin() + static_cast<std::ptrdiff_t>(i);
    std::rotate(queue.begin() + static_cast<std::ptrdiff_t>(moved), from,
                from + 1);
    ++moved;
  }
  return moved;
}

void RemotePlacements::PlaceWaitingFor(const ServiceId& service,
                                       const EngineTraits& traits,
                                       TimePoint now) {
  WantPermits(service, now);
  Queue queue = QueueFor(service, now);
  const std::size_t floors = PutFloorFirst(queue);
  std::vector<WaitingDemand> demands;
  demands.reserve(queue.size());
  for (const auto& [key, id] : queue) {
    const Waiting& it = waiting_.at(id);
    demands.push_back({DemandOf(it.request, it.target), it.request.excluded});
  }
  const std::vector<ModelPlacer::Answer> answers =
      placer_.PlaceInOrder(demands, traits, now, random_);
  for (std::size_t i = 0; i < queue.size(); ++i) {
    const HostRequest& id = queue[i].second;
    Waiting& it = waiting_.at(id);
    if (i >= answers.size()) {
      it.expected_wait = load_tracker_.ForecastWait(i - answers.size() + 1);
      continue;
    }
    if (MustWait(answers[i])) {
      it.expected_wait = load_tracker_.ForecastWait(1);
      continue;
    }
    replies_.push_back({it.peers, ReplyTo(id, it.request, demands[i].demand,
                                          answers[i], now)});
    waiting_.erase(id);
  }
  floor_credit_ -= static_cast<double>(std::min(floors, answers.size()));
}

std::vector<OutgoingPlacementReply> RemotePlacements::TakeReplies() {
  return std::exchange(replies_, {});
}

}  // namespace briarlead
