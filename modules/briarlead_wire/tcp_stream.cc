#include "briarlead_wire/tcp_stream.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <array>
#include <utility>

namespace briarlead {

namespace {

constexpr std::size_t kReadBytes = 16384;
/// Memory that a stream keeps for its next write when nothing waits.
constexpr std::size_t kKeptBytes = 1024;

void SetTcpOptions(GSocket* socket, Duration unacknowledged_timeout) {
  g_socket_set_blocking(socket, FALSE);
  g_socket_set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
  g_socket_set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
                      static_cast<gint>(unacknowledged_timeout.count() / 1000),
                      nullptr);
}

guint Milliseconds(Duration duration) {
  return static_cast<guint>(duration.count() / 1000 + 1);
}

}  // namespace

std::unique_ptr<TcpStream> TcpStream::Adopt(ObjectPtr<GSocket> socket,
                                            Handlers handlers,
                                            Duration unacknowledged_timeout) {
  std::unique_ptr<TcpStream> stream(new TcpStream(std::move(handlers)));
  stream->socket_ = std::move(socket);
  SetTcpOptions(stream->socket_.get(), unacknowledged_timeout);
  stream->connected_ = true;
  stream->SetReading(true);
  return stream;
}

std::unique_ptr<TcpStream> TcpStream::Connect(const Endpoint& peer,
                                              Duration timeout,
                                              Handlers handlers) {
  std::unique_ptr<TcpStream> stream(new TcpStream(std::move(handlers)));
  stream->Dial(peer, timeout);
  return stream;
}

TcpStream::TcpStream(Handlers handlers) : handlers_(std::move(handlers)) {}

TcpStream::~TcpStream() {
  *alive_ = false;
  Unwatch();
  if (socket_)
    g_socket_close(socket_.get(), nullptr);
}

void TcpStream::Dial(const Endpoint& peer, Duration timeout) {
  const auto fail_later = [this](StreamEnd end = StreamEnd::kNotStarted) {
    timer_.StartTimer(0, [this, end] { End(end); });
  };
  const ObjectPtr<GSocketAddress> address = ToSocketAddress(peer);
  if (!address)
    return fail_later();
  socket_.reset(g_socket_new(g_socket_address_get_family(address.get()),
                             G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_DEFAULT,
                             nullptr));
  if (!socket_)
    return fail_later();
  SetTcpOptions(socket_.get(), kUnacknowledgedTimeout);
  GError* error = nullptr;
  const bool started = g_socket_connect(socket_.get(), address.get(), nullptr,
                                        &error) != FALSE ||
                       g_error_matches(error, G_IO_ERROR, G_IO_ERROR_PENDING);
  const bool refused = g_error_matches(error, G_IO_ERROR,
                                       G_IO_ERROR_CONNECTION_REFUSED) != FALSE;
  g_clear_error(&error);
  if (!started) {
    return fail_later(refused ? StreamEnd::kRefused : StreamEnd::kNotStarted);
  }
  timer_.StartTimer(Milliseconds(timeout),
                    [this] { End(StreamEnd::kNotConnected); });
  connecting_ = true;
  Watch();
}

void TcpStream::Watch() {
  if (ended_)
    return;
  const bool reads = connected_ && reading_ && !peer_closed_;
  const bool writes = connecting_ || wants_to_write_;
  const std::uint32_t events =
      (reads ? EPOLLIN : 0U) | (writes ? EPOLLOUT : 0U);
  if (events == watched_events_)
    return;
  // A socket of which nothing is wanted would report its errors for ever.
  if (events == 0) {
    Unwatch();
    return;
  }
  watched_events_ = events;
  SocketWatcher::OfProcess().Add(g_socket_get_fd(socket_.get()), events, this);
}

void TcpStream::Unwatch() {
  if (std::exchange(watched_events_, 0) != 0)
    SocketWatcher::OfProcess().Remove(g_socket_get_fd(socket_.get()), this);
}

