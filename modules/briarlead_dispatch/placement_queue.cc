#include "briarlead_dispatch/placement_queue.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace briarlead {
namespace {

/// How far a customer may be ahead of the one furthest behind so that shorter
/// requests can go first, in slot seconds for a weight of 1.
constexpr double kFairnessWindowSeconds = 30.0;
/// A customer is flooding when its offered load, relative to its weight, is
/// more than this multiple of the other customers' average.
constexpr double kFloodFactor = 3.0;
constexpr Duration kFloodUpdateInterval = std::chrono::milliseconds(250);
/// Above this number of customers, those without requests are erased.
constexpr std::size_t kMaxIdleCustomers = 1024;
/// Time constant of the decay of offered work.
constexpr double kOfferedDecaySeconds = 30.0;
constexpr double kMinWeight = 1e-6;
/// Cost classes for each doubling of the cost, and the cost of the lowest class
/// in seconds.
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
  ++CustomerQueueOf(customers_[placement.customer], placement.rank).size;
  AddOnTime(placement);
}

void PlacementQueue::AddOnTime(const QueuedPlacement& placement) {
  RankState& state = StateOf(placement.rank);
  CustomerQueue& customer_queue =
      CustomerQueueOf(customers_[placement.customer], placement.rank);
  if (customer_queue.by_latest_start.empty()) {
    customer_queue.weight = std::max(placement.weight, kMinWeight);
    customer_queue.virtual_time =
        std::max(customer_queue.virtual_time, state.virtual_time);
    state.customers.insert({customer_queue.virtual_time, placement.customer});
    state.active_weight += customer_queue.weight;
  }
  customer_queue.by_latest_start.insert(
      {placement.latest_start, placement.ticket});
  customer_queue.by_cost.insert(
      {placement.cost.service_seconds, placement.ticket});
  AddCost(
      customer_queue.cost_classes[CostClass(placement.cost.service_seconds)],
      placement.cost, 1.0);
  state.by_latest_start.insert({placement.latest_start, placement.ticket});
  AddCost(state.on_time_cost, placement.cost, 1.0);
  AddCost(state.cost_classes[CostClass(placement.cost.service_seconds)],
          placement.cost, 1.0);
}

void PlacementQueue::RemoveOnTime(const QueuedPlacement& placement) {
  RankState& state = StateOf(placement.rank);
  CustomerQueue& customer_queue =
      CustomerQueueOf(customers_[placement.customer], placement.rank);
  customer_queue.by_latest_start.erase(
      {placement.latest_start, placement.ticket});
  customer_queue.by_cost.erase(
      {placement.cost.service_seconds, placement.ticket});
  AddCost(
      customer_queue.cost_classes[CostClass(placement.cost.service_seconds)],
      placement.cost, -1.0);
  state.by_latest_start.erase({placement.latest_start, placement.ticket});
  AddCost(state.on_time_cost, placement.cost, -1.0);
  AddCost(state.cost_classes[CostClass(placement.cost.service_seconds)],
          placement.cost, -1.0);
  if (!customer_queue.by_latest_start.empty())
    return;
  state.customers.erase({customer_queue.virtual_time, placement.customer});
  state.active_weight -= customer_queue.weight;
  customer_queue.cost_classes.fill({});
  if (state.customers.empty()) {
    state.active_weight = 0.0;
    state.on_time_cost = {};
    state.cost_classes.fill({});
  }
}

void PlacementQueue::EraseIfIdle(const CustomerId& customer) {
  const auto it = customers_.find(customer);
  if (it == customers_.end() || it->second.running > 0 ||
      customers_.size() <= kMaxIdleCustomers)
    return;
  for (const Rank rank : kRanks) {
    const CustomerQueue& customer_queue = CustomerQueueOf(it->second, rank);
    // A customer whose virtual time is ahead of the rank's stays, so that it
    // cannot reset its charge by going idle.
    if (customer_queue.size > 0 ||
        customer_queue.virtual_time > StateOf(rank).virtual_time)
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
    RemoveOnTime(placement);
  }
  --CustomerQueueOf(customers_[placement.customer], placement.rank).size;
  EraseIfIdle(placement.customer);
}

