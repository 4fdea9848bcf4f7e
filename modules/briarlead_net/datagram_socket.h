#ifndef BRIARLEAD_NET_DATAGRAM_SOCKET_H_
#define BRIARLEAD_NET_DATAGRAM_SOCKET_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/error.h"
#include "briarlead_net/glib_handles.h"

namespace briarlead {

/// A bound, non-blocking UDP socket on the GLib main loop. Datagrams may be
/// lost or reordered; none is acknowledged or retransmitted.
class DatagramSocket {
 public:
  /// Largest datagram that is sent or received, in bytes. Larger ones are
  /// dropped.
  static constexpr std::size_t kMaxDatagramBytes = 1400;

  using Handler = std::function<void(std::string_view bytes)>;

  /// Binds a socket to `endpoint` and calls `handler` for each datagram that
  /// arrives. Errors: those of BindSocket().
  static Result<std::unique_ptr<DatagramSocket>> Bind(const Endpoint& endpoint,
                                                      Handler handler);

  /// Sends `bytes` to `destination` as one datagram. Drops the datagram
  /// silently if it exceeds kMaxDatagramBytes, if `destination` is not an IP
  /// address, or if the socket can't accept it at once.
  void Send(const Endpoint& destination, std::string_view bytes);

 private:
  DatagramSocket(ObjectPtr<GSocket> socket, Handler handler);

  void ReadDatagrams();

  ObjectPtr<GSocket> socket_;
  Handler handler_;
  SourceHandle read_source_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_NET_DATAGRAM_SOCKET_H_