void TcpStream::OnSocketEvents(std::uint32_t events) {
  const std::shared_ptr<bool> alive = alive_;
  if (connecting_) {
    OnConnected();
    return;
  }
  const bool fails = (events & (EPOLLERR | EPOLLHUP)) != 0;
  const bool reads = (watched_events_ & EPOLLIN) != 0;
  if (reads && (fails || (events & EPOLLIN) != 0))
    ReadOnce();
  // Only reading tells an orderly end from a reset. A send would take the
  // socket's error, so a failed socket is read to its end first.
  if (!*alive || (fails && reads))
    return;
  if (wants_to_write_ && (fails || (events & EPOLLOUT) != 0))
    OnWritable();
}

void TcpStream::OnConnected() {
  connecting_ = false;
  timer_.Reset();
  GError* error = nullptr;
  if (g_socket_check_connect_result(socket_.get(), &error) == FALSE) {
    const bool refused =
        g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED) !=
        FALSE;
    g_clear_error(&error);
    End(refused ? StreamEnd::kRefused : StreamEnd::kNotConnected);
    return;
  }
  connected_ = true;
  const std::shared_ptr<bool> alive = alive_;
  if (handlers_.on_connected)
    handlers_.on_connected();
  if (!*alive)
    return;
  Flush();
  Watch();
}

void TcpStream::SetReading(bool reading) {
  reading_ = reading;
  if (connected_)
    Watch();
}

void TcpStream::ResetOnClose() {
  SetResetOnClose(true);
}

void TcpStream::SetResetOnClose(bool resets) {
  resets_on_close_ = resets;
  // A linger time of zero drops what is unsent and resets.
  const linger option{resets ? 1 : 0, 0};
  setsockopt(g_socket_get_fd(socket_.get()), SOL_SOCKET, SO_LINGER, &option,
             sizeof(option));
}

void TcpStream::ShutDownSending() {
  if (resets_on_close_)
    SetResetOnClose(false);
  g_socket_shutdown(socket_.get(), FALSE, TRUE, nullptr);
}

bool TcpStream::IsQuiet() const {
  return connected_ && !peer_closed_ &&
         g_socket_condition_check(socket_.get(), G_IO_IN) == 0;
}

bool TcpStream::HasUnacknowledged() const {
  int queued = 0;
  const bool is_known =
      ioctl(g_socket_get_fd(socket_.get()), SIOCOUTQ, &queued) == 0;
  return waiting_bytes() > 0 || (is_known && queued > 0);
}

bool TcpStream::HasFailed() const {
  return write_failed_ ||
         g_socket_condition_check(socket_.get(), G_IO_ERR) != 0;
}

bool TcpStream::ReadOnce() {
  std::array<char, kReadBytes> buf;
  GError* error = nullptr;
  const gssize n =
      g_socket_receive(socket_.get(), buf.data(), buf.size(), nullptr, &error);
  if (n < 0) {
    const bool again =
        g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
    g_clear_error(&error);
    if (!again)
      End(StreamEnd::kBroken);
    return false;
  }
  if (n == 0) {
    // A reset that a send has met reads as an end, too.
    if (write_failed_)
      End(StreamEnd::kBroken);
    else
      OnPeerClosed();
    return false;
  }
  if (handlers_.on_bytes && !closing_)
    handlers_.on_bytes({buf.data(), static_cast<std::size_t>(n)});
  return true;
}

void TcpStream::OnWriteFailed() {
  const std::shared_ptr<bool> alive = alive_;
  // What came before the failure is still there and may complete a response.
  while (*alive && reading_ && !peer_closed_ && !ended_ && ReadOnce()) {
  }
  if (*alive && !ended_)
    End(StreamEnd::kBroken);
}

void TcpStream::OnPeerClosed() {
  peer_closed_ = true;
  Watch();
  // A copy: the handler may destroy the stream.
  const std::function<void(StreamEnd)> handler = handlers_.on_end;
  if (handler)
    handler(StreamEnd::kOrderly);
}

