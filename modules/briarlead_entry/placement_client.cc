#include "briarlead_entry/placement_client.h"

#include <utility>
#include <variant>

namespace briarlead {

namespace {

/// Notes in `in_flight` the stage that follows from an event.
class StageNoter {
 public:
  explicit StageNoter(InFlightPlacement& in_flight) : in_flight_(in_flight) {}

  void operator()(const PrefillDoneMessage&) const {
    in_flight_.stage = PlacementStage::kTransfer;
  }
  void operator()(const FirstTokenMessage&) const {
    in_flight_.stage = PlacementStage::kDecode;
  }
  void operator()(const ProgressMessage& event) const {
    in_flight_.placement.delivered_tokens = event.tokens;
  }
  void operator()(const AttemptFailedMessage&) const {
    in_flight_.stage = PlacementStage::kQueued;
  }
  template <typename Event>
  void operator()(const Event&) const {}

 private:
  InFlightPlacement& in_flight_;
};

}  // namespace

void PlacementClient::Ask(const PlacementRequest& placement, TimePoint now) {
  const HostId* owner = OwnerOf(placement.model);
  if (owner == nullptr) {
    ownerless_.push_back({placement.request});
    return;
  }
  Entry& entry = requests_[placement.request];
  const std::uint32_t last_attempt = entry.in_flight.attempt;
  entry.in_flight.placement = placement;
  entry.in_flight.placement.last_attempt = last_attempt;
  entry.in_flight.stage = PlacementStage::kQueued;
  entry.asked = now;
  messages_.push_back({*owner, entry.in_flight.placement});
}

bool PlacementClient::OnGrant(const PlacementGrant& grant) {
  const auto it = requests_.find(grant.request);
  if (it == requests_.end())
    return false;
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

void PlacementClient::Report(const RequestId& request,
                             const DispatchMessage& event) {
  const auto it = requests_.find(request);
  if (it == requests_.end())
    return;
  std::visit(StageNoter(it->second.in_flight), event);
  const HostId* owner = OwnerOf(it->second.in_flight.placement.model);
  if (owner != nullptr)
    messages_.push_back({*owner, event});
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
    if (entry.in_flight.placement.model == model)
      Register(entry, *owner, now);
  }
}

void PlacementClient::OnOwnerUnsure(const HostId& owner, TimePoint now) {
  for (auto& [id, entry] : requests_) {
    const HostId* known = OwnerOf(entry.in_flight.placement.model);
    if (known != nullptr && *known == owner)
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
    messages_.push_back({owner, entry.in_flight.placement});
    return;
  }
  messages_.push_back({owner, ReRegisterMessage{entry.in_flight}});
}

const HostId* PlacementClient::OwnerOf(const ModelId& model) const {
  const auto it = owners_.find(model);
  return it == owners_.end() ? nullptr : &it->second;
}

}  // namespace briarlead
