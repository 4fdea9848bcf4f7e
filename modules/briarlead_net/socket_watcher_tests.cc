#include "briarlead_net/socket_watcher.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <functional>

// Must follow every header that uses the global operator new, since CppUTest
// defines a macro named new.
#include <CppUTest/TestHarness.h>

namespace briarlead {

namespace {

/// Watches one end of a socket pair that has a byte to read, counts its events
/// and stops watching on the first.
class ReadableSocket : public SocketEventHandler {
 public:
  ReadableSocket() {
    CHECK_EQUAL(0, socketpair(AF_UNIX, SOCK_STREAM, 0, fds_.data()));
    CHECK_EQUAL(1, write(fds_[1], "x", 1));
    SocketWatcher::OfProcess().Add(fds_[0], EPOLLIN, this);
  }
  ~ReadableSocket() override {
    Remove();
    close(fds_[0]);
    close(fds_[1]);
  }
  ReadableSocket(const ReadableSocket&) = delete;
  ReadableSocket& operator=(const ReadableSocket&) = delete;

  void Remove() { SocketWatcher::OfProcess().Remove(fds_[0], this); }

  // SocketEventHandler:
  void OnSocketEvents(std::uint32_t events) override {
    ++event_count_;
    CHECK((events & EPOLLIN) != 0);
    Remove();
    if (after_event_)
      after_event_();
  }

  std::array<int, 2> fds_{};
  int event_count_ = 0;
  std::function<void()> after_event_;
};

}  // namespace

TEST_GROUP(SocketWatcher){};

TEST(SocketWatcher, EachHandlerIsCalledUntilItIsRemoved) {
  ReadableSocket first;
  ReadableSocket second;
  while (g_main_context_iteration(nullptr, FALSE) != FALSE) {
  }
  CHECK_EQUAL(1, first.event_count_);
  CHECK_EQUAL(1, second.event_count_);
}

// Both sockets are ready in the same Dispatch(); the handler that is called
// first removes the other, whose pending event must then be dropped.
TEST(SocketWatcher, HandlerRemovedInTheSameDispatchIsNotCalled) {
  ReadableSocket first;
  ReadableSocket second;
  first.after_event_ = [&second] { second.Remove(); };
  second.after_event_ = [&first] { first.Remove(); };
  while (g_main_context_iteration(nullptr, FALSE) != FALSE) {
  }
  CHECK_EQUAL(1, first.event_count_ + second.event_count_);
}

}  // namespace briarlead
