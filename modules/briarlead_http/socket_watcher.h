#ifndef BRIARLEAD_HTTP_SOCKET_WATCHER_H_
#define BRIARLEAD_HTTP_SOCKET_WATCHER_H_

#include <cstdint>
#include <unordered_map>

#include "briarlead_http/gobject_ptr.h"

namespace briarlead {

/// Is told of events on a socket.
class SocketListener {
 public:
  virtual ~SocketListener() = default;

  /// Takes the EPOLL* bits that are set. May add and remove sockets.
  virtual void OnSocketEvents(std::uint32_t events) = 0;
};

/// Watches many sockets through one epoll descriptor, which is the only
/// source that it adds to the main context: the cost of a turn of GLib's loop
/// grows with the number of its sources.
class SocketWatcher {
 public:
  SocketWatcher();
  SocketWatcher(const SocketWatcher&) = delete;
  SocketWatcher& operator=(const SocketWatcher&) = delete;
  ~SocketWatcher();

  /// Tells `listener` of `events` (EPOLL* bits, level-triggered) on `fd` until
  /// Remove(). Replaces what was watched on `fd`.
  void Add(int fd, std::uint32_t events, SocketListener* listener);

  /// Stops watching `fd`; call it before `fd` is closed.
  void Remove(int fd);

 private:
  struct Watch {
    std::uint32_t generation = 0;
    SocketListener* listener = nullptr;
  };

  void Dispatch();

  int epoll_fd_;
  std::uint32_t next_generation_ = 1;
  std::unordered_map<int, Watch> watches_;
  GSourcePtr source_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_HTTP_SOCKET_WATCHER_H_
