#ifndef BRIARLEAD_NET_ADDRESS_TRANSPORT_H_
#define BRIARLEAD_NET_ADDRESS_TRANSPORT_H_

#include <memory>
#include <string_view>

#include "briarlead_core/error.h"
#include "briarlead_net/peer_transport.h"

namespace briarlead {

/// Opens the transport of a process that is identified by its address: the host
/// ID is the address of `endpoint`, and the incarnation is the wall-clock time
/// in microseconds. Errors: those of PeerTransport::Open(), and
/// kInvalidArgument if `secret` is shorter than FrameKey::kMinSecretBytes.
Result<std::unique_ptr<PeerTransport>> OpenAddressTransport(
    const Endpoint& endpoint,
    std::string_view secret,
    PeerTransport::Handlers handlers);

}  // namespace briarlead

#endif  // BRIARLEAD_NET_ADDRESS_TRANSPORT_H_
