#ifndef BRIARLEAD_BLACKBOARD_HOST_TABLE_H_
#define BRIARLEAD_BLACKBOARD_HOST_TABLE_H_

#include <map>
#include <vector>

#include "briarlead_blackboard/host_record.h"

namespace briarlead {

/// The entry hosts that this process knows. Iteration is in order of id, so
/// that equal tables lead to equal decisions.
class HostTable {
 public:
  /// Adds `record`, or replaces the record with the same id.
  void Put(const HostRecord& record);

  /// Returns the record of `id`, or null if `id` is unknown.
  [[nodiscard]] const HostRecord* Find(const HostId& id) const;
  [[nodiscard]] HostRecord* Find(const HostId& id);

  /// Returns the hosts of `data_centre` that are in `state`, in order of id.
  [[nodiscard]] std::vector<const HostRecord*> InDataCentre(
      const DataCentreId& data_centre,
      HostState state) const;

  /// Returns every record, in order of id.
  [[nodiscard]] const std::map<HostId, HostRecord>& items() const {
    return records_;
  }

  /// Removes the record of `id`; does nothing if `id` is unknown.
  void Erase(const HostId& id) { records_.erase(id); }

 private:
  std::map<HostId, HostRecord> records_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_BLACKBOARD_HOST_TABLE_H_
