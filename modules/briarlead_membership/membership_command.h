#ifndef BRIARLEAD_MEMBERSHIP_MEMBERSHIP_COMMAND_H_
#define BRIARLEAD_MEMBERSHIP_MEMBERSHIP_COMMAND_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "briarlead_blackboard/backend_server_record.h"
#include "briarlead_blackboard/host_record.h"
#include "briarlead_core/endpoint.h"
#include "briarlead_core/identifiers.h"

namespace briarlead {

/// Send `bytes` as one datagram to `to`.
struct SendGossip {
  Endpoint to;
  std::string bytes;
};

/// Another host was discovered, restarted or changed its state. The blackboard
/// is already updated.
struct HostStateChanged {
  HostId id;
  std::uint64_t incarnation = 0;
  HostState state = HostState::kAlive;
};

/// A backend server was discovered, restarted or changed its state. The
/// blackboard is already updated.
struct BackendServerStateChanged {
  BackendServerId id;
  std::uint64_t incarnation = 0;
  BackendServerState state = BackendServerState::kServing;
};

/// Other hosts had declared this host dead, and it continues under a higher
/// incarnation. Whatever the other hosts held for the earlier incarnation, they
/// have released.
struct OwnIncarnationChanged {
  std::uint64_t incarnation = 0;
};

using MembershipCommand = std::variant<SendGossip,
                                       HostStateChanged,
                                       BackendServerStateChanged,
                                       OwnIncarnationChanged>;
using MembershipCommands = std::vector<MembershipCommand>;

}  // namespace briarlead

#endif  // BRIARLEAD_MEMBERSHIP_MEMBERSHIP_COMMAND_H_