void TcpStream::Write(std::string_view bytes) {
  if (closing_)
    return;
  const bool sends = connected_ && !wants_to_write_ && !write_failed_;
  if (sends && waiting_bytes() == 0) {
    const Sent sent = Send(bytes);
    if (sent == Sent::kAll)
      return;
    if (sent == Sent::kFailed)
      OnSendFailed();
  }
  (shared_ ? after_ : outgoing_).append(bytes);
  if (sends && !write_failed_)
    Flush();
}

void TcpStream::Write(std::shared_ptr<const std::string> bytes) {
  if (closing_ || bytes->empty())
    return;
  if (shared_)
    return Write(std::string_view{*bytes});
  shared_ = std::move(bytes);
  if (connected_ && !wants_to_write_ && !write_failed_)
    Flush();
}

void TcpStream::CloseWhenDrained() {
  closing_ = true;
  if (connected_ && waiting_bytes() == 0)
    ShutDownSending();
}

void TcpStream::CloseSending() {
  outgoing_ = {};
  shared_.reset();
  after_ = {};
  sent_ = 0;
  wants_to_write_ = false;
  Watch();
  if (connected_)
    g_socket_shutdown(socket_.get(), FALSE, TRUE, nullptr);
}

void TcpStream::OnWritable() {
  Flush();
  if (waiting_bytes() > 0)
    return;
  const std::function<void()> handler = handlers_.on_drained;
  if (handler)
    handler();
}

TcpStream::Sent TcpStream::Send(std::string_view& bytes) {
  while (!bytes.empty()) {
    GError* error = nullptr;
    const gssize n = g_socket_send(socket_.get(), bytes.data(), bytes.size(),
                                   nullptr, &error);
    if (n >= 0) {
      taken_bytes_ += static_cast<std::uint64_t>(n);
      bytes.remove_prefix(static_cast<std::size_t>(n));
      continue;
    }
    const bool full =
        g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK);
    g_clear_error(&error);
    return full ? Sent::kFull : Sent::kFailed;
  }
  return Sent::kAll;
}

void TcpStream::OnSendFailed() {
  wants_to_write_ = false;
  write_failed_ = true;
  Watch();
  // From the loop: the writer may hold references.
  timer_.StartTimer(0, [this] { OnWriteFailed(); });
}

std::string_view TcpStream::NextWaiting() const {
  std::string_view bytes = outgoing_;
  if (bytes.empty() && shared_)
    bytes = *shared_;
  bytes.remove_prefix(sent_);
  return bytes;
}

void TcpStream::RemoveSent(std::size_t n) {
  sent_ += n;
  if (outgoing_.empty()) {
    if (!shared_ || sent_ < shared_->size())
      return;
    shared_.reset();
    outgoing_.swap(after_);
    sent_ = 0;
  } else if (sent_ == outgoing_.size()) {
    if (outgoing_.capacity() > kKeptBytes)
      outgoing_ = {};
    outgoing_.clear();
    sent_ = 0;
  } else if (sent_ >= outgoing_.size() / 2) {
    // Only now, so that a large response is not moved again and again.
    outgoing_ = outgoing_.substr(sent_);
    sent_ = 0;
  }
}

void TcpStream::Flush() {
  while (waiting_bytes() > 0) {
    const std::string_view next = NextWaiting();
    std::string_view left = next;
    const Sent sent = Send(left);
    RemoveSent(next.size() - left.size());
    if (sent == Sent::kFull) {
      wants_to_write_ = true;
      Watch();
      return;
    }
    if (sent == Sent::kFailed)
      return OnSendFailed();
  }
  wants_to_write_ = false;
  Watch();
  if (closing_)
    ShutDownSending();
}

void TcpStream::End(StreamEnd end) {
  ended_ = true;
  Unwatch();
  timer_.Reset();
  const std::function<void(StreamEnd)> handler = std::move(handlers_.on_end);
  handlers_.on_end = nullptr;
  if (handler)
    handler(end);
}

}  // namespace briarlead
