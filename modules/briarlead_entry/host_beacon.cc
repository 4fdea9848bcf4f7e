#include "briarlead_entry/host_beacon.h"

#include <functional>
#include <utility>

namespace briarlead {

std::optional<HostId> OwnerOf(const DataCentreId& data_centre,
                              const ModelId& model,
                              const HostTable& hosts) {
  std::optional<HostId> owner;
  std::size_t best = 0;
  for (const HostRecord* it :
       hosts.InDataCentre(data_centre, HostState::kAlive)) {
    const std::size_t score =
        std::hash<std::string>()(it->id.value() + "/" + model.value());
    if (!owner.has_value() || score > best) {
      owner = it->id;
      best = score;
    }
  }
  return owner;
}

std::string EncodeBeacon(const HostRecord& self) {
  return (self.state == HostState::kLeaving ? "L" : "A") +
         self.data_centre.value();
}

bool HostBeacon::OnBeacon(const PeerName& sender,
                          std::string_view payload,
                          TimePoint now) {
  if (payload.size() < 2)
    return false;
  HostRecord record;
  if (const HostRecord* known = blackboard_.hosts.Find(sender.host))
    record = *known;
  if (sender.incarnation < record.incarnation)
    return false;
  const HostState state =
      payload[0] == 'L' ? HostState::kLeaving : HostState::kAlive;
  const bool changed = record.id != sender.host || record.state != state ||
                       record.incarnation != sender.incarnation;
  if (record.id == sender.host && record.incarnation < sender.incarnation)
    dead_.push_back({record.id, record.incarnation});
  record.id = sender.host;
  record.incarnation = sender.incarnation;
  record.peers = sender.peers;
  record.data_centre = DataCentreId(std::string(payload.substr(1)));
  record.state = state;
  record.last_heard = now;
  blackboard_.hosts.Put(record);
  return changed;
}

bool HostBeacon::Tick(const HostId& self, TimePoint now) {
  bool changed = false;
  for (const auto& [id, known] : blackboard_.hosts.items()) {
    const Duration silence = now - known.last_heard;
    if (id == self || known.state == HostState::kDead ||
        silence < kSuspectAfter) {
      continue;
    }
    HostRecord& record = *blackboard_.hosts.Find(id);
    const HostState state =
        silence >= kDeadAfter ? HostState::kDead : HostState::kSuspect;
    if (record.state == state)
      continue;
    if (state == HostState::kDead)
      dead_.push_back({id, record.incarnation});
    record.state = state;
    changed = true;
  }
  for (const auto& [id, known] : blackboard_.servers.items()) {
    if (known.state != BackendServerState::kServing ||
        now - known.last_heard < kServerSilentAfter) {
      continue;
    }
    blackboard_.servers.Find(id)->state = BackendServerState::kSilent;
    changed = true;
  }
  return changed;
}

std::vector<DeadHost> HostBeacon::TakeDead() {
  return std::exchange(dead_, {});
}

}  // namespace briarlead
