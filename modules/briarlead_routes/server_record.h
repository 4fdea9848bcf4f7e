#ifndef BRIARLEAD_ROUTES_SERVER_RECORD_H_
#define BRIARLEAD_ROUTES_SERVER_RECORD_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/identifiers.h"

namespace briarlead {

/// The state that a backend server announces.
enum class ServerState : std::uint8_t {
  kReady,
  kLeaving,  ///< Accepts no new requests.
  kGone,     ///< Has deregistered, or another server has its address.
};
inline constexpr ServerState kLastServerState = ServerState::kGone;

/// Which stage of a model request an engine runs.
enum class EngineStage : std::uint8_t { kNone, kPrefill, kDecode };
inline constexpr EngineStage kLastEngineStage = EngineStage::kDecode;

/// Return the names that are written to logs.
std::string_view ToString(ServerState state);
std::string_view ToString(EngineStage stage);

/// One incarnation of a backend server, as it announced itself.
struct ServerRecord {
  BackendServerId id;
  ServiceId service;
  Endpoint address;
  DataCentreId data_centre;
  /// What servers of different versions write in one stream doesn't fit
  /// together.
  SoftwareVersion software;
  std::uint32_t slots = 1;
  ServerState state = ServerState::kReady;
  EngineStage stage = EngineStage::kNone;
  std::uint64_t born_ms = 0;   ///< Unix time of its start: its incarnation.
  std::uint64_t sequence = 0;  ///< Increases with each announcement.

  friend bool operator==(const ServerRecord&, const ServerRecord&) = default;
};

/// Largest difference between the clocks of a server and of a host.
inline constexpr std::uint64_t kMaxClockErrorMs = 3'600'000;

/// Returns whether the server claims to have started after `unix_now_ms`, by
/// more than clocks differ. Such an entry would silence the server that it
/// names and retire the one at its address.
inline bool StartsInTheFuture(const ServerRecord& record,
                              std::uint64_t unix_now_ms) {
  return record.born_ms > unix_now_ms + kMaxClockErrorMs;
}

/// Identifies one incarnation of a backend server: the time from a start of its
/// process to the end.
struct ServerIncarnation {
  BackendServerId id;
  std::uint64_t born_ms = 0;

  friend auto operator<=>(const ServerIncarnation&,
                          const ServerIncarnation&) = default;
};

/// Returns the incarnation that `record` describes.
inline ServerIncarnation IncarnationOf(const ServerRecord& record) {
  return {record.id, record.born_ms};
}

}  // namespace briarlead

#endif  // BRIARLEAD_ROUTES_SERVER_RECORD_H_