void PlacementQueue::Start(std::uint64_t ticket) {
  const auto it = entries_.find(ticket);
  if (it == entries_.end())
    return;
  const QueuedPlacement placement = it->second.placement;
  const bool late = it->second.late;
  CustomerQueue& customer_queue =
      CustomerQueueOf(customers_[placement.customer], placement.rank);
  RankState& state = StateOf(placement.rank);
  const bool has_on_time = !customer_queue.by_latest_start.empty();
  // New customers join at the virtual time of the customer that is furthest
  // behind. The customer of the starting request may be ahead of that one
  // within the fairness window.
  if (!late)
    state.virtual_time =
        std::max(state.virtual_time, state.customers.begin()->virtual_time);
  if (has_on_time)
    state.customers.erase({customer_queue.virtual_time, placement.customer});
  customer_queue.virtual_time +=
      placement.cost.service_seconds / customer_queue.weight;
  if (has_on_time)
    state.customers.insert({customer_queue.virtual_time, placement.customer});
  Remove(ticket);
}

void PlacementQueue::MarkLate(TimePoint now) {
  for (RankState& state : ranks_) {
    while (!state.by_latest_start.empty() &&
           state.by_latest_start.begin()->latest_start < now) {
      Entry& entry = entries_.at(state.by_latest_start.begin()->ticket);
      RemoveOnTime(entry.placement);
      entry.late = true;
      state.late.insert(entry.placement.ticket);
      AddCost(state.late_cost, entry.placement.cost, 1.0);
    }
  }
}

void PlacementQueue::RemoveRunning(const CustomerId& customer) {
  const auto it = customers_.find(customer);
  if (it == customers_.end() || it->second.running == 0)
    return;
  --it->second.running;
  EraseIfIdle(customer);
}

