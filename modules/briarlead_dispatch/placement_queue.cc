#include "briarlead_dispatch/placement_queue.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace briarlead {
namespace {

/// A request that must start within this time goes before shorter ones.
constexpr Duration kCriticalWindow = std::chrono::milliseconds(300);
constexpr double kMinWeight = 1e-6;
/// Cost classes a factor of two, and the cost of the lowest, in seconds.
constexpr double kCostClassesPerOctave = 2.0;
constexpr double kLowestCostSeconds = 0.25;

void AddCost(PlacementCost& sum, const PlacementCost& cost, double sign) {
  sum.slot_seconds = std::max(sum.slot_seconds + sign * cost.slot_seconds, 0.0);
  sum.prefill_seconds =
      std::max(sum.prefill_seconds + sign * cost.prefill_seconds, 0.0);
}

}  // namespace

std::size_t PlacementQueue::CostClass(double slot_seconds) {
  const double octaves = std::log2(std::max(slot_seconds, kLowestCostSeconds) /
                                   kLowestCostSeconds);
  return std::min(static_cast<std::size_t>(octaves * kCostClassesPerOctave),
                  kCostClassCount - 1);
}

void PlacementQueue::Add(const QueuedPlacement& placement) {
  auto [it, added] = entries_.try_emplace(placement.ticket);
  if (!added)
    return;
  it->second.placement = placement;
  ++LaneOf(customers_[placement.customer], placement.rank).size;
  Link(placement);
}

void PlacementQueue::Link(const QueuedPlacement& placement) {
  RankState& state = StateOf(placement.rank);
  CustomerLane& lane = LaneOf(customers_[placement.customer], placement.rank);
  if (lane.by_start.empty()) {
    lane.weight = std::max(placement.weight, kMinWeight);
    lane.virtual_time = std::max(lane.virtual_time, state.virtual_time);
    state.customers.insert({lane.virtual_time, placement.customer});
    state.active_weight += lane.weight;
  }
  lane.by_start.insert({placement.latest_start, placement.ticket});
  lane.by_cost.insert({placement.cost.slot_seconds, placement.ticket});
  AddCost(lane.cost_classes[CostClass(placement.cost.slot_seconds)],
          placement.cost, 1.0);
  state.by_start.insert({placement.latest_start, placement.ticket});
  AddCost(state.on_time_cost, placement.cost, 1.0);
}

void PlacementQueue::Unlink(const QueuedPlacement& placement) {
  RankState& state = StateOf(placement.rank);
  CustomerLane& lane = LaneOf(customers_[placement.customer], placement.rank);
  lane.by_start.erase({placement.latest_start, placement.ticket});
  lane.by_cost.erase({placement.cost.slot_seconds, placement.ticket});
  AddCost(lane.cost_classes[CostClass(placement.cost.slot_seconds)],
          placement.cost, -1.0);
  state.by_start.erase({placement.latest_start, placement.ticket});
  AddCost(state.on_time_cost, placement.cost, -1.0);
  if (!lane.by_start.empty())
    return;
  state.customers.erase({lane.virtual_time, placement.customer});
  state.active_weight -= lane.weight;
  lane.cost_classes.fill({});
  if (state.customers.empty()) {
    state.active_weight = 0.0;
    state.on_time_cost = {};
  }
}

void PlacementQueue::DropIfIdle(const CustomerId& customer) {
  const auto it = customers_.find(customer);
  if (it == customers_.end() || it->second.held > 0)
    return;
  for (const Rank rank : kRanks) {
    const CustomerLane& lane = LaneOf(it->second, rank);
    // A customer that was charged ahead of the others keeps its debt.
    if (lane.size > 0 || lane.virtual_time > StateOf(rank).virtual_time)
      return;
  }
  customers_.erase(it);
}

void PlacementQueue::Remove(std::uint64_t ticket) {
  const auto it = entries_.find(ticket);
  if (it == entries_.end())
    return;
  const QueuedPlacement placement = it->second.placement;
  const bool late = it->second.late;
  entries_.erase(it);
  RankState& state = StateOf(placement.rank);
  if (late) {
    state.late.erase(ticket);
    AddCost(state.late_cost, placement.cost, -1.0);
    if (state.late.empty())
      state.late_cost = {};
  } else {
    Unlink(placement);
  }
  --LaneOf(customers_[placement.customer], placement.rank).size;
  DropIfIdle(placement.customer);
}

