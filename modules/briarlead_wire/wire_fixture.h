#ifndef BRIARLEAD_WIRE_WIRE_FIXTURE_H_
#define BRIARLEAD_WIRE_WIRE_FIXTURE_H_

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "briarlead_core/endpoint.h"

// After everything that uses the global operator new.
#include <CppUTest/TestHarness.h>

namespace briarlead {

/// Longest wait for what must come, in seconds; only a failure reaches it.
inline constexpr gint64 kLongestWaitS = 20;

/// Runs the loop until `done` or for at most kLongestWaitS.
inline bool RunUntil(const std::function<bool()>& done) {
  const gint64 end = g_get_monotonic_time() + kLongestWaitS * G_USEC_PER_SEC;
  while (g_get_monotonic_time() < end) {
    // Once it is true it is not asked again: some conditions take something.
    if (done())
      return true;
    if (g_main_context_iteration(nullptr, FALSE) == FALSE)
      g_usleep(200);
  }
  return false;
}

/// A plain socket of a test: a caller, or a server that sends what it is told.
class RawPeer {
 public:
  /// Listens on a free port of the loopback address; up to about `backlog`
  /// connections wait for Accept().
  explicit RawPeer(int backlog = 16) {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    sockaddr_in address = Loopback(0);
    CHECK_EQUAL(0, bind(listener_, reinterpret_cast<sockaddr*>(&address),
                        sizeof(address)));
    listen(listener_, backlog);
    socklen_t size = sizeof(address);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
  }
  ~RawPeer() {
    Close();
    if (listener_ >= 0)
      close(listener_);
  }
  RawPeer(const RawPeer&) = delete;
  RawPeer& operator=(const RawPeer&) = delete;

  [[nodiscard]] Endpoint endpoint() const { return {"127.0.0.1", port_}; }

  void Connect(std::uint16_t port) {
    fd_ = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = Loopback(port);
    CHECK_EQUAL(0, connect(fd_, reinterpret_cast<sockaddr*>(&address),
                           sizeof(address)));
  }
  /// Takes a waiting connection in place of the present one.
  bool Accept() {
    const int fd = accept(listener_, nullptr, nullptr);
    if (fd < 0)
      return false;
    Close();
    fd_ = fd;
    ++accepted_;
    return true;
  }
  /// Takes a waiting connection as a peer of its own; null if none waits.
  [[nodiscard]] std::unique_ptr<RawPeer> AcceptPeer() const {
    const int fd = accept(listener_, nullptr, nullptr);
    if (fd < 0)
      return nullptr;
    return std::unique_ptr<RawPeer>(new RawPeer(Connected{fd}));
  }
  /// Hands over the present connection's descriptor.
  int Release() { return std::exchange(fd_, -1); }
  void Send(std::string_view bytes) const {
    CHECK_EQUAL(static_cast<ssize_t>(bytes.size()),
                send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL));
  }
  /// Sends what the kernel takes without waiting; returns how much.
  [[nodiscard]] std::size_t SendSome(std::string_view bytes) const {
    const ssize_t n =
        send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    return n > 0 ? static_cast<std::size_t>(n) : 0;
  }
  void CloseSending() const { shutdown(fd_, SHUT_WR); }
  /// Returns whether something has come that wasn't read.
  [[nodiscard]] bool HasUnread() const {
    char byte = 0;
    return recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
  }
  /// Reads what is there; returns all that was read so far.
  const std::string& Received() {
    char buf[4096];
    for (;;) {
      const ssize_t n = recv(fd_, buf, sizeof(buf), MSG_DONTWAIT);
      if (n > 0) {
        received_.append(buf, static_cast<std::size_t>(n));
        continue;
      }
      ended_ = n == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
      was_reset_ = was_reset_ || (n < 0 && errno == ECONNRESET);
      return received_;
    }
  }
  bool Ended() {
    Received();
    return ended_;
  }
  /// Returns whether reading has met a reset.
  [[nodiscard]] bool was_reset() const { return was_reset_; }
  void Close() {
    if (fd_ >= 0)
      close(fd_);
    fd_ = -1;
  }
  /// Closes so that the peer sees a reset.
  void Reset() {
    const linger now{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    Close();
  }
  [[nodiscard]] int accepted() const { return accepted_; }

 private:
  /// The descriptor of a connection.
  struct Connected {
    int fd = -1;
  };
  explicit RawPeer(Connected connected) : fd_(connected.fd) {}

  static sockaddr_in Loopback(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
  }

  int listener_ = -1;
  int fd_ = -1;
  std::uint16_t port_ = 0;
  std::string received_;
  bool ended_ = false;
  bool was_reset_ = false;
  int accepted_ = 0;
};

}  // namespace briarlead

#endif  // BRIARLEAD_WIRE_WIRE_FIXTURE_H_
