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

/// A bound UDP socket on the GLib loop. Datagrams may be lost or reordered;
/// nothing waits for them.
class DatagramSocket {
 public:
  /// Largest datagram that is sent or read, in bytes.
  static constexpr std::size_t kMaxDatagramBytes = 1400;

  using Handler = std::function<void(std::string_view bytes)>;

  /// Binds `endpoint` and calls `handler` for each datagram.
  /// Errors: kInvalidArgument, kUnavailable.
  static Result<std::unique_ptr<DatagramSocket>> Bind(const Endpoint& endpoint,
                                                      Handler handler);

  /// Sends `bytes` to `to`. Dropped when the socket can't take it now or when
  /// it exceeds kMaxDatagramBytes.
  void Send(const Endpoint& to, std::string_view bytes);

 private:
  DatagramSocket(ObjectPtr<GSocket> socket, Handler handler);

  void ReadAll();

  ObjectPtr<GSocket> socket_;
  Handler handler_;
  SourceHandle readable_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_NET_DATAGRAM_SOCKET_H_
