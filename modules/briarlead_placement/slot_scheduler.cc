#include "briarlead_placement/slot_scheduler.h"

#include <algorithm>
#include <utility>

namespace briarlead {

namespace {

/// Load, in requests per slot, by which a server of another data centre must be
/// lighter than one of the asking host's.
constexpr double kRemotePenalty = 0.05;
/// Weight of one request in the failure share of a server.
constexpr double kFailureWeight = 1.0 / 16;
/// Time for which a server that rejected a request gets no other.
constexpr Duration kFullTime = std::chrono::milliseconds(10);
/// Doublings of that time for a server that failed several times in a row. A
/// server that has ended fails at once and would otherwise look idle.
constexpr unsigned kMaxBackoffSteps = 6;
constexpr Duration kMinGrantLife = std::chrono::milliseconds(100);
constexpr Duration kExpiryInterval = std::chrono::milliseconds(20);

std::uint32_t TotalSlots(std::span<const ServerRecord> servers) {
  std::uint32_t slots = 0;
  for (const ServerRecord& it : servers)
    slots += it.slots;
  return std::max(slots, 1U);
}

}  // namespace

void SlotScheduler::OnRequest(const Endpoint& host,
                              const SlotRequest& request,
                              std::span<const ServerRecord> usable,
                              TimePoint now) {
  Expire(now);
  const RequestId id{host, request.key};
  const auto grant = grants_.find(id);
  if (grant != grants_.end()) {
    if (grant->second.reply.number == request.number) {
      replies_.push_back({host, grant->second.reply});
      return;
    }
    // The host has given that slot up; its release was lost.
    EndGrant(grant);
  }
  Queue& queue = queues_[request.service];
  const auto waits =
      std::find_if(queue.waiting.begin(), queue.waiting.end(),
                   [&](const Waiting& it) { return it.id == id; });
  if (waits != queue.waiting.end()) {
    if (waits->request.number == request.number) {
      waits->ends = now + kRequestLife;
      Reply(id, request, SlotVerdict::kMustWait);
      return;
    }
    queue.waiting.erase(waits);
  }
  if (usable.empty()) {
    Reply(id, request, SlotVerdict::kNoServer);
    return;
  }
  Enqueue(id, request, usable, now);
}

void SlotScheduler::Enqueue(const RequestId& id,
                            const SlotRequest& request,
                            std::span<const ServerRecord> usable,
                            TimePoint now) {
  Queue& queue = queues_[request.service];
  Waiting waiting{
      id,
      request,
      now + request.target_left,
      now + request.deadline_left,
      now + kRequestLife,
      !request.account.empty() && shares_.IsAbove(request.account, now)};
  const Duration wait = ExpectedWait(queue, waiting, usable, now);
  const Duration spare = request.deadline_left - queue.work_time.mean();
  const bool is_too_long = ToSeconds(wait) > kMaxWaitShare * ToSeconds(spare) ||
                           HasAllItsPlaces(queue, request, usable);
  if (is_too_long) {
    Reply(id, request, SlotVerdict::kRefused, wait);
    return;
  }
  queue.waiting.push_back(std::move(waiting));
  PlaceQueue(queue, usable, now);
  const bool still_waits =
      !queue.waiting.empty() && queue.waiting.back().id == id;
  if (still_waits)
    Reply(id, request, SlotVerdict::kMustWait);
}

Duration SlotScheduler::ExpectedWait(const Queue& queue,
                                     const Waiting& waiting,
                                     std::span<const ServerRecord> usable,
                                     TimePoint now) {
  const Duration usual = queue.work_time.usual();
  const Order order = OrderOf(waiting, usual, now);
  const auto before = std::count_if(
      queue.waiting.begin(), queue.waiting.end(),
      [&](const Waiting& it) { return OrderOf(it, usual, now) <= order; });
  return FromSeconds(static_cast<double>(before) *
                     ToSeconds(queue.work_time.mean()) / TotalSlots(usable));
}

bool SlotScheduler::HasAllItsPlaces(
    const Queue& queue,
    const SlotRequest& request,
    std::span<const ServerRecord> usable) const {
  if (request.account.empty())
    return false;
  const auto n = static_cast<std::size_t>(std::count_if(
      queue.waiting.begin(), queue.waiting.end(), [&](const Waiting& it) {
        return it.request.account == request.account;
      }));
  const double places = TotalSlots(usable) * ToSeconds(request.deadline_left) /
                        ToSeconds(queue.work_time.mean());
  const double share = shares_.ShareOf(request.account, request.weight);
  return n >= kMinPlaces && static_cast<double>(n) >= share * places;
}

SlotScheduler::Order SlotScheduler::OrderOf(const Waiting& waiting,
                                            Duration usual_time,
                                            TimePoint now) {
  const bool late = waiting.target - now < usual_time;
  return {late, waiting.request.rank, waiting.above_share,
          late ? waiting.deadline : waiting.target};
}

const ServerRecord* SlotScheduler::FindServer(
    const SlotRequest& request,
    std::span<const ServerRecord> usable,
    TimePoint now) const {
  const ServerRecord* best = nullptr;
  double best_load = 0;
  for (const ServerRecord& it : usable) {
    const ServerIncarnation server = IncarnationOf(it);
    if (std::find(request.excluded.begin(), request.excluded.end(), server) !=
        request.excluded.end()) {
      continue;
    }
    const auto found = loads_.find(server);
    const ServerLoad known =
        found == loads_.end() ? ServerLoad() : found->second;
    const std::uint32_t slots = std::max(it.slots, 1U);
    if (known.in_use >= slots + kQueuedPerServer || now < known.paused_until)
      continue;
    const double load =
        static_cast<double>(known.in_use) / slots + known.failure_share +
        (it.data_centre == request.data_centre ? 0 : kRemotePenalty);
    if (best == nullptr || load < best_load) {
      best = &it;
      best_load = load;
    }
  }
  return best;
}

void SlotScheduler::Reply(const RequestId& id,
                          const SlotRequest& request,
                          SlotVerdict verdict,
                          Duration next_in) {
  replies_.push_back(
      {id.host, {request.key, request.number, verdict, {}, next_in}});
}

void SlotScheduler::GrantSlot(const RequestId& id,
                              const SlotRequest& request,
                              const ServerRecord& server,
                              TimePoint now) {
  const SlotReply reply{request.key, request.number, SlotVerdict::kGranted,
                        IncarnationOf(server), Duration::zero()};
  const Duration life =
      std::max(queues_[request.service].work_time.longest(), kMinGrantLife);
  grants_[id] = {reply, request.service, now + life};
  ++loads_[IncarnationOf(server)].in_use;
  shares_.OnServed(request.account, request.weight, 1, now);
  replies_.push_back({id.host, reply});
}

void SlotScheduler::OnRelease(const Endpoint& host,
                              const SlotRelease& release,
                              TimePoint now) {
  const auto grant = grants_.find({host, release.key});
  if (grant == grants_.end() || grant->second.reply.number != release.number)
    return;
  ServerLoad& load = loads_[grant->second.reply.server];
  if (release.outcome == SlotOutcome::kServed) {
    queues_[grant->second.service].work_time.OnServed(release.took);
    load.failure_share -= kFailureWeight * load.failure_share;
    load.failures_in_row = 0;
  } else if (release.outcome == SlotOutcome::kFailed) {
    load.failure_share += kFailureWeight * (1 - load.failure_share);
    load.failures_in_row = std::min(load.failures_in_row + 1, kMaxBackoffSteps);
    load.paused_until = now + kFullTime * (1 << load.failures_in_row);
  } else if (release.outcome == SlotOutcome::kRejected) {
    load.paused_until = now + kFullTime;
  }
  EndGrant(grant);
}

void SlotScheduler::EndGrant(std::map<RequestId, Grant>::iterator grant) {
  ServerLoad& load = loads_[grant->second.reply.server];
  load.in_use -= std::min(load.in_use, 1U);
  grants_.erase(grant);
}

std::optional<SlotScheduler::Choice> SlotScheduler::NextWaiting(
    const Queue& queue,
    std::span<const ServerRecord> usable,
    TimePoint now) const {
  if (queue.waiting.empty() || FindServer({}, usable, now) == nullptr)
    return std::nullopt;
  const Duration usual = queue.work_time.usual();
  const bool late_first = queue.grants_since_late + 1 >= kGrantsPerLateGrant;
  std::optional<Choice> best;
  Order best_order;
  bool any_late = false;
  for (std::size_t i = 0; i < queue.waiting.size(); ++i) {
    const Waiting& it = queue.waiting[i];
    Order order = OrderOf(it, usual, now);
    any_late = any_late || order.late;
    if (late_first && order.late)
      order = {false, 0, false, TimePoint() + (it.deadline - now)};
    if (best.has_value() && !(order < best_order))
      continue;
    // A request that has tried the only free server doesn't hold up the others.
    const ServerRecord* server = FindServer(it.request, usable, now);
    if (server == nullptr)
      continue;
    best = {i, server};
    best_order = order;
  }
  if (best.has_value())
    best->passes_late = any_late;
  return best;
}

void SlotScheduler::CompareShares(Queue& queue, TimePoint now) const {
  if (now - queue.compared_at < FairShares::kRefreshInterval)
    return;
  queue.compared_at = now;
  for (Waiting& it : queue.waiting) {
    it.above_share =
        !it.request.account.empty() && shares_.IsAbove(it.request.account, now);
  }
}

void SlotScheduler::PlaceWaiting(const ServiceId& service,
                                 std::span<const ServerRecord> usable,
                                 TimePoint now) {
  Expire(now);
  PlaceQueue(queues_[service], usable, now);
}

void SlotScheduler::PlaceQueue(Queue& queue,
                               std::span<const ServerRecord> usable,
                               TimePoint now) {
  CompareShares(queue, now);
  const Duration mean = queue.work_time.mean();
  while (const auto next = NextWaiting(queue, usable, now)) {
    const auto found =
        queue.waiting.begin() + static_cast<std::ptrdiff_t>(next->index);
    const Waiting chosen = std::move(*found);
    queue.waiting.erase(found);
    if (chosen.deadline - now < mean) {
      Reply(chosen.id, chosen.request, SlotVerdict::kRefused,
            ExpectedWait(queue, chosen, usable, now));
      continue;
    }
    const bool is_late = OrderOf(chosen, queue.work_time.usual(), now).late;
    if (is_late || !next->passes_late)
      queue.grants_since_late = 0;
    else
      ++queue.grants_since_late;
    GrantSlot(chosen.id, chosen.request, *next->server, now);
  }
}

std::set<ServiceId> SlotScheduler::WaitingServices() const {
  std::set<ServiceId> services;
  for (const auto& [service, queue] : queues_) {
    if (!queue.waiting.empty())
      services.insert(service);
  }
  return services;
}

std::size_t SlotScheduler::waiting_count() const {
  std::size_t n = 0;
  for (const auto& [service, queue] : queues_)
    n += queue.waiting.size();
  return n;
}

void SlotScheduler::Expire(TimePoint now) {
  if (now < next_expiry_)
    return;
  next_expiry_ = now + kExpiryInterval;
  for (auto& [service, queue] : queues_) {
    std::erase_if(queue.waiting,
                  [now](const Waiting& it) { return now >= it.ends; });
  }
  for (auto it = grants_.begin(); it != grants_.end();) {
    const auto next = std::next(it);
    if (now >= it->second.ends)
      EndGrant(it);
    it = next;
  }
}

std::vector<OutgoingSlotReply> SlotScheduler::TakeReplies() {
  return std::exchange(replies_, {});
}

}  // namespace briarlead
