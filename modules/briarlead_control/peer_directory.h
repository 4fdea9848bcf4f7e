#ifndef BRIARLEAD_CONTROL_PEER_DIRECTORY_H_
#define BRIARLEAD_CONTROL_PEER_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <optional>

#include "briarlead_core/endpoint.h"
#include "briarlead_net/frame_codec.h"
#include "briarlead_state/subscriber_table.h"

namespace briarlead {

/// Numbers the processes that ask this one, so that answers find their way.
/// A process that starts anew gets another number.
class PeerDirectory {
 public:
  /// Numbers from here on belong to exchanges of operators, not to processes.
  static constexpr PeerId kFirstExchange = PeerId{1} << 62;

  /// Returns the number of `peer`.
  PeerId NumberOf(const PeerName& peer);

  /// Returns where the peer takes frames; nullopt for an unknown number.
  [[nodiscard]] std::optional<Endpoint> EndpointOf(PeerId peer) const;

  /// Returns the number of the process at `endpoint`, if one has asked.
  [[nodiscard]] std::optional<PeerId> FindByEndpoint(
      const Endpoint& endpoint) const;

 private:
  struct Numbered {
    PeerId number = 0;
    std::uint64_t incarnation = 0;
  };

  PeerId last_number_ = 0;
  std::map<Endpoint, Numbered> by_endpoint_;
  std::map<PeerId, Endpoint> endpoints_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_CONTROL_PEER_DIRECTORY_H_
