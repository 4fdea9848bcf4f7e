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

/// Send `bytes` as one datagram.
struct SendGossip {
  Endpoint to;
  std::string bytes;
};

/// What is believed of a host has changed; the blackboard holds it already.
struct HostStateChanged {
  HostId id;
  std::uint64_t incarnation = 0;
  HostState state = HostState::kAlive;
};

/// A backend server came, changed its state or came back; the blackboard holds
/// it already.
struct BackendServerStateChanged {
  BackendServerId id;
  std::uint64_t incarnation = 0;
  BackendServerState state = BackendServerState::kServing;
};

/// This host had been called dead and goes on under a later incarnation: what
/// others held for the earlier one they have given up.
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
