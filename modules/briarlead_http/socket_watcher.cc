#include "briarlead_http/socket_watcher.h"

#include <glib-unix.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <array>

namespace briarlead {

namespace {

constexpr int kMaxEventsPerTurn = 512;
constexpr int kGenerationShift = 32;

}  // namespace

SocketWatcher::SocketWatcher() : epoll_fd_(epoll_create1(EPOLL_CLOEXEC)) {
  source_.reset(g_unix_fd_source_new(epoll_fd_, G_IO_IN));
  const GUnixFDSourceFunc dispatch = [](gint, GIOCondition, gpointer self) {
    static_cast<SocketWatcher*>(self)->Dispatch();
    return static_cast<gboolean>(G_SOURCE_CONTINUE);
  };
  g_source_set_callback(source_.get(), G_SOURCE_FUNC(dispatch), this, nullptr);
  g_source_attach(source_.get(), nullptr);
}

SocketWatcher::~SocketWatcher() {
  source_.reset();
  close(epoll_fd_);
}

void SocketWatcher::Add(int fd,
                        std::uint32_t events,
                        SocketListener* listener) {
  const std::uint32_t generation = next_generation_++;
  epoll_event event{};
  event.events = events;
  event.data.u64 =
      (static_cast<std::uint64_t>(generation) << kGenerationShift) |
      static_cast<std::uint32_t>(fd);
  watches_[fd] = Watch{generation, listener};
  if (epoll_ctl(epoll_fd_, EPOLL_CTL_MOD, fd, &event) != 0)
    epoll_ctl(epoll_fd_, EPOLL_CTL_ADD, fd, &event);
}

void SocketWatcher::Remove(int fd) {
  if (watches_.erase(fd) == 0)
    return;
  epoll_ctl(epoll_fd_, EPOLL_CTL_DEL, fd, nullptr);
}

void SocketWatcher::Dispatch() {
  std::array<epoll_event, kMaxEventsPerTurn> events;
  const int n = epoll_wait(epoll_fd_, events.data(), kMaxEventsPerTurn, 0);
  for (int i = 0; i < n; ++i) {
    const std::uint64_t data = events[i].data.u64;
    const auto it = watches_.find(static_cast<int>(data & 0xffffffffU));
    // An earlier listener of this turn may have removed or replaced it.
    if (it == watches_.end() ||
        it->second.generation != data >> kGenerationShift) {
      continue;
    }
    it->second.listener->OnSocketEvents(events[i].events);
  }
}

}  // namespace briarlead
