#ifndef BRIARLEAD_SETTINGS_ENTRY_SETTINGS_H_
#define BRIARLEAD_SETTINGS_ENTRY_SETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/findings.h"
#include "briarlead_core/identifiers.h"
#include "briarlead_core/logger.h"
#include "briarlead_core/time.h"

namespace briarlead {

/// A method and path of a plain HTTP service. Calls of them are safe to retry.
struct RepeatableRoute {
  std::string method;  ///< Upper case, for example "GET".
  std::string path;    ///< Without the service's prefix, e.g. "/stock".

  friend bool operator==(const RepeatableRoute&,
                         const RepeatableRoute&) = default;
};

/// A plain HTTP service, to which requests under its path prefix are forwarded.
struct ServiceSettings {
  ServiceId service;
  std::string path_prefix;  ///< "/visit-desk"; no trailing slash.
  std::vector<RepeatableRoute> repeatable;  ///< Calls that are safe to retry.
  Duration answer_timeout = std::chrono::seconds(10);

  /// Returns whether a call of `method` on `path` is safe to retry. `path` is
  /// given without the prefix and without the query.
  [[nodiscard]] bool IsRepeatable(std::string_view method,
                                  std::string_view path) const;
};

/// A model that callers may request.
struct ModelSettings {
  ModelId model;
  std::uint32_t max_prompt_tokens = 32768;
  std::uint32_t max_output_tokens = 4096;
  /// Size of the KV cache for one token.
  std::uint64_t kv_bytes_per_token = 131072;
};

/// Limits on the resources that callers may use.
struct CallerLimits {
  std::size_t max_body_bytes = 1'048'576;
  std::uint32_t max_connections = 4096;
  Duration header_timeout = std::chrono::seconds(10);
};

/// Settings of an entry process.
struct EntrySettings {
  HostId host;
  DataCentreId data_centre;
  /// Accepts HTTP requests from callers and backend servers.
  Endpoint callers;
  Endpoint peers;  ///< Accepts frames (TCP) and gossip (UDP) from other hosts.
  std::vector<Endpoint> peers_seeds;  ///< Entry hosts contacted to join.
  std::vector<Endpoint> controls;     ///< Control hosts.
  /// Number of entry hosts in the whole fleet. Each of them gets an equal part
  /// of every customer's limits.
  std::uint32_t entry_hosts = 1;
  std::string frame_key;            ///< Bytes of the key that all hosts share.
  std::string backend_server_key;   ///< Bearer key of backend servers.
  std::string operator_key_sha256;  ///< SHA-256 of the operators' bearer key.
  std::vector<ServiceSettings> services;
  std::vector<ModelSettings> models;
  CallerLimits limits;
  LogLevel log_level = LogLevel::kInfo;

  /// Returns the settings of `model`, or null if the model is not configured.
  [[nodiscard]] const ModelSettings* Find(const ModelId& model) const;

  /// Returns the service whose path prefix covers `path`, or null.
  [[nodiscard]] const ServiceSettings* FindByPath(std::string_view path) const;
};

/// Reads and checks the settings of an entry process from `text`, which is JSON
/// with comments. Adds a finding to `findings` for each fault, with `file` as
/// the file name.
/// @returns the settings, or nullopt if there was a fault.
std::optional<EntrySettings> ParseEntrySettings(std::string_view file,
                                                std::string_view text,
                                                Findings& findings);

}  // namespace briarlead

#endif  // BRIARLEAD_SETTINGS_ENTRY_SETTINGS_H_
