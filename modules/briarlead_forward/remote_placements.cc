#include "briarlead_forward/remote_placements.h"

#include <algorithm>
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
  return demand;
}

WaitingLoad AsWaitingLoad(const EnginePlacementRequest& request,
                          Duration target_left) {
  return {request.service,       request.rank, request.prompt_tokens,
          request.output_tokens, target_left,  request.key};
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
    EnginePlacementReply reply;
    reply.key = request.key;
    reply.number = request.number;
    replies_.push_back({peers, reply});
    return;
  }
  const HostRequest id{host, request.key};
  const auto placed = placed_.find(id);
  if (placed != placed_.end()) {
    // The reply was lost, or the request now needs other engines.
    if (placed->second.reply.number == request.number) {
      replies_.push_back({peers, placed->second.reply});
      return;
    }
    placed_.erase(placed);
    load_tracker_.RemoveReservation(id);
  }
  const TimePoint target = now + request.target_left;
  const ModelDemand demand = DemandOf(request, target);
  const auto waits = waiting_.find(id);
  const bool repeats =
      waits != waiting_.end() && waits->second.request.number == request.number;
  ModelPlacer::Answer answer;
  if (repeats)
    answer.expected_wait = waits->second.expected_wait;
  else if (ComesAfterWaiting(request, now))
    answer.expected_wait = placer_.ExpectedWait(demand, now);
  else
    answer = placer_.Place(demand, id, *traits, request.excluded, now, random_);
  const EnginePlacementReply reply = ReplyTo(id, request, demand, answer, now);
  if (reply.verdict == PlacementVerdict::kMustWait) {
    waiting_[id] = {peers, request, target, now + kRequestLife,
                    reply.expected_wait};
  } else {
    waiting_.erase(id);
  }
  replies_.push_back({peers, reply});
}

bool RemotePlacements::ComesAfterWaiting(const EnginePlacementRequest& request,
                                         TimePoint now) const {
  const auto order = AsWaitingLoad(request, request.target_left);
  return std::any_of(waiting_.begin(), waiting_.end(), [&](const auto& it) {
    const Waiting& other = it.second;
    return other.request.service == request.service &&
           ServingOrder(AsWaitingLoad(other.request, other.target - now)) <
               ServingOrder(order);
  });
}

EnginePlacementReply RemotePlacements::ReplyTo(
    const HostRequest& id,
    const EnginePlacementRequest& request,
    const ModelDemand& demand,
    const ModelPlacer::Answer& answer,
    TimePoint now) {
  EnginePlacementReply reply;
  reply.key = request.key;
  reply.number = request.number;
  if (!answer.placement.has_value()) {
    const bool waits = answer.failure == PlacementFailure::kMustWait;
    reply.verdict =
        waits ? PlacementVerdict::kMustWait : PlacementVerdict::kNoEngine;
    reply.expected_wait = answer.expected_wait;
    if (waits && reply.expected_wait == Duration::zero())
      reply.expected_wait = placer_.ExpectedWait(demand, now);
    return reply;
  }
  reply.verdict = PlacementVerdict::kPlaced;
  reply.decode = IncarnationOf(answer.placement->decode);
  const StreamLoad stream{reply.decode.id, request.prompt_tokens,
                          request.output_tokens, request.key};
  std::optional<PrefillLoad> prefill;
  if (answer.placement->prefill.has_value()) {
    reply.prefill = IncarnationOf(*answer.placement->prefill);
    prefill = {reply.prefill->id, demand.PrefillTokensAt(reply.prefill->id),
               request.key};
    reply.prefill_backlog = answer.placement->prefill_backlog;
  }
  load_tracker_.Reserve(id, stream, prefill, now);
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

void RemotePlacements::PlaceWaitingFor(const ServiceId& service,
                                       const EngineTraits& traits,
                                       TimePoint now) {
  using Order = decltype(ServingOrder(WaitingLoad()));
  std::vector<std::pair<Order, HostRequest>> order;
  for (const auto& [id, it] : waiting_) {
    if (it.request.service == service) {
      const WaitingLoad load = AsWaitingLoad(it.request, it.target - now);
      order.emplace_back(ServingOrder(load), id);
    }
  }
  std::sort(order.begin(), order.end());
  std::vector<WaitingDemand> demands;
  demands.reserve(order.size());
  for (const auto& [key, id] : order) {
    const Waiting& it = waiting_.at(id);
    demands.push_back({DemandOf(it.request, it.target), it.request.excluded});
  }
  const std::vector<ModelPlacer::Answer> answers =
      placer_.PlaceInOrder(demands, traits, now, random_);
  const std::size_t streams =
      std::max<std::size_t>(load_tracker_.stream_count(), 1);
  for (std::size_t i = 0; i < order.size(); ++i) {
    const HostRequest& id = order[i].second;
    Waiting& it = waiting_.at(id);
    if (i >= answers.size()) {
      it.expected_wait = ModelPlacer::WaitInQueue(
          i - answers.size() + 1, streams, it.request.output_tokens);
      continue;
    }
    replies_.push_back({it.peers, ReplyTo(id, it.request, demands[i].demand,
                                          answers[i], now)});
    waiting_.erase(id);
  }
}

std::vector<OutgoingPlacementReply> RemotePlacements::TakeReplies() {
  return std::exchange(replies_, {});
}

}  // namespace briarlead
