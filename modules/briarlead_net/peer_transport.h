#ifndef BRIARLEAD_NET_PEER_TRANSPORT_H_
#define BRIARLEAD_NET_PEER_TRANSPORT_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/error.h"
#include "briarlead_net/datagram_socket.h"
#include "briarlead_net/frame_codec.h"
#include "briarlead_net/frame_key.h"
#include "briarlead_net/peer_link.h"
#include "briarlead_net/peer_listener.h"
#include "briarlead_net/replay_window.h"

namespace briarlead {

/// What a transport has sent so far.
struct PeerTraffic {
  std::uint64_t messages = 0;
  std::uint64_t payload_bytes = 0;  ///< Without frame headers and tags.
};

/// All traffic between this process and the other processes of briarlead.
/// Frames over TCP arrive in order or, after a failure that is reported, not
/// at all; datagrams over UDP may be lost, but never arrive twice.
class PeerTransport {
 public:
  /// What the owner of a transport is told.
  struct Handlers {
    /// An authentic frame or datagram has arrived.
    std::function<void(const Frame& frame)> on_frame;
    /// Frames sent to `peer` may have been lost.
    std::function<void(const Endpoint& peer)> on_link_failure;
  };

  /// Listens for TCP and UDP on `self.peers`.
  /// Errors: kInvalidArgument, kUnavailable.
  static Result<std::unique_ptr<PeerTransport>> Open(PeerName self,
                                                     const FrameKey& key,
                                                     Handlers handlers);

  /// Sends `payload` to `peer` over TCP.
  void Send(const Endpoint& peer, Channel channel, std::string payload);

  /// Sends `payload` to `peer` in one UDP datagram.
  void SendDatagram(const Endpoint& peer, Channel channel, std::string payload);

  /// Longest payload that a datagram surely holds beside its frame.
  static constexpr std::size_t kMaxDatagramPayloadBytes = 1200;

  /// Returns who this process is to its peers.
  [[nodiscard]] const PeerName& self() const { return self_; }

  /// Returns what was sent on `channel` since the start.
  [[nodiscard]] const PeerTraffic& sent(Channel channel) const;

 private:
  PeerTransport(PeerName self, const FrameKey& key, Handlers handlers);

  void OnDatagram(std::string_view bytes);
  void CountSent(Channel channel, std::size_t payload_bytes);

  PeerName self_;
  FrameKey key_;
  Handlers handlers_;
  std::unique_ptr<PeerListener> listener_;
  std::unique_ptr<DatagramSocket> datagrams_;
  std::map<Endpoint, std::unique_ptr<PeerLink>> links_;
  ReplayWindow replay_window_;
  std::uint64_t datagram_sequence_ = 0;
  std::array<PeerTraffic, kChannelCount> sent_{};
};

}  // namespace briarlead

#endif  // BRIARLEAD_NET_PEER_TRANSPORT_H_