void PlacementQueue::Start(std::uint64_t ticket) {
  const auto it = entries_.find(ticket);
  if (it == entries_.end())
    return;
  const QueuedPlacement placement = it->second.placement;
  const bool late = it->second.late;
  CustomerLane& lane = LaneOf(customers_[placement.customer], placement.rank);
  RankState& state = StateOf(placement.rank);
  const bool waits = !lane.by_start.empty();
  if (waits)
    state.customers.erase({lane.virtual_time, placement.customer});
  if (!late)
    state.virtual_time = std::max(state.virtual_time, lane.virtual_time);
  lane.virtual_time += placement.cost.slot_seconds / lane.weight;
  if (waits)
    state.customers.insert({lane.virtual_time, placement.customer});
  Remove(ticket);
}

void PlacementQueue::SetLateApart(TimePoint now) {
  for (RankState& state : ranks_) {
    while (!state.by_start.empty() &&
           state.by_start.begin()->latest_start < now) {
      Entry& entry = entries_.at(state.by_start.begin()->ticket);
      Unlink(entry.placement);
      entry.late = true;
      state.late.insert(entry.placement.ticket);
      AddCost(state.late_cost, entry.placement.cost, 1.0);
    }
  }
}

void PlacementQueue::SetShortestFirst(Rank rank, bool shortest_first) {
  StateOf(rank).shortest_first = shortest_first;
}

void PlacementQueue::Release(const CustomerId& customer) {
  const auto it = customers_.find(customer);
  if (it == customers_.end() || it->second.held == 0)
    return;
  --it->second.held;
  DropIfIdle(customer);
}

std::optional<std::uint64_t> PlacementQueue::NextOnTime(Rank rank,
                                                        std::size_t max_held,
                                                        TimePoint now) const {
  const RankState& state = StateOf(rank);
  for (const ByFinish& it : state.customers) {
    const Customer& customer = customers_.at(it.customer);
    if (customer.held >= max_held)
      continue;
    const CustomerLane& lane = customer.lanes[static_cast<std::size_t>(rank)];
    const ByStart& first = *lane.by_start.begin();
    if (!state.shortest_first || first.latest_start < now + kCriticalWindow)
      return first.ticket;
    return lane.by_cost.begin()->ticket;
  }
  return std::nullopt;
}

std::optional<std::uint64_t> PlacementQueue::NextLate(Rank rank) const {
  const RankState& state = StateOf(rank);
  if (state.late.empty())
    return std::nullopt;
  return *state.late.begin();
}

std::size_t PlacementQueue::size(Rank rank) const {
  const RankState& state = StateOf(rank);
  return state.by_start.size() + state.late.size();
}

std::size_t PlacementQueue::size(Rank rank, const CustomerId& customer) const {
  const auto it = customers_.find(customer);
  if (it == customers_.end())
    return 0;
  return it->second.lanes[static_cast<std::size_t>(rank)].size;
}

PlacementCost PlacementQueue::OnTimeCost(Rank rank) const {
  return StateOf(rank).on_time_cost;
}

PlacementCost PlacementQueue::LateCost(Rank rank) const {
  return StateOf(rank).late_cost;
}

PlacementCost PlacementQueue::CostAhead(Rank rank,
                                        const CustomerId& customer,
                                        const PlacementCost& cost) const {
  PlacementCost sum;
  const auto it = customers_.find(customer);
  if (it == customers_.end())
    return sum;
  const CustomerLane& lane = it->second.lanes[static_cast<std::size_t>(rank)];
  const std::size_t last = StateOf(rank).shortest_first
                               ? CostClass(cost.slot_seconds)
                               : kCostClassCount - 1;
  for (std::size_t i = 0; i <= last; ++i)
    AddCost(sum, lane.cost_classes[i], 1.0);
  return sum;
}

double PlacementQueue::Share(Rank rank,
                             const CustomerId& customer,
                             double weight) const {
  const RankState& state = StateOf(rank);
  const double own = std::max(weight, kMinWeight);
  double active = state.active_weight;
  const auto it = customers_.find(customer);
  if (it == customers_.end() ||
      it->second.lanes[static_cast<std::size_t>(rank)].by_start.empty())
    active += own;
  return std::min(own / active, 1.0);
}

std::size_t PlacementQueue::ActiveCustomers() const {
  return customers_.size();
}

std::size_t PlacementQueue::Held(const CustomerId& customer) const {
  const auto it = customers_.find(customer);
  return it != customers_.end() ? it->second.held : 0;
}

std::optional<TimePoint> PlacementQueue::NextLatestStart() const {
  std::optional<TimePoint> next;
  for (const RankState& state : ranks_) {
    if (state.by_start.empty())
      continue;
    const TimePoint it = state.by_start.begin()->latest_start;
    next = next ? std::min(*next, it) : it;
  }
  return next;
}

}  // namespace briarlead
