#include "briarlead_control/peer_directory.h"

namespace briarlead {

PeerId PeerDirectory::NumberOf(const PeerName& peer) {
  Numbered& numbered = by_endpoint_[peer.peers];
  if (numbered.number != 0 && numbered.incarnation == peer.incarnation)
    return numbered.number;
  endpoints_.erase(numbered.number);
  numbered = {++last_number_, peer.incarnation};
  endpoints_[numbered.number] = peer.peers;
  return numbered.number;
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
  return it->second.number;
}

}  // namespace briarlead
