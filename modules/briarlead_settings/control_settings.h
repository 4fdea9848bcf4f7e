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

/// A control host of the initial replication group.
struct MemberSettings {
  HostId host;
  Endpoint peers;  ///< Where this host accepts frames (TCP).

  friend bool operator==(const MemberSettings&,
                         const MemberSettings&) = default;
};

/// Settings of a control process.
struct ControlSettings {
  HostId host;
  DataCentreId data_centre;
  /// Folder of the data that must survive a restart: the replica's identity,
  /// its log and its snapshots. A replica that starts with an empty folder gets
  /// a new identity.
  std::string data_folder;
  Endpoint peers;      ///< Accepts frames from control and entry hosts (TCP).
  Endpoint operators;  ///< Accepts HTTP requests from operators.
  /// Every control host. The first in the order of names forms the replication
  /// group, once.
  std::vector<MemberSettings> members;
  /// Every data centre of the fleet. The progress of a change to the lists is
  /// reported for each of them, including those from which nothing has been
  /// received since this process started.
  std::vector<DataCentreId> data_centres;
  std::string frame_key;            ///< Bytes of the key that all hosts share.
  std::string operator_key_sha256;  ///< SHA-256 of the operators' bearer key.
  LogLevel log_level = LogLevel::kInfo;
};

/// Reads and checks the settings of a control process from `text`, which is
/// JSON with comments. Adds a finding to `findings` for each fault, with `file`
/// as the file name.
/// @returns the settings, or nullopt if there was a fault.
std::optional<ControlSettings> ParseControlSettings(std::string_view file,
                                                    std::string_view text,
                                                    Findings& findings);

}  // namespace briarlead

#endif  // BRIARLEAD_SETTINGS_CONTROL_SETTINGS_H_
