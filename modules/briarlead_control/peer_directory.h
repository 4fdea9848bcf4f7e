#ifndef BRIARLEAD_CONTROL_PEER_DIRECTORY_H_
#define BRIARLEAD_CONTROL_PEER_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <optional>

#include "briarlead_core/endpoint.h"
#include "briarlead_net/frame_codec.h"
#include "briarlead_state/subscriber_table.h"

namespace briarlead {

/// Assigns ids to the processes that send requests to this one, so that each
/// answer can be sent to the process that asked. A restarted process gets a new
/// id.
class PeerDirectory {
 public:
  /// Ids from here on stand for HTTP exchanges of operators, not for processes.
  static constexpr PeerId kFirstExchangeId = PeerId{1} << 62;

  /// Returns the id of `peer`. Assigns a new one if the peer is unknown or has
  /// restarted; the id of its earlier incarnation then becomes unknown.
  PeerId GetOrAssignId(const PeerName& peer);

  /// Returns where `peer` accepts frames; nullopt for an unknown id.
  [[nodiscard]] std::optional<Endpoint> EndpointOf(PeerId peer) const;

  /// Returns the id of the process at `endpoint`; nullopt if none was assigned.
  [[nodiscard]] std::optional<PeerId> FindByEndpoint(
      const Endpoint& endpoint) const;

 private:
  struct Process {
    PeerId id = 0;
    std::uint64_t incarnation = 0;
  };

  PeerId last_id_ = 0;
  std::map<Endpoint, Process> by_endpoint_;
  std::map<PeerId, Endpoint> endpoints_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_CONTROL_PEER_DIRECTORY_H_
