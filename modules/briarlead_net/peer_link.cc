#include "briarlead_net/peer_link.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

#include "briarlead_net/loop_clock.h"
#include "briarlead_net/peer_listener.h"

namespace briarlead {

namespace {

/// Delay after a failure before the link may connect again. It doubles with
/// each failed attempt up to the maximum: hundreds of hosts that try twenty
/// times a second would keep a busy host busy.
constexpr guint kReconnectDelayMs = 50;
constexpr guint kMaxReconnectDelayMs = 200;
constexpr int kMaxDelayDoublings = 2;
/// Time to establish the connection before the attempt counts as failed. The
/// kernel retransmits a lost SYN only after a second, so
/// a new attempt reaches a host that has just started much sooner.
constexpr guint kConnectTimeoutMs = 300;
/// Time to receive the nonce on an established connection. The peer's host is
/// there; its process is busy, and new connections would make it busier.
constexpr guint kNonceTimeoutMs = 1000;
/// Memory of an empty send buffer that is kept, in bytes.
constexpr std::size_t kKeptBufferBytes = 64UL * 1024;
/// Value of TCP_USER_TIMEOUT: how long sent data may remain unacknowledged
/// before the kernel closes the connection. Bounds how long the kernel keeps a
/// connection that this process has already given up.
constexpr int kTcpUserTimeoutMs = 3000;
constexpr std::size_t kReceiptBufferBytes = 512;

void SetTcpOptions(GSocket* socket) {
  g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
  g_socket_set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, kTcpUserTimeoutMs,
                      nullptr);
}

}  // namespace

PeerLink::PeerLink(PeerName self,
                   Endpoint peer,
                   const FrameKey& key,
                   FailureHandler on_failure)
    : self_(std::move(self)),
      peer_(std::move(peer)),
      key_(key),
      on_failure_(std::move(on_failure)) {}

void PeerLink::Send(Channel channel, std::string payload) {
  pending_bytes_ += payload.size();
  pending_.push_back({channel, std::move(payload)});
  if (queued_bytes() > kMaxPendingBytes) {
    Fail(LinkFailure::kOverflow);
    return;
  }
  if (state_ == State::kIdle) {
    Connect();
    return;
  }
  if (state_ == State::kOpen) {
    EncodePending();
    Flush();
  }
}

void PeerLink::Connect() {
  const ObjectPtr<GSocketAddress> address = ToSocketAddress(peer_);
  if (!address) {
    Fail(LinkFailure::kNotConnected);
    return;
  }
  socket_.reset(g_socket_new(g_socket_address_get_family(address.get()),
                             G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_DEFAULT,
                             nullptr));
  if (!socket_) {
    Fail(LinkFailure::kNotConnected);
    return;
  }
  g_socket_set_blocking(socket_.get(), FALSE);
  SetTcpOptions(socket_.get());
  state_ = State::kConnecting;
  timer_.StartTimer(kConnectTimeoutMs, [this] { OnConnectTimeout(); });
  GError* error = nullptr;
  if (g_socket_connect(socket_.get(), address.get(), nullptr, &error) ==
          FALSE &&
      !g_error_matches(error, G_IO_ERROR, G_IO_ERROR_PENDING)) {
    g_clear_error(&error);
    Fail(LinkFailure::kNotConnected);
    return;
  }
  g_clear_error(&error);
  write_source_.WatchSocket(socket_.get(), G_IO_OUT, [this] { OnConnected(); });
}

void PeerLink::OnConnected() {
  write_source_.Reset();
  if (g_socket_check_connect_result(socket_.get(), nullptr) == FALSE) {
    Fail(LinkFailure::kNotConnected);
    return;
  }
  state_ = State::kAwaitingNonce;
  timer_.StartTimer(kNonceTimeoutMs, [this] { OnConnectTimeout(); });
  read_source_.WatchSocket(socket_.get(), G_IO_IN, [this] { OnReadable(); });
}

void PeerLink::OnConnectTimeout() {
  // After a stall of this process, its timer can be due before it has seen what
  // the peer did in time.
  const GIOCondition awaited =
      state_ == State::kConnecting ? G_IO_OUT : G_IO_IN;
  if (g_socket_condition_check(socket_.get(), awaited) == 0) {
    Fail(LinkFailure::kNotConnected);
    return;
  }
  timer_.StartTimer(kNonceTimeoutMs, [this] { OnConnectTimeout(); });
  if (state_ == State::kConnecting)
    OnConnected();
  else
    OnReadable();
}

void PeerLink::OnReadable() {
  if (state_ == State::kAwaitingNonce) {
    ReadNonce();
    return;
  }
  ReadReceipts();
}

void PeerLink::ReadReceipts() {
  if (!TakeReceipts())
    Fail(LinkFailure::kClosed);
}

