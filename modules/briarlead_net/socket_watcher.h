#ifndef BRIARLEAD_NET_SOCKET_WATCHER_H_
#define BRIARLEAD_NET_SOCKET_WATCHER_H_

#include <glib.h>
#include <sys/epoll.h>

#include <cstdint>
#include <span>

namespace briarlead {

/// Interface for handling the events of a socket.
class SocketEventHandler {
 public:
  virtual ~SocketEventHandler() = default;

  /// Called with the EPOLL* bits that are set in `events`. May add sockets to
  /// the watcher and remove any from it.
  virtual void OnSocketEvents(std::uint32_t events) = 0;
};

/// Watches many sockets through one epoll descriptor. Only this descriptor is
/// added to the main context as an event source, because the cost of each
/// iteration of GLib's main loop grows with its number of sources.
class SocketWatcher {
 public:
  /// Returns the process-wide watcher, which runs on GLib's default main
  /// context.
  static SocketWatcher& OfProcess();

  SocketWatcher(const SocketWatcher&) = delete;
  SocketWatcher& operator=(const SocketWatcher&) = delete;
  ~SocketWatcher();

  /// Calls `handler` for `events` (EPOLL* bits, level-triggered) on `fd` until
  /// Remove(). Replaces the events and the handler registered for `fd`, if any.
  void Add(int fd, std::uint32_t events, SocketEventHandler* handler);

  /// Stops watching `fd` and drops the events still pending for `handler`. Must
  /// be called before `fd` is closed.
  void Remove(int fd, SocketEventHandler* handler);

 private:
  SocketWatcher();

  /// Reads the ready events and calls their handlers.
  void Dispatch();

  int epoll_fd_;
  GSource* source_;
  /// Events of the current Dispatch() whose handlers are yet to be called.
  std::span<epoll_event> pending_events_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_NET_SOCKET_WATCHER_H_
