#include "briarlead_net/peer_listener.h"

#include <sys/random.h>

#include <array>
#include <chrono>
#include <utility>

#include "briarlead_net/loop_clock.h"

namespace briarlead {

namespace {

constexpr int kAcceptBacklog = 1024;
constexpr std::size_t kReadBufferBytes = 64U << 10;
/// Time within which a new connection must deliver its first authentic frame.
constexpr guint kHandshakeTimeoutMs = 5000;

/// Returns a random nonce, or an empty string if the kernel provides none.
std::string MakeNonce() {
  std::string nonce(PeerListener::kNonceBytes, '\0');
  if (getrandom(nonce.data(), nonce.size(), 0) !=
      static_cast<ssize_t>(nonce.size())) {
    nonce.clear();
  }
  return nonce;
}

}  // namespace

Result<std::unique_ptr<PeerListener>> PeerListener::Listen(
    const Endpoint& endpoint,
    const FrameKey& key,
    Handler handler) {
  BOOST_OUTCOME_TRY(ObjectPtr<GSocket> socket,
                    BindSocket(endpoint, G_SOCKET_TYPE_STREAM));
  g_socket_set_listen_backlog(socket.get(), kAcceptBacklog);
  if (g_socket_listen(socket.get(), nullptr) == FALSE) {
    return Fail(ErrorCode::kUnavailable,
                "can't listen on " + ToString(endpoint));
  }
  return std::unique_ptr<PeerListener>(
      new PeerListener(std::move(socket), key, std::move(handler)));
}

PeerListener::PeerListener(ObjectPtr<GSocket> socket,
                           const FrameKey& key,
                           Handler handler)
    : socket_(std::move(socket)), key_(key), handler_(std::move(handler)) {
  accept_source_.WatchSocket(socket_.get(), G_IO_IN, [this] { Accept(); });
}

void PeerListener::Accept() {
  ObjectPtr<GSocket> accepted(g_socket_accept(socket_.get(), nullptr, nullptr));
  if (!accepted || connections_.size() >= kMaxConnections)
    return;
  g_socket_set_blocking(accepted.get(), FALSE);
  const std::string nonce = MakeNonce();
  if (nonce.empty() ||
      g_socket_send(accepted.get(), nonce.data(), nonce.size(), nullptr,
                    nullptr) != static_cast<gssize>(nonce.size())) {
    return;
  }
  const std::uint64_t id = ++last_connection_id_;
  auto connection = std::unique_ptr<Connection>(
      new Connection{std::move(accepted), key_.Derive(nonce)});
  connection->read_source.WatchSocket(connection->socket.get(), G_IO_IN,
                                      [this, id] { OnReadable(id); });
  connection->handshake_timer.StartTimer(
      kHandshakeTimeoutMs, [this, id] { connections_.erase(id); });
  connections_.emplace(id, std::move(connection));
}

void PeerListener::OnReadable(std::uint64_t id) {
  Connection& connection = *connections_.at(id);
  std::array<char, kReadBufferBytes> buffer;
  GError* error = nullptr;
  const gssize n = g_socket_receive(connection.socket.get(), buffer.data(),
                                    buffer.size(), nullptr, &error);
  const bool would_block =
      g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
  g_clear_error(&error);
  if (would_block)
    return;
  if (n <= 0) {
    connections_.erase(id);
    return;
  }
  connection.receive_buffer.append(buffer.data(), static_cast<std::size_t>(n));
  connection.received_bytes += static_cast<std::uint64_t>(n);
  if (!ConsumeFrames(id)) {
    connections_.erase(id);
    return;
  }
  ScheduleReceipt(id);
}

void PeerListener::ScheduleReceipt(std::uint64_t id) {
  Connection& connection = *connections_.at(id);
  if (connection.receipt_timer.active())
    return;
  const Duration wait = connection.receipt_sent_at +
                        DeliveryMonitor::kReceiptInterval - LoopNow();
  if (wait <= Duration::zero()) {
    SendReceipt(id);
    return;
  }
  const auto wait_ms = std::chrono::ceil<std::chrono::milliseconds>(wait);
  connection.receipt_timer.StartTimer(static_cast<guint>(wait_ms.count()),
                                      [this, id] { SendReceipt(id); });
}

void PeerListener::SendReceipt(std::uint64_t id) {
  Connection& connection = *connections_.at(id);
  connection.receipt_sent_at = LoopNow();
  const std::string receipt =
      DeliveryMonitor::EncodeReceipt(connection.received_bytes);
  // A peer that leaves receipts unread for so long that one doesn't fit has
  // failed; on any other error, the read source closes the connection.
  g_socket_send(connection.socket.get(), receipt.data(), receipt.size(),
                nullptr, nullptr);
}

void PeerListener::CloseFormerConnection(const Endpoint& sender,
                                         std::uint64_t id) {
  const std::uint64_t former = std::exchange(connection_by_peer_[sender], id);
  if (former != id)
    connections_.erase(former);
}

bool PeerListener::ConsumeFrames(std::uint64_t id) {
  Connection& connection = *connections_.at(id);
  std::string_view unread = connection.receive_buffer;
  while (true) {
    const std::optional<std::size_t> size = DecodeFrameLength(unread);
    if (!size.has_value())
      break;
    if (*size > kMaxFrameBytes)
      return false;
    if (unread.size() < kFrameLengthBytes + *size)
      break;
    const Result<Frame> frame = DecodeFrame(
        unread.substr(kFrameLengthBytes, *size), connection.session_key);
    if (frame.has_error() ||
        frame.value().sequence != ++connection.last_sequence)
      return false;
    unread.remove_prefix(kFrameLengthBytes + *size);
    if (connection.last_sequence == 1)
      CloseFormerConnection(frame.value().sender.peers, id);
    connection.handshake_timer.Reset();
    handler_(frame.value());
  }
  connection.receive_buffer.erase(
      0, connection.receive_buffer.size() - unread.size());
  return true;
}

}  // namespace briarlead
