#ifndef BRIARLEAD_ROUTES_PERSIST_LEAVING_MESSAGE_H_
#define BRIARLEAD_ROUTES_PERSIST_LEAVING_MESSAGE_H_

#include <cstdint>
#include <vector>

#include "briarlead_routes/server_record.h"

namespace briarlead {

/// A server that leaves or has left.
struct LeavingServer {
  ServerRecord record;
  /// Unix time of the call if it named no start of the server: all starts up to
  /// then have left. Zero if it named one, that of `record`.
  std::uint64_t left_by_ms = 0;

  friend bool operator==(const LeavingServer&, const LeavingServer&) = default;
};

/// Sent by one control host to another: these servers leave or have left, and
/// the sender confirms that to them only once enough control hosts have it on
/// disk. The receiver merges the records, saves them and sends a
/// PersistLeavingReply. Repeated until that arrives.
struct PersistLeavingRequest {
  std::vector<LeavingServer> servers;

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
