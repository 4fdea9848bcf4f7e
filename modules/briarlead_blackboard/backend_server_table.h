#ifndef BRIARLEAD_BLACKBOARD_BACKEND_SERVER_TABLE_H_
#define BRIARLEAD_BLACKBOARD_BACKEND_SERVER_TABLE_H_

#include <map>
#include <vector>

#include "briarlead_blackboard/backend_server_record.h"

namespace briarlead {

/// The backend servers that this process knows. Iteration is in order of id, so
/// that equal tables lead to equal decisions.
class BackendServerTable {
 public:
  /// Adds `record`, or replaces the record with the same id.
  void Put(const BackendServerRecord& record);

  /// Returns the record of `id`, or null if `id` is unknown.
  [[nodiscard]] const BackendServerRecord* Find(
      const BackendServerId& id) const;
  [[nodiscard]] BackendServerRecord* Find(const BackendServerId& id);

  /// Returns the engines of `model` in `data_centre` with the given role that
  /// may be given new work, in order of id.
  [[nodiscard]] std::vector<const BackendServerRecord*> ServingEngines(
      const DataCentreId& data_centre,
      const ModelId& model,
      BackendServerRole role) const;

  /// Returns the runners of `service` in `data_centre` that may be given new
  /// work, in order of id.
  [[nodiscard]] std::vector<const BackendServerRecord*> ServingRunners(
      const DataCentreId& data_centre,
      const ServiceId& service) const;

  /// Returns every record, in order of id.
  [[nodiscard]] const std::map<BackendServerId, BackendServerRecord>& items()
      const {
    return records_;
  }

  /// Removes the record of `id`; does nothing if `id` is unknown.
  void Erase(const BackendServerId& id) { records_.erase(id); }

 private:
  std::map<BackendServerId, BackendServerRecord> records_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_BLACKBOARD_BACKEND_SERVER_TABLE_H_
