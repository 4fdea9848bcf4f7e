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

/// Counts what a transport was asked to send, including what was lost later.
struct SentTraffic {
  std::uint64_t messages = 0;
  std::uint64_t payload_bytes = 0;  ///< Without frame headers and tags.
};

/// Exchanges frames between this process and the other briarlead processes.
/// Frames sent over TCP arrive in order, unless a failure loses them, which is
/// reported to the sender. Datagrams sent over UDP may be lost or reordered,
/// but are never delivered twice.
class PeerTransport {
 public:
  /// Callbacks to the owner of a transport.
  struct Handlers {
    /// Called for each authentic frame, whether it arrived over TCP or UDP.
    std::function<void(const Frame& frame)> on_frame;
    /// Called when frames sent to `peer` over TCP may have been lost. May be
    /// called from within Send().
    std::function<void(const Endpoint& peer, LinkFailure failure)>
        on_link_failure;
  };

  /// Opens a transport that receives on `self.peers` over TCP and UDP.
  /// Errors: those of PeerListener::Listen() and DatagramSocket::Bind().
  static Result<std::unique_ptr<PeerTransport>> Open(PeerName self,
                                                     const FrameKey& key,
                                                     Handlers handlers);

  /// Limit of the bytes that wait to be sent to all peers together. Beyond it,
  /// the longest queue is dropped, which counts as a failure of that link.
  static constexpr std::size_t kMaxQueuedBytes = 48U << 20;

  /// Sends `payload` to `peer` over TCP, after all earlier ones. Opens the
  /// connection if there is none.
  void Send(const Endpoint& peer, Channel channel, std::string payload);

  /// Sends `payload` to `peer` in one UDP datagram, which is dropped if the
  /// encoded frame exceeds DatagramSocket::kMaxDatagramBytes.
  void SendDatagram(const Endpoint& peer, Channel channel, std::string payload);

  /// Longest payload, in bytes, that always fits into a datagram together with
  /// the frame's other fields and tag.
  static constexpr std::size_t kMaxDatagramPayloadBytes = 1200;

  /// Returns the identity under which this process sends frames.
  [[nodiscard]] const PeerName& self() const { return self_; }

  /// Returns the bytes that wait to be sent to all peers.
  [[nodiscard]] std::size_t QueuedBytes() const;

  /// Returns the traffic sent on `channel` since the transport was opened.
  [[nodiscard]] const SentTraffic& sent(Channel channel) const;

 private:
  PeerTransport(PeerName self, const FrameKey& key, Handlers handlers);

  /// Drops the longest queues until all together are within the limit.
  void BoundQueues();
  void OnDatagram(std::string_view bytes);
  /// Adds one message to the traffic of `channel`.
  void CountSent(Channel channel, std::size_t payload_bytes);

  PeerName self_;
  FrameKey key_;
  Handlers handlers_;
  std::unique_ptr<PeerListener> listener_;
  std::unique_ptr<DatagramSocket> datagram_socket_;
  std::map<Endpoint, std::unique_ptr<PeerLink>> links_;
  /// Sent since the queues were last added up.
  std::size_t unchecked_bytes_ = 0;
  ReplayWindow replay_window_;
  std::uint64_t last_datagram_sequence_ = 0;
  std::array<SentTraffic, kChannelCount> sent_{};
};

}  // namespace briarlead

#endif  // BRIARLEAD_NET_PEER_TRANSPORT_H_
