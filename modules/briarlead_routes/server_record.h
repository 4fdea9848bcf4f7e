#ifndef BRIARLEAD_ROUTES_SERVER_RECORD_H_
#define BRIARLEAD_ROUTES_SERVER_RECORD_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/identifiers.h"

namespace briarlead {

/// What a backend server says of its own future.
enum class ServerState : std::uint8_t {
  kReady,
  kLeaving,  ///< Takes no new work.
  kGone,     ///< Has said that it ends.
};
inline constexpr ServerState kLastServerState = ServerState::kGone;

/// Which part of a model request an engine does.
enum class EngineStage : std::uint8_t { kNone, kPrefill, kDecode };
inline constexpr EngineStage kLastEngineStage = EngineStage::kDecode;

/// Returns the names that appear in logs.
std::string_view ToString(ServerState state);
std::string_view ToString(EngineStage stage);

/// What is known of one start of a backend server, from its announcements.
struct ServerRecord {
  BackendServerId id;
  ServiceId service;
  Endpoint address;
  DataCentreId data_centre;
  std::uint32_t slots = 1;
  ServerState state = ServerState::kReady;
  EngineStage stage = EngineStage::kNone;
  std::uint64_t born_ms = 0;   ///< Unix time of its start; tells starts apart.
  std::uint64_t sequence = 0;  ///< Grows with each announcement of a start.

  friend bool operator==(const ServerRecord&, const ServerRecord&) = default;
};

/// One start of a backend server.
struct ServerIncarnation {
  BackendServerId id;
  std::uint64_t born_ms = 0;

  friend auto operator<=>(const ServerIncarnation&,
                          const ServerIncarnation&) = default;
};

/// Returns which start `record` describes.
inline ServerIncarnation IncarnationOf(const ServerRecord& record) {
  return {record.id, record.born_ms};
}

}  // namespace briarlead

#endif  // BRIARLEAD_ROUTES_SERVER_RECORD_H_
