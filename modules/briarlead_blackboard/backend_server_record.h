#ifndef BRIARLEAD_BLACKBOARD_BACKEND_SERVER_RECORD_H_
#define BRIARLEAD_BLACKBOARD_BACKEND_SERVER_RECORD_H_

#include <cstdint>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/identifiers.h"
#include "briarlead_core/time.h"

namespace briarlead {

/// The kind of work that a backend server does.
enum class BackendServerRole {
  kPrefill,  ///< Model engine that processes prompts and exports the KV cache.
  kDecode,   ///< Model engine that imports a KV cache and streams tokens.
  kService,  ///< Runs a plain service, that is, no model; called a runner.
};

/// Whether a backend server may be given new work.
enum class BackendServerState {
  kServing,
  kLeaving,  ///< Announced a planned stop: finishes its work, gets no new work.
  kSilent,   ///< Its announcements stopped: gets no new work.
};

/// The load that a backend server reported of itself; may be out of date.
struct LoadReport {
  std::uint32_t running = 0;        ///< Requests in progress.
  std::uint32_t waiting = 0;        ///< Requests queued inside the server.
  std::uint64_t kv_used_bytes = 0;  ///< KV cache memory in use, in bytes.
};

/// A backend server as this process knows it, from its announcements.
struct BackendServerRecord {
  BackendServerId id;
  DataCentreId data_centre;
  BackendServerRole role = BackendServerRole::kService;
  ModelId model;                  ///< Set for engines.
  ServiceId service;              ///< Set for runners of a plain service.
  Endpoint address;               ///< Where it accepts requests (HTTP).
  std::uint64_t incarnation = 0;  ///< Grows with each start of its process.
  BackendServerState state = BackendServerState::kServing;
  std::uint32_t slots = 1;              ///< Requests that it can run at once.
  std::uint64_t kv_capacity_bytes = 0;  ///< Size of its KV cache memory.
  std::uint64_t link_bytes_per_second = 0;  ///< Its share of the link's rate.
  bool checks_fencing = false;  ///< Refuses orders with an old fencing number.
  LoadReport load;
  TimePoint last_heard;  ///< When its last announcement arrived.
};

}  // namespace briarlead

#endif  // BRIARLEAD_BLACKBOARD_BACKEND_SERVER_RECORD_H_
