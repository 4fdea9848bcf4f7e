#include "briarlead_blackboard/host_table.h"

namespace briarlead {

void HostTable::Put(const HostRecord& record) {
  records_[record.id] = record;
}

const HostRecord* HostTable::Find(const HostId& id) const {
  const auto it = records_.find(id);
  return it == records_.end() ? nullptr : &it->second;
}

HostRecord* HostTable::Find(const HostId& id) {
  const auto it = records_.find(id);
  return it == records_.end() ? nullptr : &it->second;
}

std::vector<const HostRecord*> HostTable::InDataCentre(
    const DataCentreId& data_centre,
    HostState state) const {
  std::vector<const HostRecord*> found;
  for (const auto& [id, record] : records_) {
    if (record.data_centre == data_centre && record.state == state)
      found.push_back(&record);
  }
  return found;
}

}  // namespace briarlead
