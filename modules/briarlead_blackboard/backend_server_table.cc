#include "briarlead_blackboard/backend_server_table.h"

namespace briarlead {

void BackendServerTable::Put(const BackendServerRecord& record) {
  records_[record.id] = record;
}

const BackendServerRecord* BackendServerTable::Find(
    const BackendServerId& id) const {
  const auto it = records_.find(id);
  return it == records_.end() ? nullptr : &it->second;
}

BackendServerRecord* BackendServerTable::Find(const BackendServerId& id) {
  const auto it = records_.find(id);
  return it == records_.end() ? nullptr : &it->second;
}

std::vector<const BackendServerRecord*> BackendServerTable::ServingEngines(
    const DataCentreId& data_centre,
    const ModelId& model,
    BackendServerRole role) const {
  std::vector<const BackendServerRecord*> found;
  for (const auto& [id, record] : records_) {
    if (record.data_centre == data_centre && record.model == model &&
        record.role == role && record.state == BackendServerState::kServing) {
      found.push_back(&record);
    }
  }
  return found;
}

std::vector<const BackendServerRecord*> BackendServerTable::ServingRunners(
    const DataCentreId& data_centre,
    const ServiceId& service) const {
  std::vector<const BackendServerRecord*> found;
  for (const auto& [id, record] : records_) {
    if (record.data_centre == data_centre && record.service == service &&
        record.role == BackendServerRole::kService &&
        record.state == BackendServerState::kServing) {
      found.push_back(&record);
    }
  }
  return found;
}

}  // namespace briarlead
