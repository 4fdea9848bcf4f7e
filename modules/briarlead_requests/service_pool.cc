#include "briarlead_requests/service_pool.h"

#include <algorithm>
#include <utility>

namespace briarlead {

namespace {

/// Weight of the latest call in the mean service time.
constexpr double kNewestWeight = 0.1;
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
  if (CustomerFillsQueue(call)) {
    Refuse(call.request, "the customer fills its share of the queue");
    return;
  }
  QueueOf(call.rank).push_back({call, now + call.answer_target});
  Advance(now);
}

void ServicePool::OnEnded(const RequestId& request,
                          bool answered,
                          TimePoint now) {
  for (Queue& queue : queues_) {
    std::erase_if(
        queue, [&](const Waiting& it) { return it.call.request == request; });
  }
  const auto it = running_.find(request);
  if (it != running_.end()) {
    if (answered) {
      const double mean = ToSeconds(mean_service_time_);
      const double latest = ToSeconds(now - it->second.started);
      mean_service_time_ = FromSeconds(mean + kNewestWeight * (latest - mean));
    }
    --in_use_[it->second.server];
    running_.erase(it);
  }
  Advance(now);
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

void ServicePool::Advance(TimePoint now) {
  RefuseLate(now);
  while (queued() > 0) {
    const BackendServerRecord* runner = PickRunner();
    if (runner == nullptr)
      return;
    Queue& queue = QueueOf(NextRank());
    const Waiting next = std::move(queue.front());
    queue.pop_front();
    Start(next, *runner, now);
  }
}

void ServicePool::RefuseLate(TimePoint now) {
  // Patient calls are answered late rather than never.
  Queue& urgent = QueueOf(Rank::kUrgent);
  const auto is_late = [now](const Waiting& it) { return it.deadline <= now; };
  for (const Waiting& it : urgent) {
    if (is_late(it))
      Refuse(it.call.request, "it can't be answered on time any more");
  }
  std::erase_if(urgent, is_late);
}

bool ServicePool::CustomerFillsQueue(const ServiceCall& call) const {
  const Queue& queue = queues_[static_cast<std::size_t>(call.rank)];
  const auto n = std::count_if(
      queue.begin(), queue.end(),
      [&](const Waiting& it) { return it.call.customer == call.customer; });
  return static_cast<double>(n) >=
         limits_.customer_share * static_cast<double>(limits_.max_queued);
}

const BackendServerRecord* ServicePool::PickRunner() const {
  const BackendServerRecord* best = nullptr;
  std::size_t best_in_use = 0;
  for (const BackendServerRecord* it :
       blackboard_.servers.ServingRunners(data_centre_, service_)) {
    const std::size_t in_use = SlotsInUse(it->id);
    if (in_use >= it->slots)
      continue;
    // Other entry hosts' calls show only in the runner's own report.
    const std::size_t load = in_use + it->load.running + it->load.waiting;
    if (best == nullptr || load < best_in_use) {
      best = it;
      best_in_use = load;
    }
  }
  return best;
}

std::size_t ServicePool::SlotsInUse(const BackendServerId& server) const {
  const auto it = in_use_.find(server);
  return it == in_use_.end() ? 0 : it->second;
}

Rank ServicePool::NextRank() {
  if (QueueOf(Rank::kUrgent).empty())
    return Rank::kPatient;
  if (QueueOf(Rank::kPatient).empty())
    return Rank::kUrgent;
  if (++urgent_starts_ < limits_.patient_turn)
    return Rank::kUrgent;
  urgent_starts_ = 0;
  return Rank::kPatient;
}

void ServicePool::Start(const Waiting& waiting,
                        const BackendServerRecord& runner,
                        TimePoint now) {
  const std::size_t in_use = ++in_use_[runner.id];
  running_[waiting.call.request] = {runner.id, now};
  commands_.emplace_back(
      SendToRunner{waiting.call.request, runner.id,
                   "least loaded runner, " + std::to_string(in_use) + " of " +
                       std::to_string(runner.slots) + " slots in use"});
}

void ServicePool::Refuse(const RequestId& request, std::string reason) {
  commands_.emplace_back(RefuseCall{
      request, std::max(kMinRetryAfter, ForecastWait()), std::move(reason)});
}

Duration ServicePool::ForecastWait() const {
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
