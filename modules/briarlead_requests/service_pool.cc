#include "briarlead_requests/service_pool.h"

#include <algorithm>
#include <utility>

namespace briarlead {

namespace {

/// Weight of the latest call in the exponential mean of the service time.
constexpr double kLatestCallWeight = 0.1;
constexpr Duration kMinRetryAfter = std::chrono::seconds(1);

}  // namespace

ServicePool::ServicePool(ServiceId service,
                         DataCentreId data_centre,
                         const Blackboard& blackboard,
                         const ServicePoolLimits& limits)
    : service_(std::move(service)),
      data_centre_(std::move(data_centre)),
      blackboard_(blackboard),
      limits_(limits) {}

void ServicePool::Enqueue(const ServiceCall& call, TimePoint now) {
  if (blackboard_.servers.ServingRunners(data_centre_, service_).empty()) {
    Refuse(call.request, "no runner of the service is there");
    return;
  }
  if (QueueOf(call.rank).size() >= limits_.max_queued) {
    Refuse(call.request, "the queue of its rank is full");
    return;
  }
  if (CustomerReachedShare(call)) {
    Refuse(call.request, "the customer fills its share of the queue");
    return;
  }
  QueueOf(call.rank).push_back({call, now + call.answer_target});
  StartQueuedCalls(now);
}

void ServicePool::OnEnded(const RequestId& request,
                          bool answered,
                          TimePoint now) {
  for (Queue& queue : queues_) {
    std::erase_if(queue, [&](const QueuedCall& it) {
      return it.call.request == request;
    });
  }
  const auto it = running_.find(request);
  if (it != running_.end()) {
    if (answered) {
      const double mean = ToSeconds(mean_service_time_);
      const double latest = ToSeconds(now - it->second.started);
      mean_service_time_ =
          FromSeconds(mean + kLatestCallWeight * (latest - mean));
    }
    --slots_in_use_[it->second.server];
    running_.erase(it);
  }
  StartQueuedCalls(now);
}

std::vector<ServicePoolCommand> ServicePool::TakeCommands() {
  return std::exchange(commands_, {});
}

std::size_t ServicePool::queued() const {
  std::size_t n = 0;
  for (const Queue& it : queues_)
    n += it.size();
  return n;
}

void ServicePool::StartQueuedCalls(TimePoint now) {
  RefuseExpired(now);
  while (queued() > 0) {
    const BackendServerRecord* runner = PickRunner();
    if (runner == nullptr)
      return;
    Queue& queue = QueueOf(NextRank());
    const QueuedCall next = std::move(queue.front());
    queue.pop_front();
    Start(next, *runner, now);
  }
}

void ServicePool::RefuseExpired(TimePoint now) {
  // Patient calls are never refused for lateness: a late answer is
  // better than none.
  Queue& urgent = QueueOf(Rank::kUrgent);
  const auto has_expired = [now](const QueuedCall& it) {
    return it.deadline <= now;
  };
  for (const QueuedCall& it : urgent) {
    if (has_expired(it))
      Refuse(it.call.request, "it can't be answered on time any more");
  }
  std::erase_if(urgent, has_expired);
}

bool ServicePool::CustomerReachedShare(const ServiceCall& call) const {
  const Queue& queue = queues_[static_cast<std::size_t>(call.rank)];
  const auto n = std::count_if(
      queue.begin(), queue.end(),
      [&](const QueuedCall& it) { return it.call.customer == call.customer; });
  return static_cast<double>(n) >=
         limits_.customer_share * static_cast<double>(limits_.max_queued);
}

const BackendServerRecord* ServicePool::PickRunner() const {
  const BackendServerRecord* best = nullptr;
  std::size_t lowest_load = 0;
  for (const BackendServerRecord* it :
       blackboard_.servers.ServingRunners(data_centre_, service_)) {
    const std::size_t in_use = SlotsInUse(it->id);
    if (in_use >= it->slots)
      continue;
    // Calls of other entry hosts are visible only in the runner's load report.
    const std::size_t load = in_use + it->load.running + it->load.waiting;
    if (best == nullptr || load < lowest_load) {
      best = it;
      lowest_load = load;
    }
  }
  return best;
}

std::size_t ServicePool::SlotsInUse(const BackendServerId& server) const {
  const auto it = slots_in_use_.find(server);
  return it == slots_in_use_.end() ? 0 : it->second;
}

Rank ServicePool::NextRank() {
  if (QueueOf(Rank::kUrgent).empty())
    return Rank::kPatient;
  if (QueueOf(Rank::kPatient).empty())
    return Rank::kUrgent;
  if (++urgent_starts_in_row_ < limits_.patient_start_interval)
    return Rank::kUrgent;
  urgent_starts_in_row_ = 0;
  return Rank::kPatient;
}

void ServicePool::Start(const QueuedCall& queued_call,
                        const BackendServerRecord& runner,
                        TimePoint now) {
  const std::size_t in_use = ++slots_in_use_[runner.id];
  running_[queued_call.call.request] = {runner.id, now};
  commands_.emplace_back(
      SendToRunner{queued_call.call.request, runner.id,
                   "least loaded runner, " + std::to_string(in_use) + " of " +
                       std::to_string(runner.slots) + " slots in use"});
}

void ServicePool::Refuse(const RequestId& request, std::string reason) {
  commands_.emplace_back(RefuseCall{
      request, std::max(kMinRetryAfter, EstimateWait()), std::move(reason)});
}

Duration ServicePool::EstimateWait() const {
  std::size_t slots = 0;
  for (const BackendServerRecord* it :
       blackboard_.servers.ServingRunners(data_centre_, service_)) {
    slots += it->slots;
  }
  if (slots == 0)
    return kMinRetryAfter;
  const auto calls = static_cast<Duration::rep>(queued() + running_.size());
  return mean_service_time_ * calls / static_cast<Duration::rep>(slots);
}

}  // namespace briarlead
