#ifndef BRIARLEAD_NET_PEER_LINK_H_
#define BRIARLEAD_NET_PEER_LINK_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "briarlead_core/endpoint.h"
#include "briarlead_net/frame_codec.h"
#include "briarlead_net/frame_key.h"
#include "briarlead_net/glib_handles.h"

namespace briarlead {

/// The sending half of the traffic to one peer: a TCP connection that is
/// dialled when there is something to send and dialled again after a failure.
/// Frames that were handed over before a failure may be lost; the link then
/// says so once, and the modules above repeat what still matters.
class PeerLink {
 public:
  /// Bytes that may wait for a slow or unreachable peer. A link that would
  /// exceed it fails instead.
  static constexpr std::size_t kMaxWaitingBytes = 32U << 20;

  /// Called each time frames may have been lost.
  using FailureHandler = std::function<void(const Endpoint& peer)>;

  /// Makes a link to `peer`; nothing is dialled before the first Send().
  PeerLink(PeerName self,
           Endpoint peer,
           const FrameKey& key,
           FailureHandler on_failure);

  /// Sends `payload` on `channel`, after what was sent before.
  void Send(Channel channel, std::string payload);

 private:
  enum class State { kIdle, kConnecting, kAwaitingNonce, kOpen, kBackingOff };

  struct Outgoing {
    Channel channel;
    std::string payload;
  };

  void Dial();
  void OnConnected();
  void OnReadable();
  void ReadNonce();
  void EncodeWaiting();
  void Flush();
  void Fail();

  PeerName self_;
  Endpoint peer_;
  FrameKey key_;
  FailureHandler on_failure_;
  State state_ = State::kIdle;
  ObjectPtr<GSocket> socket_;
  SourceHandle readable_;
  SourceHandle writable_;
  SourceHandle timer_;
  std::string nonce_;
  std::optional<FrameKey> session_key_;
  std::uint64_t sequence_ = 0;
  std::vector<Outgoing> waiting_;
  std::size_t waiting_bytes_ = 0;
  std::string encoded_;
  std::size_t encoded_sent_ = 0;
};

}  // namespace briarlead

#endif  // BRIARLEAD_NET_PEER_LINK_H_
