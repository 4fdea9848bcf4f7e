#ifndef BRIARLEAD_NET_PEER_LINK_H_
#define BRIARLEAD_NET_PEER_LINK_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "briarlead_core/endpoint.h"
#include "briarlead_net/delivery_monitor.h"
#include "briarlead_net/frame_codec.h"
#include "briarlead_net/frame_key.h"
#include "briarlead_net/glib_handles.h"
#include "briarlead_net/link_failure.h"

namespace briarlead {

/// Sends frames to one peer over a TCP connection, which is opened when there
/// is something to send and reopened after a failure. The peer sends receipts
/// for what it has read; a connection without them fails. Frames passed to
/// Send() before a failure may be lost. The link reports each failure once; the
/// modules above retransmit what is still needed.
class PeerLink {
 public:
  /// Limit of the bytes queued for a slow or unreachable peer. Exceeding the
  /// limit counts as a failure of the link and drops the queue.
  static constexpr std::size_t kMaxPendingBytes = 16U << 20;

  /// Called after each failure, when frames may have been lost. May be called
  /// from within Send().
  using FailureHandler =
      std::function<void(const Endpoint& peer, LinkFailure failure)>;

  /// Creates a link to `peer`. The first Send() opens the connection.
  PeerLink(PeerName self,
           Endpoint peer,
           const FrameKey& key,
           FailureHandler on_failure);

  /// Queues `payload` on `channel` and sends it after all earlier ones.
  void Send(Channel channel, std::string payload);

  /// Returns the bytes that wait to be sent.
  [[nodiscard]] std::size_t queued_bytes() const {
    return pending_bytes_ + send_buffer_.size() - send_offset_;
  }
  /// Drops what waits to be sent; this counts as a failure of the link.
  void DropQueue();

 private:
  enum class State { kIdle, kConnecting, kAwaitingNonce, kOpen, kBackingOff };

  struct PendingMessage {
    Channel channel;
    std::string payload;
  };

  void Connect();
  void OnConnected();
  void OnConnectTimeout();
  void OnReadable();
  void ReadNonce();
  void ReadReceipts();
  /// Returns whether the receipts that are waiting to be read are possible and
  /// the connection is there.
  [[nodiscard]] bool TakeReceipts();
  /// Fails the connection if it is silent, else schedules the next check.
  void CheckDelivery();
  void EncodePending();
  /// Releases memory of the send buffer that is not needed.
  void CompactSendBuffer();
  /// Returns the delay before the next attempt to connect.
  [[nodiscard]] guint ReconnectDelayMs() const;
  void Flush();
  void Fail(LinkFailure failure);

  PeerName self_;
  Endpoint peer_;
  FrameKey key_;
  FailureHandler on_failure_;
  State state_ = State::kIdle;
  int failed_attempts_ = 0;  ///< To connect, since the last success.
  ObjectPtr<GSocket> socket_;
  SourceHandle read_source_;
  SourceHandle write_source_;
  SourceHandle timer_;
  std::string nonce_;
  DeliveryMonitor delivery_;
  SourceHandle delivery_timer_;
  /// Received bytes that don't form a whole receipt yet.
  std::string receipt_buffer_;
  std::optional<FrameKey> session_key_;
  /// Sequence number of the last frame encoded for this connection.
  std::uint64_t last_sequence_ = 0;
  /// Messages that wait for the session key; they are signed with it.
  std::vector<PendingMessage> pending_;
  std::size_t pending_bytes_ = 0;
  /// Encoded frames, of which the first `send_offset_` bytes are sent.
  std::string send_buffer_;
  std::size_t send_offset_ = 0;
};

}  // namespace briarlead

#endif  // BRIARLEAD_NET_PEER_LINK_H_
