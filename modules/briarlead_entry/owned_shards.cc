#include "briarlead_entry/owned_shards.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace briarlead {

namespace {

/// Passes an event to a dispatcher. Events name a request, not its shard; a
/// dispatcher ignores requests that are not its own.
class EventForwarder {
 public:
  EventForwarder(Dispatcher& dispatcher, const ModelId& model, TimePoint now)
      : dispatcher_(dispatcher), model_(model), now_(now) {}

  void operator()(const PlacementRequest& it) const {
    if (it.model == model_)
      dispatcher_.Enqueue(it, now_);
  }
  void operator()(const ReRegisterMessage& it) const {
    if (it.in_flight.placement.model == model_)
      dispatcher_.OnReRegister(it.in_flight, now_);
  }
  void operator()(const PrefillDoneMessage& it) const {
    dispatcher_.OnPrefillDone(it.request, it.attempt, it.kv_bytes, now_);
  }
  void operator()(const FirstTokenMessage& it) const {
    dispatcher_.OnFirstToken(it.request, it.attempt, now_);
  }
  void operator()(const ProgressMessage& it) const {
    dispatcher_.OnProgress(it.request, it.attempt, it.tokens, now_);
  }
  void operator()(const FinishedMessage& it) const {
    dispatcher_.OnFinished(it.request, it.attempt, it.output_tokens, now_);
  }
  void operator()(const AttemptFailedMessage& it) const {
    dispatcher_.OnAttemptFailed(it.request, it.attempt, it.stage, it.server,
                                now_);
  }
  void operator()(const CallerGoneMessage& it) const {
    dispatcher_.OnCallerGone(it.request, now_);
  }
  void operator()(const PlacementGrant&) const {}
  void operator()(const PlacementRefusal&) const {}
  void operator()(const RemoteGrantMessage&) const {}
  void operator()(const ShardSummaryMessage&) const {}

 private:
  Dispatcher& dispatcher_;
  const ModelId& model_;
  TimePoint now_;
};

}  // namespace

OwnedShards::OwnedShards(DataCentreId data_centre,
                         const Blackboard& blackboard,
                         const DispatcherOptions& options)
    : data_centre_(std::move(data_centre)),
      blackboard_(blackboard),
      options_(options) {}

void OwnedShards::SetOwned(const ModelId& model, bool owned, TimePoint now) {
  if (!owned) {
    shards_.erase(model);
    return;
  }
  std::unique_ptr<Dispatcher>& shard = shards_[model];
  if (shard)
    return;
  shard =
      std::make_unique<Dispatcher>(data_centre_, model, blackboard_, options_);
  shard->OnServersChanged(now);
}

void OwnedShards::OnMessage(const DispatchMessage& message, TimePoint now) {
  for (auto& [model, shard] : shards_)
    std::visit(EventForwarder(*shard, model, now), message);
}

void OwnedShards::OnHostDead(const HostId& host,
                             std::uint64_t incarnation,
                             TimePoint now) {
  for (auto& [model, shard] : shards_)
    shard->OnHostDead(host, incarnation, now);
}

void OwnedShards::OnEngineReport(const ModelId& model,
                                 const BackendServerId& server,
                                 std::span<const HeldAttempt> held,
                                 TimePoint now) {
  const auto it = shards_.find(model);
  if (it != shards_.end())
    it->second->OnEngineReport(server, held, now);
}

void OwnedShards::OnServersChanged(TimePoint now) {
  for (auto& [model, shard] : shards_)
    shard->OnServersChanged(now);
}

void OwnedShards::Tick(TimePoint now) {
  for (auto& [model, shard] : shards_)
    shard->Tick(now);
}

std::optional<TimePoint> OwnedShards::NextWake() const {
  std::optional<TimePoint> wake;
  for (const auto& [model, shard] : shards_) {
    const std::optional<TimePoint> due = shard->NextWake();
    if (due.has_value())
      wake = wake.has_value() ? std::min(*wake, *due) : *due;
  }
  return wake;
}

std::vector<DispatchCommand> OwnedShards::TakeCommands() {
  std::vector<DispatchCommand> commands;
  for (auto& [model, shard] : shards_) {
    for (DispatchCommand& it : shard->TakeCommands())
      commands.push_back(std::move(it));
  }
  return commands;
}

std::vector<ShardSummary> OwnedShards::Summaries(TimePoint now) const {
  std::vector<ShardSummary> summaries;
  for (const auto& [model, shard] : shards_)
    summaries.push_back(shard->Summary(now));
  return summaries;
}

}  // namespace briarlead