bool PeerLink::TakeReceipts() {
  std::array<char, kReceiptBufferBytes> buffer{};
  GError* error = nullptr;
  const gssize n = g_socket_receive(socket_.get(), buffer.data(), buffer.size(),
                                    nullptr, &error);
  const bool would_block =
      g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
  g_clear_error(&error);
  if (n <= 0)
    return would_block;
  receipt_buffer_.append(buffer.data(), static_cast<std::size_t>(n));
  std::string_view unread = receipt_buffer_;
  while (const auto receipt = DeliveryMonitor::DecodeReceipt(unread)) {
    if (!delivery_.OnReceipt(*receipt, LoopNow()))
      return false;
    unread.remove_prefix(DeliveryMonitor::kReceiptBytes);
  }
  receipt_buffer_.erase(0, receipt_buffer_.size() - unread.size());
  return true;
}

void PeerLink::CheckDelivery() {
  const std::optional<TimePoint> deadline = delivery_.Deadline();
  if (!deadline.has_value())
    return;
  const TimePoint now = LoopNow();
  if (now >= *deadline) {
    // After a stall of this process, the check can be due before the receipts
    // that came meanwhile are read.
    if (g_socket_condition_check(socket_.get(), G_IO_IN) == 0) {
      Fail(LinkFailure::kSilent);
      return;
    }
    delivery_timer_.StartTimer(0, [this] { CheckDelivery(); });
    return;
  }
  const auto wait =
      std::chrono::ceil<std::chrono::milliseconds>(*deadline - now);
  delivery_timer_.StartTimer(static_cast<guint>(wait.count()),
                             [this] { CheckDelivery(); });
}

void PeerLink::ReadNonce() {
  std::array<char, PeerListener::kNonceBytes> buffer{};
  const gssize n = g_socket_receive(socket_.get(), buffer.data(),
                                    PeerListener::kNonceBytes - nonce_.size(),
                                    nullptr, nullptr);
  if (n <= 0) {
    Fail(LinkFailure::kNotConnected);
    return;
  }
  nonce_.append(buffer.data(), static_cast<std::size_t>(n));
  if (nonce_.size() < PeerListener::kNonceBytes)
    return;
  session_key_ = key_.Derive(nonce_);
  state_ = State::kOpen;
  failed_attempts_ = 0;
  timer_.Reset();
  EncodePending();
  Flush();
}

void PeerLink::EncodePending() {
  for (PendingMessage& message : pending_) {
    const Frame frame{self_, ++last_sequence_, message.channel,
                      std::move(message.payload)};
    const std::string bytes = EncodeFrame(frame, *session_key_);
    send_buffer_ += EncodeFrameLength(bytes.size());
    send_buffer_ += bytes;
  }
  pending_.clear();
  pending_bytes_ = 0;
}

void PeerLink::Flush() {
  while (send_offset_ < send_buffer_.size()) {
    GError* error = nullptr;
    const gssize n =
        g_socket_send(socket_.get(), send_buffer_.data() + send_offset_,
                      send_buffer_.size() - send_offset_, nullptr, &error);
    if (n >= 0) {
      send_offset_ += static_cast<std::size_t>(n);
      delivery_.OnSent(static_cast<std::size_t>(n), LoopNow());
      if (!delivery_timer_.active())
        CheckDelivery();
      continue;
    }
    const bool would_block =
        g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
    g_clear_error(&error);
    if (!would_block) {
      Fail(LinkFailure::kClosed);
      return;
    }
    CompactSendBuffer();
    if (!write_source_.active())
      write_source_.WatchSocket(socket_.get(), G_IO_OUT, [this] { Flush(); });
    return;
  }
  CompactSendBuffer();
  write_source_.Reset();
}

void PeerLink::CompactSendBuffer() {
  if (send_offset_ == send_buffer_.size()) {
    send_buffer_.clear();
    // Hundreds of links that each keep the memory of their longest queue hold
    // more than a control host has.
    if (send_buffer_.capacity() > kKeptBufferBytes)
      send_buffer_.shrink_to_fit();
    send_offset_ = 0;
  } else if (send_offset_ > kKeptBufferBytes &&
             send_offset_ > send_buffer_.size() / 2) {
    send_buffer_.erase(0, send_offset_);
    send_offset_ = 0;
  }
}

void PeerLink::DropQueue() {
  Fail(LinkFailure::kOverflow);
}

guint PeerLink::ReconnectDelayMs() const {
  const int doublings = std::min(failed_attempts_, kMaxDelayDoublings);
  return std::min(kReconnectDelayMs << doublings, kMaxReconnectDelayMs);
}

void PeerLink::Fail(LinkFailure failure) {
  failed_attempts_ += failure == LinkFailure::kNotConnected ? 1 : 0;
  read_source_.Reset();
  write_source_.Reset();
  socket_.reset();
  session_key_.reset();
  nonce_.clear();
  delivery_.Reset();
  delivery_timer_.Reset();
  receipt_buffer_.clear();
  pending_ = {};
  pending_bytes_ = 0;
  send_offset_ = send_buffer_.size();
  CompactSendBuffer();
  last_sequence_ = 0;
  state_ = State::kBackingOff;
  timer_.StartTimer(ReconnectDelayMs(), [this] {
    state_ = State::kIdle;
    if (!pending_.empty())
      Connect();
  });
  on_failure_(peer_, failure);
}

}  // namespace briarlead
