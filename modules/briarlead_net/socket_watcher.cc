#include "briarlead_net/socket_watcher.h"

#include <glib-unix.h>
#include <unistd.h>

#include <algorithm>
#include <array>

namespace briarlead {

namespace {

constexpr int kMaxEventsPerTurn = 512;

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
                        SocketEventHandler* listener) {
  epoll_event event{};
  event.events = events;
  event.data.ptr = listener;
  if (epoll_ctl(epoll_fd_, EPOLL_CTL_MOD, fd, &event) != 0)
    epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, fd, &event);
}

void SocketWatcher::Remove(int fd, SocketEventHandler* listener) {
  epoll_ctl(epoll_fd_, EPOLL_CTL_DEL, fd, nullptr);
  // What is due may name a listener that is being destroyed.
  for (epoll_event& it : due_) {
    if (it.data.ptr == listener)
      it.data.ptr = nullptr;
  }
}

void SocketWatcher::Dispatch() {
  std::array<epoll_event, kMaxEventsPerTurn> events;
  const int n = epoll_wait(epoll_fd_, events.data(), kMaxEventsPerTurn, 0);
  due_ = std::span(events).first(static_cast<std::size_t>(std::max(n, 0)));
  while (!due_.empty()) {
    const epoll_event event = due_.front();
    due_ = due_.subspan(1);
    if (event.data.ptr != nullptr)
      static_cast<SocketEventHandler*>(event.data.ptr)
          ->OnSocketEvents(event.events);
  }
}

}  // namespace briarlead
