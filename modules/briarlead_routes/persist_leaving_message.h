#ifndef BRIARLEAD_ROUTES_PERSIST_LEAVING_MESSAGE_H_
#define BRIARLEAD_ROUTES_PERSIST_LEAVING_MESSAGE_H_

#include <vector>

#include "briarlead_routes/server_record.h"

namespace briarlead {

/// Sent by one control host to another: these servers leave or have left, and
/// the sender confirms that to them only once enough control hosts have it on
/// disk. The receiver merges the records, saves them and sends a
/// PersistLeavingReply. Repeated until that arrives.
struct PersistLeavingRequest {
  std::vector<ServerRecord> servers;

  friend bool operator==(const PersistLeavingRequest&,
                         const PersistLeavingRequest&) = default;
};

/// The state of one incarnation of a server that a host has on its disk.
struct SavedServerState {
  ServerIncarnation server;
  ServerState state = ServerState::kReady;

  friend bool operator==(const SavedServerState&,
                         const SavedServerState&) = default;
};

/// Sent once the servers of a PersistLeavingRequest are on the sender's disk. A
/// server may be there with a later incarnation, or a later state.
struct PersistLeavingReply {
  std::vector<SavedServerState> servers;

  friend bool operator==(const PersistLeavingReply&,
                         const PersistLeavingReply&) = default;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ROUTES_PERSIST_LEAVING_MESSAGE_H_
