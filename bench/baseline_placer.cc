#include "bench/baseline_placer.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace briarlead::bench {
namespace {

constexpr std::uint32_t kMaxAttempts = 4;
constexpr Duration kRetryAfter = std::chrono::seconds(5);
constexpr std::size_t kMaxQueued = 10'000;

}  // namespace

std::size_t BaselinePlacer::Load(const BackendServerId& server) const {
  const auto it = loads_.find(server);
  return it != loads_.end() ? it->second : 0;
}

BackendServerId BaselinePlacer::Pick(
    const std::vector<const BackendServerRecord*>& engines,
    std::uint64_t& turn) const {
  if (way_ == Baseline::kRoundRobin)
    return engines[turn++ % engines.size()]->id;
  const auto least = std::min_element(
      engines.begin(), engines.end(),
      [this](const BackendServerRecord* a, const BackendServerRecord* b) {
        return Load(a->id) < Load(b->id);
      });
  return (*least)->id;
}

void BaselinePlacer::Start(const PlacementRequest& placement) {
  const auto prefill = blackboard_.servers.ServingEngines(
      data_centre_, model_, BackendServerRole::kPrefill);
  const auto decode = blackboard_.servers.ServingEngines(
      data_centre_, model_, BackendServerRole::kDecode);
  if (prefill.empty() || decode.empty()) {
    commands_.emplace_back(
        PlacementRefusal{placement.request, kRetryAfter, "no engines"});
    return;
  }
  Running running;
  running.placement = placement;
  running.attempt = placement.last_attempt + 1;
  running.prefill = Pick(prefill, prefill_turn_);
  running.decode = Pick(decode, decode_turn_);
  ++loads_[running.prefill];
  ++loads_[running.decode];
  running_[placement.request] = running;
  commands_.emplace_back(PlacementGrant{placement.request, running.attempt,
                                        running.prefill, running.decode, ""});
}

void BaselinePlacer::End(const RequestId& request) {
  const auto it = running_.find(request);
  if (it == running_.end())
    return;
  if (it->second.in_prefill)
    --loads_[it->second.prefill];
  --loads_[it->second.decode];
  running_.erase(it);
}

void BaselinePlacer::Pump() {
  while (!queue_.empty() &&
         (way_ != Baseline::kFirstCome || running_.size() < slots_)) {
    const PlacementRequest next = queue_.front();
    queue_.pop_front();
    Start(next);
  }
}

void BaselinePlacer::Enqueue(const PlacementRequest& placement,
                             TimePoint /*now*/) {
  if (queue_.size() >= kMaxQueued || slots_ == 0 || prefill_engines_ == 0) {
    commands_.emplace_back(
        PlacementRefusal{placement.request, kRetryAfter, "queue full"});
    return;
  }
  queue_.push_back(placement);
  Pump();
}

void BaselinePlacer::OnPrefillDone(const RequestId& request,
                                   std::uint32_t attempt,
                                   std::uint64_t /*kv_bytes*/,
                                   TimePoint /*now*/) {
  const auto it = running_.find(request);
  if (it == running_.end() || it->second.attempt != attempt ||
      !it->second.in_prefill)
    return;
  it->second.in_prefill = false;
  --loads_[it->second.prefill];
}

void BaselinePlacer::OnFinished(const RequestId& request,
                                std::uint32_t /*attempt*/,
                                std::uint32_t /*output_tokens*/,
                                TimePoint /*now*/) {
  End(request);
  Pump();
}

void BaselinePlacer::OnAttemptFailed(const RequestId& request,
                                     std::uint32_t attempt,
                                     FailedStage /*stage*/,
                                     const BackendServerId& /*server*/,
                                     TimePoint /*now*/) {
  const auto it = running_.find(request);
  if (it == running_.end() || it->second.attempt != attempt)
    return;
  PlacementRequest placement = it->second.placement;
  placement.last_attempt = attempt;
  End(request);
  if (attempt >= kMaxAttempts)
    commands_.emplace_back(
        PlacementRefusal{request, kRetryAfter, "attempts used up"});
  else
    queue_.push_front(placement);
  Pump();
}

void BaselinePlacer::OnCallerGone(const RequestId& request, TimePoint /*now*/) {
  std::erase_if(queue_, [&request](const PlacementRequest& it) {
    return it.request == request;
  });
  const auto it = running_.find(request);
  if (it == running_.end())
    return;
  commands_.emplace_back(
      CancelOnEngine{it->second.prefill, request, it->second.attempt});
  commands_.emplace_back(
      CancelOnEngine{it->second.decode, request, it->second.attempt});
  End(request);
  Pump();
}

void BaselinePlacer::OnReRegister(const InFlightPlacement& in_flight,
                                  TimePoint now) {
  if (in_flight.stage == PlacementStage::kQueued) {
    Enqueue(in_flight.placement, now);
    return;
  }
  Running running;
  running.placement = in_flight.placement;
  running.attempt = in_flight.attempt;
  running.prefill = in_flight.prefill_server;
  running.decode = in_flight.decode_server;
  running.in_prefill = in_flight.stage == PlacementStage::kPrefill;
  if (running.in_prefill)
    ++loads_[running.prefill];
  ++loads_[running.decode];
  running_[running.placement.request] = running;
}

void BaselinePlacer::OnServersChanged(TimePoint /*now*/) {
  slots_ = 0;
  for (const BackendServerRecord* it : blackboard_.servers.ServingEngines(
           data_centre_, model_, BackendServerRole::kDecode))
    slots_ += it->slots;
  prefill_engines_ =
      blackboard_.servers
          .ServingEngines(data_centre_, model_, BackendServerRole::kPrefill)
          .size();
  if (slots_ > 0 && prefill_engines_ > 0) {
    Pump();
    return;
  }
  for (const PlacementRequest& it : std::exchange(queue_, {}))
    commands_.emplace_back(
        PlacementRefusal{it.request, kRetryAfter, "no engines"});
}

std::vector<DispatchCommand> BaselinePlacer::TakeCommands() {
  return std::exchange(commands_, {});
}

ShardSummary BaselinePlacer::Summary(TimePoint /*now*/) const {
  ShardSummary summary;
  summary.data_centre = data_centre_;
  summary.model = model_;
  summary.decode_slots = prefill_engines_ > 0 ? slots_ : 0;
  const std::size_t outstanding = running_.size() + queue_.size();
  summary.free_decode_slots =
      outstanding < slots_ ? slots_ - static_cast<std::uint32_t>(outstanding)
                           : 0;
  // Stands for the load: the shards are alike.
  summary.expected_patient_wait =
      std::chrono::milliseconds(static_cast<std::int64_t>(outstanding));
  summary.expected_urgent_wait = summary.expected_patient_wait;
  return summary;
}

}  // namespace briarlead::bench
