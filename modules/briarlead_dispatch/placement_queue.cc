#include "briarlead_dispatch/placement_queue.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace briarlead {
namespace {

/// How far a customer may run ahead of the one furthest behind so that shorter
/// requests go first, in slot seconds for a weight of 1.
constexpr double kFairnessWindowSeconds = 30.0;
/// A customer floods when it asks for this many times what the others do, on
/// average and by weight.
constexpr double kFloodFactor = 3.0;
constexpr Duration kFloodUpdateInterval = std::chrono::milliseconds(250);
/// Customers without requests that are remembered.
constexpr std::size_t kMaxIdleCustomers = 1024;
/// Time over which the offered work fades.
constexpr double kOfferedWindowSeconds = 30.0;
constexpr double kMinWeight = 1e-6;
/// Cost classes a factor of two, and the cost of the lowest, in seconds.
constexpr double kCostClassesPerOctave = 2.0;
constexpr double kLowestCostSeconds = 0.25;

void AddCost(PlacementCost& sum, const PlacementCost& cost, double sign) {
  sum.slot_seconds = std::max(sum.slot_seconds + sign * cost.slot_seconds, 0.0);
  sum.prefill_seconds =
      std::max(sum.prefill_seconds + sign * cost.prefill_seconds, 0.0);
  sum.service_seconds =
      std::max(sum.service_seconds + sign * cost.service_seconds, 0.0);
}

}  // namespace

std::size_t PlacementQueue::CostClass(double service_seconds) {
  const double octaves = std::log2(
      std::max(service_seconds, kLowestCostSeconds) / kLowestCostSeconds);
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
  lane.by_cost.insert({placement.cost.service_seconds, placement.ticket});
  AddCost(lane.cost_classes[CostClass(placement.cost.service_seconds)],
          placement.cost, 1.0);
  state.by_start.insert({placement.latest_start, placement.ticket});
  AddCost(state.on_time_cost, placement.cost, 1.0);
  AddCost(state.cost_classes[CostClass(placement.cost.service_seconds)],
          placement.cost, 1.0);
}

void PlacementQueue::Unlink(const QueuedPlacement& placement) {
  RankState& state = StateOf(placement.rank);
  CustomerLane& lane = LaneOf(customers_[placement.customer], placement.rank);
  lane.by_start.erase({placement.latest_start, placement.ticket});
  lane.by_cost.erase({placement.cost.service_seconds, placement.ticket});
  AddCost(lane.cost_classes[CostClass(placement.cost.service_seconds)],
          placement.cost, -1.0);
  state.by_start.erase({placement.latest_start, placement.ticket});
  AddCost(state.on_time_cost, placement.cost, -1.0);
  AddCost(state.cost_classes[CostClass(placement.cost.service_seconds)],
          placement.cost, -1.0);
  if (!lane.by_start.empty())
    return;
  state.customers.erase({lane.virtual_time, placement.customer});
  state.active_weight -= lane.weight;
  lane.cost_classes.fill({});
  if (state.customers.empty()) {
    state.active_weight = 0.0;
    state.on_time_cost = {};
    state.cost_classes.fill({});
  }
}

