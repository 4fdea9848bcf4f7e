#ifndef BRIARLEAD_BLACKBOARD_HOST_RECORD_H_
#define BRIARLEAD_BLACKBOARD_HOST_RECORD_H_

#include <cstdint>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/identifiers.h"
#include "briarlead_core/time.h"

namespace briarlead {

/// What this process believes about another host.
enum class HostState {
  kAlive,    ///< Heard from lately.
  kSuspect,  ///< Silent, not yet given up: its streams go on.
  kLeaving,  ///< Planned stop: finishes its work, takes none.
  kDead,     ///< Given up, or replaced by a later incarnation.
};

/// An entry host as this process knows it.
struct HostRecord {
  HostId id;
  DataCentreId data_centre;
  Endpoint callers;  ///< Where callers and backend servers reach it (HTTP).
  Endpoint peers;    ///< Where our own processes reach it (frames over TCP).
  std::uint64_t incarnation = 0;  ///< Grows with each start of the process.
  HostState state = HostState::kAlive;
  TimePoint last_heard;
  std::uint64_t lists_revision = 0;  ///< Revision of the lists it serves on.
};

}  // namespace briarlead

#endif  // BRIARLEAD_BLACKBOARD_HOST_RECORD_H_
