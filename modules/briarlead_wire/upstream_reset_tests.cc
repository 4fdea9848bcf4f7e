#include <optional>
#include <string>
#include <vector>

#include "briarlead_net/loop_clock.h"
#include "briarlead_wire/upstream_pool.h"
#include "briarlead_wire/wire_fixture.h"

namespace briarlead {

namespace {

/// More than the kernel takes while the server reads nothing.
constexpr std::size_t kUnsentBytes = std::size_t{32} << 20;
constexpr std::string_view kHead = "HTTP/1.1 200 OK\r\n";
constexpr std::string_view kBody = "0123456789";

/// A response and how far it gets before the connection ends.
struct Ending {
  const char* name;
  std::string sent;
  bool is_reset = false;
  bool completes = false;
  bool closes_before_reset = false;  ///< The reset follows an orderly end.
};

std::vector<Ending> Endings() {
  const std::string body(kBody);
  const std::string half = body.substr(0, 5);
  const std::string with_length =
      std::string(kHead) + "Content-Length: 10\r\n\r\n";
  const std::string chunked =
      std::string(kHead) + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string without = std::string(kHead) + "\r\n";
  return {{"nothing", "", true, false},
          {"half a head", "HTTP/1.1 200", true, false},
          {"length, half", with_length + half, true, false},
          {"length, half, orderly", with_length + half, false, false},
          {"length, whole", with_length + body, true, true},
          {"chunked, half", chunked + "5\r\n" + half + "\r\n", true, false},
          {"chunked, whole", chunked + "a\r\n" + body + "\r\n0\r\n\r\n", true,
           true},
          {"no length, head", without, true, false},
          {"no length, half", without + half, true, false},
          {"no length, all of it", without + body, true, false},
          {"no length, orderly", without + body, false, true}};
}

/// Endings of a server that closes while the request is being written, which
/// resets the connection: it may have failed in the middle of its response.
std::vector<Ending> EndingsBeforeAReset() {
  const std::string body(kBody);
  const std::string with_length =
      std::string(kHead) + "Content-Length: 10\r\n\r\n";
  const std::string without = std::string(kHead) + "\r\n";
  return {{"length, whole", with_length + body, true, true, true},
          {"no length, head", without, true, false, true},
          {"no length, half", without + body.substr(0, 5), true, false, true},
          {"no length, all of it", without + body, true, false, true}};
}

}  // namespace

// Calls whose connection ends before, in or after their response.
TEST_GROUP(UpstreamReset) {
  /// The orderly end is read before the reset that follows it is there.
  bool reads_end_first_ = false;
  bool has_head_ = false;
  bool complete_ = false;
  std::optional<UpstreamFailure> failure_;
  std::string body_;

  /// Makes one call with `request_bytes` and ends it as `ending` says.
  void Play(const Ending& ending, std::size_t request_bytes) {
    has_head_ = false;
    complete_ = false;
    failure_.reset();
    body_.clear();
    RawPeer server;
    UpstreamPool pool;
    UpstreamHandlers handlers;
    handlers.match = [](const ResponseHead&) { return ResponseMatch::kOwn; };
    handlers.on_head = [this](const ResponseHead&) { has_head_ = true; };
    handlers.on_body = [this](std::string_view it) { body_ += it; };
    handlers.on_complete = [this] { complete_ = true; };
    handlers.on_failure = [this](UpstreamFailure it) { failure_ = it; };
    const std::string request =
        "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " +
        std::to_string(request_bytes) + "\r\n\r\n" +
        std::string(request_bytes, 'x');
    const auto call = pool.Start(server.endpoint(), request, {},
                                 std::move(handlers), LoopNow());
    CHECK(RunUntil([&] { return server.Accept(); }));
    CHECK(RunUntil([&] { return call->connected(); }));
    server.Send(ending.sent);
    if (!ending.is_reset || ending.closes_before_reset)
      server.CloseSending();
    if (ending.closes_before_reset && reads_end_first_)
      ReadAll();
    if (ending.is_reset)
      server.Reset();
    CHECK(RunUntil([this] { return complete_ || failure_.has_value(); }));
  }

  /// Reads the response and the end behind it, and waits no longer.
  void ReadAll() {
    CHECK(RunUntil([this] { return has_head_; }));
    while (g_main_context_iteration(nullptr, FALSE) != FALSE) {
    }
  }

  void CheckAll(const std::vector<Ending>& endings, std::size_t request_bytes) {
    for (const Ending& it : endings) {
      Play(it, request_bytes);
      CHECK_TEXT(complete_ == it.completes, it.name);
      CHECK_TEXT(!complete_ || body_ == kBody, it.name);
    }
  }
};

TEST(UpstreamReset, OnlyAWholeResponseCompletes) {
  CheckAll(Endings(), 0);
}

// Guards against answers without a length that a reset cuts and that look whole
// (MIXED), and against whole ones that the same reset would lose.
TEST(UpstreamReset, OnlyAWholeResponseCompletesWhileTheRequestIsUnsent) {
  CheckAll(Endings(), kUnsentBytes);
}

TEST(UpstreamReset, EndThatAResetFollowsCompletesNoResponseWithoutALength) {
  CheckAll(EndingsBeforeAReset(), kUnsentBytes);
}

TEST(UpstreamReset, EndThatAResetFollowsLaterCompletesNoneEither) {
  reads_end_first_ = true;
  CheckAll(EndingsBeforeAReset(), kUnsentBytes);
}

}  // namespace briarlead