void PlacementQueue::DropIfIdle(const CustomerId& customer) {
  const auto it = customers_.find(customer);
  if (it == customers_.end() || it->second.held > 0 ||
      customers_.size() <= kMaxIdleCustomers)
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
  // The one furthest behind sets the time at which customers come in, not the
  // one that starts: that may be ahead, within the fairness window.
  if (!late)
    state.virtual_time =
        std::max(state.virtual_time, state.customers.begin()->virtual_time);
  if (waits)
    state.customers.erase({lane.virtual_time, placement.customer});
  lane.virtual_time += placement.cost.service_seconds / lane.weight;
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

void PlacementQueue::Release(const CustomerId& customer) {
  const auto it = customers_.find(customer);
  if (it == customers_.end() || it->second.held == 0)
    return;
  --it->second.held;
  DropIfIdle(customer);
}

std::optional<std::uint64_t> PlacementQueue::NextOnTime(
    Rank rank,
    std::size_t max_held) const {
  const RankState& state = StateOf(rank);
  const ByCost* shortest = nullptr;
  double window_end = 0.0;
  for (const ByFinish& it : state.customers) {
    const Customer& customer = customers_.at(it.customer);
    if (customer.held >= max_held)
      continue;
    const CustomerLane& lane = customer.lanes[static_cast<std::size_t>(rank)];
    if (shortest == nullptr)
      window_end = it.virtual_time + kFairnessWindowSeconds;
    if (it.virtual_time > window_end)
      break;
    // Of a customer that floods, nothing goes before its turn.
    if (shortest != nullptr && lane.floods)
      continue;
    if (shortest == nullptr || *lane.by_cost.begin() < *shortest)
      shortest = &*lane.by_cost.begin();
  }
  if (shortest == nullptr)
    return std::nullopt;
  return shortest->ticket;
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

void PlacementQueue::OnOffered(Rank rank,
                               const CustomerId& customer,
                               const PlacementCost& cost,
                               TimePoint now) {
  const std::size_t cost_class = CostClass(cost.service_seconds);
  StateOf(rank).offered.Add(cost_class, cost, now);
  const auto [it, is_new] = customers_.try_emplace(customer);
  LaneOf(it->second, rank).offered.Add(cost_class, cost, now);
  // A new customer shows at once whether the others flood.
  const TimePoint due = StateOf(rank).floods_updated + kFloodUpdateInterval;
  if (is_new || now >= due)
    UpdateFloods(rank, now);
}

void PlacementQueue::UpdateFloods(Rank rank, TimePoint now) {
  RankState& state = StateOf(rank);
  state.floods_updated = now;
  state.known_weight = 0.0;
  for (auto& [id, customer] : customers_)
    state.known_weight += LaneOf(customer, rank).weight;
  state.flooding_weight = 0.0;
  const double total = state.offered.Service(now);
  for (auto& [id, customer] : customers_) {
    CustomerLane& lane = LaneOf(customer, rank);
    const double own = lane.offered.Service(now);
    const double others = total - own;
    lane.floods = own * (state.known_weight - lane.weight) >
                  kFloodFactor * others * lane.weight;
    if (lane.floods)
      state.flooding_weight += lane.weight;
  }
}

double PlacementQueue::OfferedWork::Service(TimePoint now) const {
  double sum = 0.0;
  for (const PlacementCost& it : classes)
    sum += it.service_seconds;
  return sum * Fade(now);
}

void PlacementQueue::OfferedWork::Add(std::size_t cost_class,
                                      const PlacementCost& cost,
                                      TimePoint now) {
  const double fade = Fade(now);
  updated = now;
  for (PlacementCost& it : classes) {
    it.slot_seconds *= fade;
    it.prefill_seconds *= fade;
    it.service_seconds *= fade;
  }
  AddCost(classes[cost_class], cost, 1.0 / kOfferedWindowSeconds);
}

double PlacementQueue::OfferedWork::Fade(TimePoint now) const {
  return std::exp(-ToSeconds(now - updated) / kOfferedWindowSeconds);
}

PlacementCost PlacementQueue::OfferedWork::Below(std::size_t cost_class,
                                                 TimePoint now) const {
  PlacementCost sum;
  for (std::size_t i = 0; i < cost_class; ++i)
    AddCost(sum, classes[i], 1.0);
  // Those of its own class are as likely to go before as after.
  AddCost(sum, classes[cost_class], 0.5);
  const double fade = Fade(now);
  return {sum.slot_seconds * fade, sum.prefill_seconds * fade};
}

bool PlacementQueue::Floods(Rank rank, const CustomerId& customer) const {
  const auto it = customers_.find(customer);
  return it != customers_.end() &&
         it->second.lanes[static_cast<std::size_t>(rank)].floods;
}

WorkAhead PlacementQueue::AheadWithoutFloods(Rank rank,
                                             const PlacementCost& cost,
                                             TimePoint now) const {
  const RankState& state = StateOf(rank);
  const std::size_t cost_class = CostClass(cost.service_seconds);
  WorkAhead ahead = {UpTo(state.cost_classes, cost_class),
                     state.offered.Below(cost_class, now)};
  if (state.flooding_weight <= 0.0)
    return ahead;
  for (const auto& [id, customer] : customers_) {
    const CustomerLane& lane = customer.lanes[static_cast<std::size_t>(rank)];
    if (!lane.floods)
      continue;
    AddCost(ahead.queued, UpTo(lane.cost_classes, cost_class), -1.0);
    AddCost(ahead.arriving_per_second, lane.offered.Below(cost_class, now),
            -1.0);
  }
  return ahead;
}

double PlacementQueue::ShareWithoutFloods(Rank rank) const {
  const RankState& state = StateOf(rank);
  if (state.known_weight <= 0.0)
    return 1.0;
  return 1.0 - state.flooding_weight / state.known_weight;
}

WorkAhead PlacementQueue::AheadOfCustomer(Rank rank,
                                          const CustomerId& customer,
                                          const PlacementCost& cost,
                                          TimePoint now) const {
  const auto it = customers_.find(customer);
  if (it == customers_.end())
    return {};
  const CustomerLane& lane = it->second.lanes[static_cast<std::size_t>(rank)];
  const std::size_t cost_class = CostClass(cost.service_seconds);
  return {UpTo(lane.cost_classes, cost_class),
          lane.offered.Below(cost_class, now)};
}

PlacementCost PlacementQueue::UpTo(const CostClasses& classes,
                                   std::size_t last) {
  PlacementCost sum;
  for (std::size_t i = 0; i <= last; ++i)
    AddCost(sum, classes[i], 1.0);
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
