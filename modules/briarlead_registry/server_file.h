#ifndef BRIARLEAD_REGISTRY_SERVER_FILE_H_
#define BRIARLEAD_REGISTRY_SERVER_FILE_H_

#include <string>
#include <vector>

#include "briarlead_core/error.h"
#include "briarlead_routes/server_record.h"

namespace briarlead {

/// Stores the backend servers that a control host knows in one file, so that
/// they are known immediately after a restart of the whole system. Of ready
/// servers the file is only a hint, as they announce themselves again. That a
/// server leaves may stand nowhere else: DirectoryPersistence decides when it
/// must be saved.
class ServerFile {
 public:
  /// `folder` must exist.
  explicit ServerFile(std::string folder) : folder_(std::move(folder)) {}

  /// Replaces the file atomically and syncs it.
  [[nodiscard]] Result<void> Save(
      const std::vector<ServerRecord>& servers) const;

  /// Returns the servers in the file. Errors: kNotFound, kCorrupt, kIo.
  [[nodiscard]] Result<std::vector<ServerRecord>> Load() const;

 private:
  std::string folder_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_REGISTRY_SERVER_FILE_H_
