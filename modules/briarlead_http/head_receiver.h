#ifndef BRIARLEAD_HTTP_HEAD_RECEIVER_H_
#define BRIARLEAD_HTTP_HEAD_RECEIVER_H_

#include <gio/gio.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "briarlead_http/gobject_ptr.h"
#include "briarlead_http/socket_watcher.h"

namespace briarlead {

class HeadReceiver;

/// Is told how the head of a request turned out. May destroy the receiver.
class HeadReceiverOwner {
 public:
  virtual ~HeadReceiverOwner() = default;

  /// Its head is whole and well-formed; nothing of it has been read.
  virtual void OnHeadReceived(HeadReceiver& receiver) = 0;

  /// It can't become a request: answer with `status`, or only close when 0.
  virtual void OnHeadRefused(HeadReceiver& receiver, int status) = 0;
};

/// Waits until the head of a connection's request is there and checks it, all
/// without taking it off the socket. libsoup sees only heads that it can
/// parse: it loses the memory of the path of one that it can't.
class HeadReceiver : public SocketListener {
 public:
  /// Watches `connection` through `watcher` for a head of at most `max_bytes`.
  HeadReceiver(HeadReceiverOwner* owner,
               SocketWatcher* watcher,
               GSocketConnection* connection,
               std::size_t max_bytes);
  HeadReceiver(const HeadReceiver&) = delete;
  HeadReceiver& operator=(const HeadReceiver&) = delete;
  ~HeadReceiver() override;

  [[nodiscard]] GSocketConnection* connection() const {
    return connection_.get();
  }
  [[nodiscard]] GSocket* socket() const {
    return g_socket_connection_get_socket(connection_.get());
  }

  // SocketListener:
  void OnSocketEvents(std::uint32_t events) override;

 private:
  HeadReceiverOwner* owner_;
  SocketWatcher* watcher_;
  GObjectPtr<GSocketConnection> connection_;
  std::size_t max_bytes_;
  int fd_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_HTTP_HEAD_RECEIVER_H_
