#ifndef BRIARLEAD_SETTINGS_CONTROL_SETTINGS_H_
#define BRIARLEAD_SETTINGS_CONTROL_SETTINGS_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/findings.h"
#include "briarlead_core/identifiers.h"
#include "briarlead_core/logger.h"

namespace briarlead {

/// A control host of the initial set.
struct MemberSettings {
  HostId host;
  Endpoint peers;

  friend bool operator==(const MemberSettings&,
                         const MemberSettings&) = default;
};

/// Settings of a control process.
struct ControlSettings {
  HostId host;
  DataCentreId data_centre;
  /// Folder of everything that must survive: the replica's identity, its log
  /// and snapshots. A replica whose folder is empty comes up under a new
  /// identity.
  std::string data_folder;
  Endpoint peers;      ///< Takes frames of control and entry hosts (TCP).
  Endpoint operators;  ///< Takes HTTP of operators.
  /// Every control host. The first by name forms the group, once.
  std::vector<MemberSettings> members;
  /// Every data centre of the fleet: a change of the lists is reported for
  /// each, also for one that was not heard of since this process started.
  std::vector<DataCentreId> data_centres;
  std::string frame_key;            ///< Bytes of the key shared by hosts.
  std::string operator_key_sha256;  ///< Digest of the operators' bearer key.
  LogLevel log_level = LogLevel::kInfo;
};

/// Reads and checks the settings of a control process, JSON with comments.
/// Every fault goes into `findings` under `file`.
/// @returns the settings, or nullopt when anything was found.
std::optional<ControlSettings> ParseControlSettings(std::string_view file,
                                                    std::string_view text,
                                                    Findings& findings);

}  // namespace briarlead

#endif  // BRIARLEAD_SETTINGS_CONTROL_SETTINGS_H_
