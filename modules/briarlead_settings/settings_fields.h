#ifndef BRIARLEAD_SETTINGS_SETTINGS_FIELDS_H_
#define BRIARLEAD_SETTINGS_SETTINGS_FIELDS_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/findings.h"
#include "briarlead_core/logger.h"
#include "briarlead_json/json_object_reader.h"

namespace briarlead {

/// Largest settings file that is read.
inline constexpr std::size_t kMaxSettingsBytes = 1'048'576;
inline constexpr std::size_t kMaxEndpoints = 1024;

// Fields that settings of several roles have in common. Each reads one key of
// `reader` and adds a finding for each fault.

/// Reads {"address": "10.0.0.1", "port": 7000}.
Endpoint ReadEndpoint(JsonObjectReader& reader);
Endpoint ReadEndpoint(JsonObjectReader& reader,
                      std::string_view key,
                      Findings& findings);

/// Reads an array of endpoints, each at most once.
std::vector<Endpoint> ReadEndpoints(JsonObjectReader& reader,
                                    std::string_view key,
                                    SizeRange count,
                                    Findings& findings);

/// Reads "frame_key", hexadecimal; returns its bytes.
std::string ReadFrameKey(JsonObjectReader& reader);

/// Reads "operator_key_sha256", 64 lower-case hexadecimal digits.
std::string ReadOperatorKeyDigest(JsonObjectReader& reader);

/// Reads "log_level"; info when it is missing.
LogLevel ReadLogLevel(JsonObjectReader& reader);

}  // namespace briarlead

#endif  // BRIARLEAD_SETTINGS_SETTINGS_FIELDS_H_
