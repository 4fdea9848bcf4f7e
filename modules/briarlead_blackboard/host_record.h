#ifndef BRIARLEAD_BLACKBOARD_HOST_RECORD_H_
#define BRIARLEAD_BLACKBOARD_HOST_RECORD_H_

#include <cstdint>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/identifiers.h"
#include "briarlead_core/time.h"

namespace briarlead {

/// The state of another host, as far as this process knows.
enum class HostState {
  kAlive,    ///< Heard from recently.
  kSuspect,  ///< Silent but not yet declared dead: its streams go on.
  kLeaving,  ///< Planned stop: finishes its work, gets no new work.
  kDead,     ///< Declared dead, or replaced by a later incarnation.
};

/// An entry host as this process knows it.
struct HostRecord {
  HostId id;
  DataCentreId data_centre;
  Endpoint callers;  ///< For callers and backend servers (HTTP).
  Endpoint peers;    ///< For the processes of this system (frames over TCP).
  std::uint64_t incarnation = 0;  ///< Grows with each start of the process.
  HostState state = HostState::kAlive;
  TimePoint last_heard;  ///< When a message of the host last arrived.
  std::uint64_t lists_revision = 0;  ///< Of the lists that the host uses.
};

}  // namespace briarlead

#endif  // BRIARLEAD_BLACKBOARD_HOST_RECORD_H_
