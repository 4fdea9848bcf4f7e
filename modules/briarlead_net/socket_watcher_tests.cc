#include "briarlead_net/socket_watcher.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <functional>

// After everything that uses the global operator new.
#include <CppUTest/TestHarness.h>

namespace briarlead {

namespace {

/// One end of a pair of sockets that has something to read, and who is told.
class ReadableSocket : public SocketEventHandler {
 public:
  ReadableSocket() {
    CHECK_EQUAL(0, socketpair(AF_UNIX, SOCK_STREAM, 0, ends_.data()));
    CHECK_EQUAL(1, write(ends_[1], "x", 1));
    SocketWatcher::OfProcess().Add(ends_[0], EPOLLIN, this);
  }
  ~ReadableSocket() override {
    Remove();
    close(ends_[0]);
    close(ends_[1]);
  }
  ReadableSocket(const ReadableSocket&) = delete;
  ReadableSocket& operator=(const ReadableSocket&) = delete;

  void Remove() { SocketWatcher::OfProcess().Remove(ends_[0], this); }

  // SocketEventHandler:
  void OnSocketEvents(std::uint32_t events) override {
    ++told_;
    CHECK((events & EPOLLIN) != 0);
    Remove();
    if (then_)
      then_();
  }

  std::array<int, 2> ends_{};
  int told_ = 0;
  std::function<void()> then_;
};

}  // namespace

TEST_GROUP(SocketWatcher){};

TEST(SocketWatcher, EachListenerIsToldUntilItIsRemoved) {
  ReadableSocket first;
  ReadableSocket second;
  while (g_main_context_iteration(nullptr, FALSE) != FALSE) {
  }
  CHECK_EQUAL(1, first.told_);
  CHECK_EQUAL(1, second.told_);
}

// Both are due in one turn; the one that comes first ends the other.
TEST(SocketWatcher, ListenerRemovedInTheSameTurnIsNotTold) {
  ReadableSocket first;
  ReadableSocket second;
  first.then_ = [&second] { second.Remove(); };
  second.then_ = [&first] { first.Remove(); };
  while (g_main_context_iteration(nullptr, FALSE) != FALSE) {
  }
  CHECK_EQUAL(1, first.told_ + second.told_);
}

}  // namespace briarlead
