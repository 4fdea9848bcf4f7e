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

/// Largest size of a settings file.
inline constexpr std::size_t kMaxSettingsBytes = 1'048'576;
inline constexpr std::size_t kMaxEndpoints = 1024;

// Readers of the fields that the settings of several roles have in common. Each
// adds a finding for each fault.

/// Reads an endpoint from the object of `reader`, such as
/// {"address": "10.0.0.1", "port": 7000}.
Endpoint ReadEndpoint(JsonObjectReader& reader);
/// Reads an endpoint from the object at `key`, and refuses other keys in it.
Endpoint ReadEndpoint(JsonObjectReader& reader,
                      std::string_view key,
                      Findings& findings);

/// Reads the array of endpoints at `key`; a repeated endpoint is a fault.
std::vector<Endpoint> ReadEndpoints(JsonObjectReader& reader,
                                    std::string_view key,
                                    SizeRange count,
                                    Findings& findings);

/// Reads "frame_key", an even number of lower-case hexadecimal digits.
/// @returns the bytes of the key, or an empty string if there was a fault.
std::string ReadFrameKey(JsonObjectReader& reader);

/// Reads "operator_key_sha256", 64 lower-case hexadecimal digits.
std::string ReadOperatorKeyDigest(JsonObjectReader& reader);

/// Reads "log_level"; the default is info.
LogLevel ReadLogLevel(JsonObjectReader& reader);

}  // namespace briarlead

#endif  // BRIARLEAD_SETTINGS_SETTINGS_FIELDS_H_
