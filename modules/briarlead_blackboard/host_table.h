#ifndef BRIARLEAD_BLACKBOARD_HOST_TABLE_H_
#define BRIARLEAD_BLACKBOARD_HOST_TABLE_H_

#include <map>
#include <vector>

#include "briarlead_blackboard/host_record.h"

namespace briarlead {

/// The entry hosts that this process knows, by id and in order of id, so that
/// whoever walks it decides the same from the same state.
class HostTable {
 public:
  /// Adds `record`, or replaces the record with its id.
  void Put(const HostRecord& record);

  /// Returns the record of `id`, or null.
  [[nodiscard]] const HostRecord* Find(const HostId& id) const;
  [[nodiscard]] HostRecord* Find(const HostId& id);

  /// Returns the records of `data_centre` in `state`, in order of id.
  [[nodiscard]] std::vector<const HostRecord*> InDataCentre(
      const DataCentreId& data_centre,
      HostState state) const;

  /// Returns every record, in order of id.
  [[nodiscard]] const std::map<HostId, HostRecord>& items() const {
    return records_;
  }

  /// Forgets `id`; nothing happens when it is not known.
  void Erase(const HostId& id) { records_.erase(id); }

 private:
  std::map<HostId, HostRecord> records_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_BLACKBOARD_HOST_TABLE_H_
