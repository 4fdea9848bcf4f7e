#include "briarlead_control/peer_directory.h"

namespace briarlead {

PeerId PeerDirectory::GetOrAssignId(const PeerName& peer) {
  Process& process = by_endpoint_[peer.peers];
  if (process.id != 0 && process.incarnation == peer.incarnation)
    return process.id;
  endpoints_.erase(process.id);
  process = {++last_id_, peer.incarnation};
  endpoints_[process.id] = peer.peers;
  return process.id;
}

std::optional<Endpoint> PeerDirectory::EndpointOf(PeerId peer) const {
  const auto it = endpoints_.find(peer);
  if (it == endpoints_.end())
    return std::nullopt;
  return it->second;
}

std::optional<PeerId> PeerDirectory::FindByEndpoint(
    const Endpoint& endpoint) const {
  const auto it = by_endpoint_.find(endpoint);
  if (it == by_endpoint_.end())
    return std::nullopt;
  return it->second.id;
}

}  // namespace briarlead
