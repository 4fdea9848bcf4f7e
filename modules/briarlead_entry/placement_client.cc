#include "briarlead_entry/placement_client.h"

#include <utility>
#include <variant>

namespace briarlead {

namespace {

/// Updates the stage and the delivered tokens of `in_flight` from an event.
class StageUpdater {
 public:
  StageUpdater(InFlightPlacement& in_flight, std::uint32_t delivered_before)
      : in_flight_(in_flight), delivered_before_(delivered_before) {}

  void operator()(const PrefillDoneMessage&) const {
    in_flight_.stage = PlacementStage::kTransfer;
  }
  void operator()(const FirstTokenMessage&) const {
    in_flight_.stage = PlacementStage::kDecode;
  }
  void operator()(const ProgressMessage& event) const {
    in_flight_.placement.delivered_tokens = delivered_before_ + event.tokens;
  }
  void operator()(const AttemptFailedMessage&) const {
    in_flight_.stage = PlacementStage::kQueued;
  }
  template <typename Event>
  void operator()(const Event&) const {}

 private:
  InFlightPlacement& in_flight_;
  std::uint32_t delivered_before_;
};

}  // namespace

void PlacementClient::RequestPlacement(const PlacementRequest& placement,
                                       TimePoint now) {
  const HostId* owner = OwnerOf(placement.model);
  if (owner == nullptr) {
    ownerless_.push_back({placement.request});
    return;
  }
  const Entry& entry = UpdateEntry(placement, std::nullopt, now);
  SendTo(entry, entry.in_flight.placement);
}

void PlacementClient::RequestRemotePlacement(const PlacementRequest& placement,
                                             const ShardOwnerAddress& remote,
                                             TimePoint now) {
  const Entry& entry = UpdateEntry(placement, remote, now);
  SendTo(entry, entry.in_flight.placement);
}

PlacementClient::Entry& PlacementClient::UpdateEntry(
    const PlacementRequest& placement,
    const std::optional<ShardOwnerAddress>& remote,
    TimePoint now) {
  Entry& entry = requests_[placement.request];
  const bool was_requested = !entry.in_flight.placement.request.host.empty();
  if (was_requested && entry.remote != remote)
    SendTo(entry, CallerGoneMessage{placement.request});
  const std::uint32_t last_attempt = entry.in_flight.attempt;
  entry.in_flight.placement = placement;
  entry.in_flight.placement.last_attempt = last_attempt;
  entry.in_flight.stage = PlacementStage::kQueued;
  entry.requested_at = now;
  entry.delivered_before = placement.delivered_tokens;
  entry.remote = remote;
  return entry;
}

bool PlacementClient::OnGrant(const PlacementGrant& grant,
                              const std::optional<Endpoint>& remote) {
  const auto it = requests_.find(grant.request);
  const bool found = it != requests_.end();
  const bool from_current_owner =
      found &&
      (it->second.remote.has_value() ? remote == it->second.remote->peers
                                     : !remote.has_value());
  if (!from_current_owner) {
    // The remote owner must not keep engines reserved for the request.
    if (remote.has_value()) {
      messages_.push_back({HostId(), CallerGoneMessage{grant.request}, remote});
    }
    return false;
  }
  InFlightPlacement& in_flight = it->second.in_flight;
  if (in_flight.stage != PlacementStage::kQueued ||
      grant.attempt <= in_flight.attempt) {
    return false;
  }
  in_flight.stage = PlacementStage::kPrefill;
  in_flight.attempt = grant.attempt;
  in_flight.placement.last_attempt = grant.attempt;
  in_flight.prefill_server = grant.prefill_server;
  in_flight.decode_server = grant.decode_server;
  return true;
}

PlacementRequest PlacementClient::RequestAsOf(const Entry& entry,
                                              TimePoint now) {
  PlacementRequest placement = entry.in_flight.placement;
  placement.waited += now - entry.requested_at;
  return placement;
}

std::optional<PlacementRequest> PlacementClient::FindQueued(
    const RequestId& id,
    TimePoint now) const {
  const auto it = requests_.find(id);
  if (it == requests_.end() ||
      it->second.in_flight.stage != PlacementStage::kQueued) {
    return std::nullopt;
  }
  return RequestAsOf(it->second, now);
}

const ShardOwnerAddress* PlacementClient::RemoteOwnerOf(
    const RequestId& id) const {
  const auto it = requests_.find(id);
  if (it == requests_.end() || !it->second.remote.has_value())
    return nullptr;
  return &*it->second.remote;
}

std::vector<PlacementRequest> PlacementClient::QueuedAtLostOwners(
    const std::function<bool(const ShardOwnerAddress& owner,
                             const ModelId& model)>& is_lost,
    TimePoint now) const {
  std::vector<PlacementRequest> queued;
  for (const auto& [id, entry] : requests_) {
    const ModelId& model = entry.in_flight.placement.model;
    if (entry.remote.has_value() &&
        entry.in_flight.stage == PlacementStage::kQueued &&
        is_lost(*entry.remote, model)) {
      queued.push_back(RequestAsOf(entry, now));
    }
  }
  return queued;
}

void PlacementClient::Report(const RequestId& request,
                             const DispatchMessage& event) {
  const auto it = requests_.find(request);
  if (it == requests_.end())
    return;
  std::visit(StageUpdater(it->second.in_flight, it->second.delivered_before),
             event);
  SendTo(it->second, event);
}

void PlacementClient::Forget(const RequestId& request) {
  requests_.erase(request);
}

void PlacementClient::SetOwner(const ModelId& model,
                               const std::optional<HostId>& owner,
                               TimePoint now) {
  const HostId* current = OwnerOf(model);
  if (!owner.has_value()) {
    owners_.erase(model);
    return;
  }
  if (current != nullptr && *current == *owner)
    return;
  owners_[model] = *owner;
  for (auto& [id, entry] : requests_) {
    if (entry.in_flight.placement.model == model && !entry.remote.has_value())
      ReRegister(entry, *owner, now);
  }
}

void PlacementClient::ReRegisterWith(const HostId& owner, TimePoint now) {
  for (auto& [id, entry] : requests_) {
    const HostId* current = OwnerOf(entry.in_flight.placement.model);
    if (current != nullptr && *current == owner && !entry.remote.has_value())
      ReRegister(entry, owner, now);
  }
}

std::vector<OwnerMessage> PlacementClient::TakeMessages() {
  return std::exchange(messages_, {});
}

std::vector<OwnerlessRequest> PlacementClient::TakeOwnerless() {
  return std::exchange(ownerless_, {});
}

void PlacementClient::ReRegister(Entry& entry,
                                 const HostId& owner,
                                 TimePoint now) {
  entry.in_flight.placement.waited += now - entry.requested_at;
  entry.requested_at = now;
  if (entry.in_flight.stage == PlacementStage::kQueued) {
    messages_.push_back({owner, entry.in_flight.placement, std::nullopt});
    return;
  }
  messages_.push_back(
      {owner, ReRegisterMessage{entry.in_flight}, std::nullopt});
}

void PlacementClient::SendTo(const Entry& entry,
                             const DispatchMessage& message) {
  if (entry.remote.has_value()) {
    messages_.push_back({entry.remote->host, message, entry.remote->peers});
    return;
  }
  const HostId* owner = OwnerOf(entry.in_flight.placement.model);
  if (owner != nullptr)
    messages_.push_back({*owner, message, std::nullopt});
}

const HostId* PlacementClient::OwnerOf(const ModelId& model) const {
  const auto it = owners_.find(model);
  return it == owners_.end() ? nullptr : &it->second;
}

}  // namespace briarlead
