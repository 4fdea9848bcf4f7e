#ifndef BRIARLEAD_BLACKBOARD_BACKEND_SERVER_RECORD_H_
#define BRIARLEAD_BLACKBOARD_BACKEND_SERVER_RECORD_H_

#include <cstdint>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/identifiers.h"
#include "briarlead_core/time.h"

namespace briarlead {

/// The work that a backend server does.
enum class BackendServerRole {
  kPrefill,  ///< Model engine that reads prompts and exports their KV cache.
  kDecode,   ///< Model engine that imports a KV cache and streams tokens.
  kService,  ///< Runner of a plain service.
};

/// Whether a backend server may be given new work.
enum class BackendServerState {
  kServing,
  kLeaving,  ///< It announced that it leaves: finishes its work, takes none.
  kSilent,   ///< Its announcements stopped: takes no new work.
};

/// What a backend server said of itself; lags behind the truth.
struct LoadReport {
  std::uint32_t running = 0;        ///< Requests in progress.
  std::uint32_t waiting = 0;        ///< Requests queued inside the server.
  std::uint64_t kv_used_bytes = 0;  ///< KV cache memory in use.
};

/// A backend server as this process knows it, from its announcements.
struct BackendServerRecord {
  BackendServerId id;
  DataCentreId data_centre;
  BackendServerRole role = BackendServerRole::kService;
  ModelId model;                  ///< Set for engines.
  ServiceId service;              ///< Set for runners of a plain service.
  Endpoint address;               ///< Where it takes requests (HTTP).
  std::uint64_t incarnation = 0;  ///< Grows with each start of its process.
  BackendServerState state = BackendServerState::kServing;
  std::uint32_t slots = 1;  ///< Requests it can run at once.
  std::uint64_t kv_capacity_bytes = 0;
  std::uint64_t link_bytes_per_second = 0;  ///< Rate of its share of the link.
  bool checks_fencing = false;  ///< Refuses orders with an old fencing number.
  LoadReport load;
  TimePoint last_heard;
};

}  // namespace briarlead

#endif  // BRIARLEAD_BLACKBOARD_BACKEND_SERVER_RECORD_H_
