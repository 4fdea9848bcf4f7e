#ifndef BRIARLEAD_NET_PEER_LISTENER_H_
#define BRIARLEAD_NET_PEER_LISTENER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/error.h"
#include "briarlead_net/frame_codec.h"
#include "briarlead_net/frame_key.h"
#include "briarlead_net/glib_handles.h"

namespace briarlead {

/// The receiving half of the traffic from all peers. It greets each connection
/// with a random nonce; frames must be signed with the key derived from it and
/// numbered from 1 without gaps, so nothing recorded can be played again.
class PeerListener {
 public:
  static constexpr std::size_t kNonceBytes = 16;
  /// Connections beyond this number are closed at once.
  static constexpr std::size_t kMaxConnections = 2048;

  using Handler = std::function<void(const Frame& frame)>;

  /// Listens on `endpoint` and calls `handler` for each authentic frame.
  /// Errors: kInvalidArgument, kUnavailable.
  static Result<std::unique_ptr<PeerListener>> Listen(const Endpoint& endpoint,
                                                      const FrameKey& key,
                                                      Handler handler);

 private:
  /// One accepted connection.
  struct Connection {
    ObjectPtr<GSocket> socket;
    FrameKey session_key;
    SourceHandle readable;
    SourceHandle handshake_timer;
    std::string buffer;
    std::uint64_t sequence = 0;
  };

  PeerListener(ObjectPtr<GSocket> socket, const FrameKey& key, Handler handler);

  void Accept();
  void Read(std::uint64_t id);
  /// Handles the whole frames of the buffer; false when the peer is refused.
  bool ConsumeFrames(std::uint64_t id);

  ObjectPtr<GSocket> socket_;
  FrameKey key_;
  Handler handler_;
  SourceHandle acceptable_;
  std::uint64_t next_connection_ = 0;
  std::map<std::uint64_t, std::unique_ptr<Connection>> connections_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_NET_PEER_LISTENER_H_