std::optional<std::uint64_t> PlacementQueue::NextOnTime(
    Rank rank,
    std::size_t max_running) const {
  const RankState& state = StateOf(rank);
  const ByCost* shortest = nullptr;
  double window_end = 0.0;
  for (const ByVirtualTime& it : state.customers) {
    const Customer& customer = customers_.at(it.customer);
    if (customer.running >= max_running)
      continue;
    const CustomerQueue& customer_queue =
        customer.queues[static_cast<std::size_t>(rank)];
    if (shortest == nullptr)
      window_end = it.virtual_time + kFairnessWindowSeconds;
    if (it.virtual_time > window_end)
      break;
    // A flooding customer gets no request ahead of its turn.
    if (shortest != nullptr && customer_queue.is_flooding)
      continue;
    if (shortest == nullptr || *customer_queue.by_cost.begin() < *shortest)
      shortest = &*customer_queue.by_cost.begin();
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
  return state.by_latest_start.size() + state.late.size();
}

std::size_t PlacementQueue::size(Rank rank, const CustomerId& customer) const {
  const auto it = customers_.find(customer);
  if (it == customers_.end())
    return 0;
  return it->second.queues[static_cast<std::size_t>(rank)].size;
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
  CustomerQueueOf(it->second, rank).offered.Add(cost_class, cost, now);
  // A new customer can change at once which customers count as flooding.
  const TimePoint due = StateOf(rank).flooding_updated + kFloodUpdateInterval;
  if (is_new || now >= due)
    UpdateFlooding(rank, now);
}

void PlacementQueue::UpdateFlooding(Rank rank, TimePoint now) {
  RankState& state = StateOf(rank);
  state.flooding_updated = now;
  state.known_weight = 0.0;
  for (auto& [id, customer] : customers_)
    state.known_weight += CustomerQueueOf(customer, rank).weight;
  state.flooding_weight = 0.0;
  const double total = state.offered.ServicePerSecond(now);
  for (auto& [id, customer] : customers_) {
    CustomerQueue& customer_queue = CustomerQueueOf(customer, rank);
    const double own = customer_queue.offered.ServicePerSecond(now);
    const double others = total - own;
    customer_queue.is_flooding =
        own * (state.known_weight - customer_queue.weight) >
        kFloodFactor * others * customer_queue.weight;
    if (customer_queue.is_flooding)
      state.flooding_weight += customer_queue.weight;
  }
}

double PlacementQueue::OfferedLoad::ServicePerSecond(TimePoint now) const {
  double sum = 0.0;
  for (const PlacementCost& it : classes)
    sum += it.service_seconds;
  return sum * DecayFactor(now);
}

void PlacementQueue::OfferedLoad::Add(std::size_t cost_class,
                                      const PlacementCost& cost,
                                      TimePoint now) {
  const double decay = DecayFactor(now);
  updated = now;
  for (PlacementCost& it : classes) {
    it.slot_seconds *= decay;
    it.prefill_seconds *= decay;
    it.service_seconds *= decay;
  }
  AddCost(classes[cost_class], cost, 1.0 / kOfferedDecaySeconds);
}

double PlacementQueue::OfferedLoad::DecayFactor(TimePoint now) const {
  return std::exp(-ToSeconds(now - updated) / kOfferedDecaySeconds);
}

PlacementCost PlacementQueue::OfferedLoad::CostBelow(std::size_t cost_class,
                                                     TimePoint now) const {
  PlacementCost sum;
  for (std::size_t i = 0; i < cost_class; ++i)
    AddCost(sum, classes[i], 1.0);
  // Requests of the same class are equally likely to go before or after.
  AddCost(sum, classes[cost_class], 0.5);
  const double decay = DecayFactor(now);
  return {sum.slot_seconds * decay, sum.prefill_seconds * decay};
}

bool PlacementQueue::IsFlooding(Rank rank, const CustomerId& customer) const {
  const auto it = customers_.find(customer);
  return it != customers_.end() &&
         it->second.queues[static_cast<std::size_t>(rank)].is_flooding;
}

WorkAhead PlacementQueue::AheadWithoutFlooding(Rank rank,
                                               const PlacementCost& cost,
                                               TimePoint now) const {
  const RankState& state = StateOf(rank);
  const std::size_t cost_class = CostClass(cost.service_seconds);
  WorkAhead ahead = {SumUpTo(state.cost_classes, cost_class),
                     state.offered.CostBelow(cost_class, now)};
  if (state.flooding_weight <= 0.0)
    return ahead;
  for (const auto& [id, customer] : customers_) {
    const CustomerQueue& customer_queue =
        customer.queues[static_cast<std::size_t>(rank)];
    if (!customer_queue.is_flooding)
      continue;
    AddCost(ahead.queued, SumUpTo(customer_queue.cost_classes, cost_class),
            -1.0);
    AddCost(ahead.arriving_per_second,
            customer_queue.offered.CostBelow(cost_class, now), -1.0);
  }
  return ahead;
}

double PlacementQueue::ShareWithoutFlooding(Rank rank) const {
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
  const CustomerQueue& customer_queue =
      it->second.queues[static_cast<std::size_t>(rank)];
  const std::size_t cost_class = CostClass(cost.service_seconds);
  return {SumUpTo(customer_queue.cost_classes, cost_class),
          customer_queue.offered.CostBelow(cost_class, now)};
}

PlacementCost PlacementQueue::SumUpTo(const CostClasses& classes,
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
      it->second.queues[static_cast<std::size_t>(rank)].by_latest_start.empty())
    active += own;
  return std::min(own / active, 1.0);
}

std::size_t PlacementQueue::RunningCount(const CustomerId& customer) const {
  const auto it = customers_.find(customer);
  return it != customers_.end() ? it->second.running : 0;
}

std::optional<TimePoint> PlacementQueue::NextLatestStart() const {
  std::optional<TimePoint> next;
  for (const RankState& state : ranks_) {
    if (state.by_latest_start.empty())
      continue;
    const TimePoint it = state.by_latest_start.begin()->latest_start;
    next = next ? std::min(*next, it) : it;
  }
  return next;
}

}  // namespace briarlead
