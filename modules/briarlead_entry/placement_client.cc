#include "briarlead_entry/placement_client.h"

#include <utility>
#include <variant>

namespace briarlead {

namespace {

/// Notes in `in_flight` the stage that follows from an event.
class StageNoter {
 public:
  StageNoter(InFlightPlacement& in_flight, std::uint32_t delivered_when_asked)
      : in_flight_(in_flight), delivered_when_asked_(delivered_when_asked) {}

  void operator()(const PrefillDoneMessage&) const {
    in_flight_.stage = PlacementStage::kTransfer;
  }
  void operator()(const FirstTokenMessage&) const {
    in_flight_.stage = PlacementStage::kDecode;
  }
  void operator()(const ProgressMessage& event) const {
    in_flight_.placement.delivered_tokens =
        delivered_when_asked_ + event.tokens;
  }
  void operator()(const AttemptFailedMessage&) const {
    in_flight_.stage = PlacementStage::kQueued;
  }
  template <typename Event>
  void operator()(const Event&) const {}

 private:
  InFlightPlacement& in_flight_;
  std::uint32_t delivered_when_asked_;
};

}  // namespace

void PlacementClient::Ask(const PlacementRequest& placement, TimePoint now) {
  const HostId* owner = OwnerOf(placement.model);
  if (owner == nullptr) {
    ownerless_.push_back({placement.request});
    return;
  }
  const Entry& entry = Renew(placement, std::nullopt, now);
  SendTo(entry, entry.in_flight.placement);
}

void PlacementClient::AskElsewhere(const PlacementRequest& placement,
                                   const ShardOwnerAddress& remote,
                                   TimePoint now) {
  const Entry& entry = Renew(placement, remote, now);
  SendTo(entry, entry.in_flight.placement);
}

PlacementClient::Entry& PlacementClient::Renew(
    const PlacementRequest& placement,
    const std::optional<ShardOwnerAddress>& remote,
    TimePoint now) {
  Entry& entry = requests_[placement.request];
  const bool was_asked = !entry.in_flight.placement.request.host.empty();
  if (was_asked && entry.remote != remote)
    SendTo(entry, CallerGoneMessage{placement.request});
  const std::uint32_t last_attempt = entry.in_flight.attempt;
  entry.in_flight.placement = placement;
  entry.in_flight.placement.last_attempt = last_attempt;
  entry.in_flight.stage = PlacementStage::kQueued;
  entry.asked = now;
  entry.delivered_when_asked = placement.delivered_tokens;
  entry.remote = remote;
  return entry;
}

bool PlacementClient::OnGrant(const PlacementGrant& grant,
                              const std::optional<Endpoint>& remote) {
  const auto it = requests_.find(grant.request);
  const bool known = it != requests_.end();
  const bool from_asked = known && (it->second.remote.has_value()
                                        ? remote == it->second.remote->peers
                                        : !remote.has_value());
  if (!from_asked) {
    // Whoever granted it must not hold engines for it.
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

PlacementRequest PlacementClient::AsOf(const Entry& entry, TimePoint now) {
  PlacementRequest placement = entry.in_flight.placement;
  placement.waited += now - entry.asked;
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
  return AsOf(it->second, now);
}

const ShardOwnerAddress* PlacementClient::RemoteOf(const RequestId& id) const {
  const auto it = requests_.find(id);
  if (it == requests_.end() || !it->second.remote.has_value())
    return nullptr;
  return &*it->second.remote;
}

std::vector<PlacementRequest> PlacementClient::QueuedAt(
    const std::function<bool(const ShardOwnerAddress& owner,
                             const ModelId& model)>& is_lost,
    TimePoint now) const {
  std::vector<PlacementRequest> queued;
  for (const auto& [id, entry] : requests_) {
    const ModelId& model = entry.in_flight.placement.model;
    if (entry.remote.has_value() &&
        entry.in_flight.stage == PlacementStage::kQueued &&
        is_lost(*entry.remote, model)) {
      queued.push_back(AsOf(entry, now));
    }
  }
  return queued;
}

void PlacementClient::Report(const RequestId& request,
                             const DispatchMessage& event) {
  const auto it = requests_.find(request);
  if (it == requests_.end())
    return;
  std::visit(StageNoter(it->second.in_flight, it->second.delivered_when_asked),
             event);
  SendTo(it->second, event);
}

void PlacementClient::Forget(const RequestId& request) {
  requests_.erase(request);
}

void PlacementClient::SetOwner(const ModelId& model,
                               const std::optional<HostId>& owner,
                               TimePoint now) {
  const HostId* known = OwnerOf(model);
  if (!owner.has_value()) {
    owners_.erase(model);
    return;
  }
  if (known != nullptr && *known == *owner)
    return;
  owners_[model] = *owner;
  for (auto& [id, entry] : requests_) {
    if (entry.in_flight.placement.model == model && !entry.remote.has_value())
      Register(entry, *owner, now);
  }
}

void PlacementClient::OnOwnerUnsure(const HostId& owner, TimePoint now) {
  for (auto& [id, entry] : requests_) {
    const HostId* known = OwnerOf(entry.in_flight.placement.model);
    if (known != nullptr && *known == owner && !entry.remote.has_value())
      Register(entry, owner, now);
  }
}

std::vector<OwnerMessage> PlacementClient::TakeMessages() {
  return std::exchange(messages_, {});
}

std::vector<NoOwner> PlacementClient::TakeOwnerless() {
  return std::exchange(ownerless_, {});
}

void PlacementClient::Register(Entry& entry,
                               const HostId& owner,
                               TimePoint now) {
  entry.in_flight.placement.waited += now - entry.asked;
  entry.asked = now;
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
