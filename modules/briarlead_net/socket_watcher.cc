#include "briarlead_net/socket_watcher.h"

#include <glib-unix.h>
#include <unistd.h>

#include <algorithm>
#include <array>

namespace briarlead {

namespace {

constexpr int kMaxEventsPerDispatch = 512;

}  // namespace

SocketWatcher& SocketWatcher::OfProcess() {
  static SocketWatcher watcher;
  return watcher;
}

SocketWatcher::SocketWatcher()
    : epoll_fd_(epoll_create1(EPOLL_CLOEXEC)),
      source_(g_unix_fd_source_new(epoll_fd_, G_IO_IN)) {
  const GUnixFDSourceFunc dispatch = [](gint, GIOCondition, gpointer self) {
    static_cast<SocketWatcher*>(self)->Dispatch();
    return static_cast<gboolean>(G_SOURCE_CONTINUE);
  };
  g_source_set_callback(source_, G_SOURCE_FUNC(dispatch), this, nullptr);
  g_source_attach(source_, nullptr);
}

SocketWatcher::~SocketWatcher() {
  g_source_destroy(source_);
  g_source_unref(source_);
  close(epoll_fd_);
}

void SocketWatcher::Add(int fd,
                        std::uint32_t events,
                        SocketEventHandler* handler) {
  epoll_event event{};
  event.events = events;
  event.data.ptr = handler;
  if (epoll_ctl(epoll_fd_, EPOLL_CTL_MOD, fd, &event) != 0)
    epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, fd, &event);
}

void SocketWatcher::Remove(int fd, SocketEventHandler* handler) {
  epoll_ctl(epoll_fd_, EPOLL_CTL_DEL, fd, nullptr);
  // Pending events may point to `handler`, which may be about to be destroyed.
  for (epoll_event& event : pending_events_) {
    if (event.data.ptr == handler)
      event.data.ptr = nullptr;
  }
}

void SocketWatcher::Dispatch() {
  std::array<epoll_event, kMaxEventsPerDispatch> events;
  const int n = epoll_wait(epoll_fd_, events.data(), kMaxEventsPerDispatch, 0);
  pending_events_ =
      std::span(events).first(static_cast<std::size_t>(std::max(n, 0)));
  while (!pending_events_.empty()) {
    const epoll_event event = pending_events_.front();
    pending_events_ = pending_events_.subspan(1);
    if (event.data.ptr != nullptr)
      static_cast<SocketEventHandler*>(event.data.ptr)
          ->OnSocketEvents(event.events);
  }
}

}  // namespace briarlead
