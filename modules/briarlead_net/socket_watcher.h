#ifndef BRIARLEAD_NET_SOCKET_WATCHER_H_
#define BRIARLEAD_NET_SOCKET_WATCHER_H_

#include <glib.h>
#include <sys/epoll.h>

#include <cstdint>
#include <span>

namespace briarlead {

/// Is told of events on a socket.
class SocketEventHandler {
 public:
  virtual ~SocketEventHandler() = default;

  /// Takes the EPOLL* bits that are set. May add and remove sockets.
  virtual void OnSocketEvents(std::uint32_t events) = 0;
};

/// Watches many sockets through one epoll descriptor, which is the only
/// source that it adds to the main context: the cost of a turn of GLib's loop
/// grows with the number of its sources.
class SocketWatcher {
 public:
  /// Returns the one of this process, on GLib's default main context.
  static SocketWatcher& OfProcess();

  SocketWatcher(const SocketWatcher&) = delete;
  SocketWatcher& operator=(const SocketWatcher&) = delete;
  ~SocketWatcher();

  /// Tells `listener` of `events` (EPOLL* bits, level-triggered) on `fd` until
  /// Remove(). Replaces the events that were watched on `fd`.
  void Add(int fd, std::uint32_t events, SocketEventHandler* listener);

  /// Stops watching `fd` for `listener`; to be called before `fd` is closed.
  void Remove(int fd, SocketEventHandler* listener);

 private:
  SocketWatcher();

  void Dispatch();

  int epoll_fd_;
  GSource* source_;
  /// Events of this turn that weren't told yet.
  std::span<epoll_event> due_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_NET_SOCKET_WATCHER_H_
