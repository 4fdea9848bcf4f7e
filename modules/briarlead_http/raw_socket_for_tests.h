#ifndef BRIARLEAD_HTTP_RAW_SOCKET_FOR_TESTS_H_
#define BRIARLEAD_HTTP_RAW_SOCKET_FOR_TESTS_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <memory>
#include <string>
#include <string_view>

#include "briarlead_core/endpoint.h"

namespace briarlead {

/// A TCP connection that says exactly the bytes that a test wants.
class RawSocket {
 public:
  explicit RawSocket(int fd) : fd_(fd) {}
  RawSocket(const RawSocket&) = delete;
  RawSocket& operator=(const RawSocket&) = delete;
  ~RawSocket() { Close(); }

  /// Connects to a listener on the loopback interface.
  static std::unique_ptr<RawSocket> Connect(const Endpoint& endpoint) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = ToAddress(endpoint);
    (void)connect(fd, reinterpret_cast<const sockaddr*>(&address),
                  sizeof(address));
    return std::make_unique<RawSocket>(fd);
  }

  void Send(std::string_view bytes) const {
    send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  }

  /// Takes in what has come and returns all that came so far.
  const std::string& Receive() {
    std::array<char, 65536> buf;
    ssize_t n = 0;
    while ((n = recv(fd_, buf.data(), buf.size(), MSG_DONTWAIT)) > 0)
      received_.append(buf.data(), static_cast<std::size_t>(n));
    closed_ = closed_ || n == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
    return received_;
  }

  /// Returns true once the other side has closed its sending side.
  bool ClosedByPeer() {
    Receive();
    return closed_;
  }

  void Forget() { received_.clear(); }
  void CloseSending() const { shutdown(fd_, SHUT_WR); }
  void Close() {
    if (fd_ >= 0)
      close(fd_);
    fd_ = -1;
  }

  static sockaddr_in ToAddress(const Endpoint& endpoint) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
    return address;
  }

 private:
  int fd_;
  std::string received_;
  bool closed_ = false;
};

/// A listener whose connections a test answers by hand.
class RawListener {
 public:
  RawListener() : fd_(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
    sockaddr_in address = RawSocket::ToAddress(endpoint_);
    (void)bind(fd_, reinterpret_cast<const sockaddr*>(&address),
               sizeof(address));
    listen(fd_, 512);
    socklen_t size = sizeof(address);
    getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
    endpoint_.port = ntohs(address.sin_port);
  }
  RawListener(const RawListener&) = delete;
  RawListener& operator=(const RawListener&) = delete;
  ~RawListener() { close(fd_); }

  /// Returns the next connection, or null when none waits.
  std::unique_ptr<RawSocket> Accept() const {
    const int fd = accept(fd_, nullptr, nullptr);
    return fd < 0 ? nullptr : std::make_unique<RawSocket>(fd);
  }

  [[nodiscard]] const Endpoint& endpoint() const { return endpoint_; }

 private:
  Endpoint endpoint_{"127.0.0.1", 0};
  int fd_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_HTTP_RAW_SOCKET_FOR_TESTS_H_
