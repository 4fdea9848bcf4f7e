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

/// A method and path of a plain service whose calls may be repeated.
struct RepeatableRoute {
  std::string method;  ///< Upper case, for example "GET".
  std::string path;    ///< Below the service's prefix, for example "/stock".

  friend bool operator==(const RepeatableRoute&,
                         const RepeatableRoute&) = default;
};

/// A plain service that callers reach under a path of their own.
struct ServiceSettings {
  ServiceId service;
  std::string path_prefix;                  ///< "/visit-desk"; no end slash.
  std::vector<RepeatableRoute> repeatable;  ///< Calls that may be repeated.
  Duration answer_timeout = std::chrono::seconds(10);

  /// Returns whether a call of `method` on `path`, given without the prefix
  /// and the query, may be repeated.
  [[nodiscard]] bool IsRepeatable(std::string_view method,
                                  std::string_view path) const;
};

/// A model that callers may name.
struct ModelSettings {
  ModelId model;
  std::uint32_t max_prompt_tokens = 32768;
  std::uint32_t max_output_tokens = 4096;
  std::uint64_t kv_bytes_per_token = 131072;  ///< KV cache of one token.
};

/// Bounds on what callers may cost.
struct CallerLimits {
  std::size_t max_body_bytes = 1'048'576;
  std::uint32_t max_connections = 4096;
  Duration header_timeout = std::chrono::seconds(10);
};

/// Settings of an entry process.
struct EntrySettings {
  HostId host;
  DataCentreId data_centre;
  Endpoint callers;                   ///< Takes HTTP of callers and servers.
  Endpoint peers;                     ///< Takes frames (TCP) and gossip (UDP).
  std::vector<Endpoint> peers_seeds;  ///< Entry hosts to ask first.
  std::vector<Endpoint> controls;     ///< Control hosts.
  /// Entry hosts in the whole fleet: each holds an even part of the customers'
  /// allowances.
  std::uint32_t entry_hosts = 1;
  std::string frame_key;            ///< Bytes of the key shared by hosts.
  std::string backend_server_key;   ///< Bearer key of backend servers.
  std::string operator_key_sha256;  ///< Digest of the operators' bearer key.
  std::vector<ServiceSettings> services;
  std::vector<ModelSettings> models;
  CallerLimits limits;
  LogLevel log_level = LogLevel::kInfo;

  /// Returns the settings of `model`, or null.
  [[nodiscard]] const ModelSettings* Find(const ModelId& model) const;

  /// Returns the service under whose prefix `path` stands, or null.
  [[nodiscard]] const ServiceSettings* FindByPath(std::string_view path) const;
};

/// Reads and checks the settings of an entry process, JSON with comments.
/// Every fault goes into `findings` under `file`.
/// @returns the settings, or nullopt when anything was found.
std::optional<EntrySettings> ParseEntrySettings(std::string_view file,
                                                std::string_view text,
                                                Findings& findings);

}  // namespace briarlead

#endif  // BRIARLEAD_SETTINGS_ENTRY_SETTINGS_H_
