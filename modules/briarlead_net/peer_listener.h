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
#include "briarlead_core/time.h"
#include "briarlead_net/delivery_monitor.h"
#include "briarlead_net/frame_codec.h"
#include "briarlead_net/frame_key.h"
#include "briarlead_net/glib_handles.h"

namespace briarlead {

/// Receives frames from all peers over TCP. The listener sends a random nonce
/// on each accepted connection. Frames must be signed with the session key
/// derived from that nonce and numbered from 1 without gaps, which prevents
/// recorded frames from being replayed. A connection that breaks these rules is
/// closed. The listener sends receipts for what it has read; see
/// DeliveryMonitor. A peer has one connection: the first frame on a new one
/// closes the one before, which may have fallen silent.
class PeerListener {
 public:
  /// Size of the nonce that starts each connection, in bytes.
  static constexpr std::size_t kNonceBytes = 16;
  /// Limit of open connections; further ones are closed as soon as accepted.
  static constexpr std::size_t kMaxConnections = 2048;

  using Handler = std::function<void(const Frame& frame)>;

  /// Listens on `endpoint` and calls `handler` for each authentic frame.
  /// Errors: those of BindSocket(), and kUnavailable if listen() fails.
  static Result<std::unique_ptr<PeerListener>> Listen(const Endpoint& endpoint,
                                                      const FrameKey& key,
                                                      Handler handler);

 private:
  /// One accepted connection.
  struct Connection {
    ObjectPtr<GSocket> socket;
    FrameKey session_key;
    SourceHandle read_source;
    /// Closes the connection if no authentic frame arrives in time.
    SourceHandle handshake_timer;
    /// Received bytes that don't form a whole frame yet.
    std::string receive_buffer;
    std::uint64_t received_bytes = 0;
    TimePoint receipt_sent_at;
    SourceHandle receipt_timer;
    /// Sequence number of the last frame accepted.
    std::uint64_t last_sequence = 0;
  };

  PeerListener(ObjectPtr<GSocket> socket, const FrameKey& key, Handler handler);

  void Accept();
  void OnReadable(std::uint64_t id);
  /// Decodes and handles all complete frames in the receive buffer. Returns
  /// false if one is invalid and the connection must be closed.
  bool ConsumeFrames(std::uint64_t id);
  /// Closes the connection that `sender` had before connection `id`.
  void CloseFormerConnection(const Endpoint& sender, std::uint64_t id);
  /// Sends a receipt once DeliveryMonitor::kReceiptInterval has passed since
  /// the last one.
  void ScheduleReceipt(std::uint64_t id);
  void SendReceipt(std::uint64_t id);

  ObjectPtr<GSocket> socket_;
  FrameKey key_;
  Handler handler_;
  SourceHandle accept_source_;
  std::uint64_t last_connection_id_ = 0;
  std::map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  /// The connection on which each peer, named by where it receives frames, sent
  /// the first frame last.
  std::map<Endpoint, std::uint64_t> connection_by_peer_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_NET_PEER_LISTENER_H_
