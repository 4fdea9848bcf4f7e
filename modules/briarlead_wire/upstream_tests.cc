#include "briarlead_net/loop_clock.h"
#include "briarlead_wire/upstream_pool.h"
#include "briarlead_wire/wire_fixture.h"

namespace briarlead {

namespace {

constexpr std::string_view kRequest = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
/// Most bytes that an endless response sends before a test gives up.
constexpr std::size_t kMostBytes = 4UL << 20;
constexpr std::string_view kKept =
    "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nId: r\r\n"
    "Content-Length: 2\r\n\r\nok";
constexpr std::string_view kRefusal =
    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

}  // namespace

// Calls to a server that behaves as the test tells it.
TEST_GROUP(Upstream) {
  RawPeer server_;
  UpstreamPool pool_;
  std::unique_ptr<UpstreamCall> call_;
  std::string name_;
  std::string body_;
  int status_ = 0;
  bool complete_ = false;
  std::optional<UpstreamFailure> failure_;

  void Call(Duration max_idle = std::chrono::seconds(60)) {
    body_.clear();
    status_ = 0;
    complete_ = false;
    failure_.reset();
    UpstreamHandlers handlers;
    handlers.match = [](const ResponseHead& it) {
      const auto id = it.fields.Find("Id");
      if (!id.has_value())
        return ResponseMatch::kUnmarked;
      return *id == "r" ? ResponseMatch::kOwn : ResponseMatch::kOther;
    };
    handlers.on_head = [this](ResponseHead& it) { status_ = it.status; };
    handlers.on_body = [this](std::string_view it) { body_ += it; };
    handlers.on_complete = [this] {
      complete_ = true;
      call_.reset();
    };
    handlers.on_failure = [this](UpstreamFailure it) { failure_ = it; };
    UpstreamCallOptions options;
    options.max_idle = max_idle;
    options.name = name_;
    call_ = pool_.Start(server_.endpoint(), kRequest, options,
                        std::move(handlers), LoopNow());
  }
  void Accept() {
    CHECK(RunUntil([this] { return server_.Accept(); }));
  }
  void AwaitRequests(std::size_t n) {
    CHECK(RunUntil(
        [&] { return server_.Received().size() == n * kRequest.size(); }));
  }
  /// Sends `start` and then `filler` again and again, four megabytes at most.
  void CheckEndlessFails(const std::string& start, const std::string& filler) {
    Call();
    Accept();
    std::string unsent = start;
    std::size_t sent = 0;
    CHECK(RunUntil([&] {
      while (unsent.size() < 32768)
        unsent += filler;
      const std::size_t n = server_.SendSome(unsent);
      unsent.erase(0, n);
      sent += n;
      return failure_.has_value() || sent >= kMostBytes;
    }));
    CHECK_TRUE(failure_ == UpstreamFailure::kNotHttp);
  }
  void Finish() {
    CHECK(RunUntil([this] { return complete_ || failure_.has_value(); }));
  }
};

TEST(Upstream, ConnectionIsKeptForTheNextCall) {
  Call();
  Accept();
  AwaitRequests(1);
  server_.Send(kKept);
  Finish();
  CHECK(body_ == "ok");
  Call();
  AwaitRequests(2);
  server_.Send(kKept);
  Finish();
  CHECK(complete_);
  CHECK_EQUAL(1U, pool_.opened());
}

TEST(Upstream, EarlierRefusalWithoutAnIdIsNotTakenForTheAnswerToTheNextCall) {
  Call();
  Accept();
  AwaitRequests(1);
  server_.Send(kKept);
  Finish();
  Call();
  AwaitRequests(2);
  server_.Send(std::string(kRefusal) + std::string(kKept));
  Finish();
  CHECK_EQUAL(200, status_);
  CHECK(body_ == "ok");
}

TEST(Upstream, ConnectionCarriesNoSecondCallOfTheSameName) {
  name_ = "one";
  Call();
  Accept();
  AwaitRequests(1);
  server_.Send(kKept);
  Finish();
  Call();
  CHECK_EQUAL(2U, pool_.opened());
  call_.reset();
  name_ = "other";
  Call();
  CHECK_EQUAL(2U, pool_.opened());
}

TEST(Upstream, IdleConnectionIsPassedOverWhereAFreshOneIsAskedFor) {
  Call();
  Accept();
  server_.Send(kKept);
  Finish();
  Call(Duration(-1));
  CHECK_EQUAL(2U, pool_.opened());
}

// Guards against handlers that are called after their owner has ended: a host
// that passed on a request ended with them (LOST).
TEST(Upstream, WithdrawnCallHearsNothingMore) {
  for (const bool ends_well : {true, false}) {
    Call();
    Accept();
    server_.Send("HTTP/1.1 200 OK\r\nId: r\r\nContent-Length: 6\r\n\r\nhal");
    CHECK(RunUntil([this] { return body_ == "hal"; }));
    call_->Withdraw({});
    if (ends_well)
      server_.Send("ves");
    else
      server_.Close();
    const TimePoint end = LoopNow() + std::chrono::milliseconds(50);
    CHECK(RunUntil([&] { return LoopNow() >= end; }));
    CHECK_FALSE(complete_);
    CHECK_FALSE(failure_.has_value());
    CHECK(body_ == "hal");
    call_.reset();
  }
}

TEST(Upstream, CallMayBeWithdrawnInItsOwnHandler) {
  for (const bool at_head : {true, false}) {
    int calls = 0;
    std::unique_ptr<UpstreamCall> call;
    UpstreamHandlers handlers;
    const auto withdraw = [&] {
      ++calls;
      call->Withdraw({});
    };
    handlers.match = [](const ResponseHead&) { return ResponseMatch::kOwn; };
    handlers.on_head = [&](ResponseHead&) {
      if (at_head)
        withdraw();
    };
    handlers.on_body = [&](std::string_view) { withdraw(); };
    handlers.on_complete = [&] { ++calls; };
    handlers.on_failure = [&](UpstreamFailure) { ++calls; };
    call = pool_.Start(server_.endpoint(), kRequest, {}, std::move(handlers),
                       LoopNow());
    Accept();
    server_.Send(kKept);
    CHECK(RunUntil([&] { return calls > 0; }));
    const TimePoint end = LoopNow() + std::chrono::milliseconds(50);
    CHECK(RunUntil([&] { return LoopNow() >= end; }));
    CHECK_EQUAL(1, calls);
  }
}

TEST(Upstream, BytesAfterAResponseEndTheConnection) {
  Call();
  Accept();
  AwaitRequests(1);
  server_.Send(std::string(kKept) + "HTTP/1.1 200 OK\r\n\r\nmore");
  Finish();
  CHECK(complete_ && body_ == "ok");
  Call();
  CHECK_EQUAL(2U, pool_.opened());
}

// The loop hasn't run since the server closed: only the socket knows.
TEST(Upstream, ConnectionThatWasClosedUnnoticedIsNotUsed) {
  Call();
  Accept();
  AwaitRequests(1);
  server_.Send(kKept);
  Finish();
  server_.Close();
  Call();
  Accept();
  server_.Send(kKept);
  Finish();
  CHECK(complete_);
  LONGS_EQUAL(2, pool_.opened());
}

TEST(Upstream, BytesOnAnIdleConnectionEndIt) {
  Call();
  Accept();
  server_.Send(kKept);
  Finish();
  server_.Send(kKept);
  CHECK(RunUntil([this] {
    pool_.Sweep(LoopNow());
    return pool_.idle_count() == 0;
  }));
  Call();
  CHECK_EQUAL(2U, pool_.opened());
}

TEST(Upstream, ResponseToAnotherRequestIsDropped) {
  Call();
  Accept();
  AwaitRequests(1);
  server_.Send(
      "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nother");
  server_.Send(kKept);
  Finish();
  CHECK(complete_ && body_ == "ok");
}

TEST(Upstream, CallFailsWhenASkippedResponseEndsWithItsConnection) {
  Call();
  Accept();
  AwaitRequests(1);
  server_.Send("HTTP/1.1 200 OK\r\nId: other\r\n\r\nother");
  server_.Close();
  Finish();
  CHECK(failure_ == UpstreamFailure::kClosed);
}

// A server that stops after any byte of its answer and closes in order.
TEST(Upstream, NoAnswerThatIsCutInItsHeadOrFramingCompletes) {
  const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
  const std::string skipped =
      "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nother";
  const std::string head = "HTTP/1.1 200 OK\r\nId: r\r\n";
  const std::vector<std::string> answers = {
      head + "Content-Length: 3\r\n\r\nabc",
      head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"};
  for (const std::string& before : {std::string(), interim, skipped}) {
    for (const std::string& answer : answers) {
      for (std::size_t n = 0; n < answer.size(); ++n) {
        Call();
        Accept();
        server_.Send(before + answer.substr(0, n));
        server_.Close();
        Finish();
        CHECK_FALSE(complete_);
      }
    }
  }
}

TEST(Upstream, AnswerWithoutALengthThatIsCutInItsHeadDoesNotComplete) {
  const std::string head = "HTTP/1.1 200 OK\r\nId: r\r\n\r\n";
  for (std::size_t n = 0; n < head.size(); ++n) {
    Call();
    Accept();
    server_.Send(head.substr(0, n));
    server_.Close();
    Finish();
    CHECK_FALSE(complete_);
  }
}

// Such bytes must neither fill the memory nor hold the call until its deadline.
TEST(Upstream, EndlessHeadFailsTheCall) {
  CheckEndlessFails("HTTP/1.1 200 OK\r\n", "Filler: and so on\r\n");
}

TEST(Upstream, EndlessFieldFailsTheCall) {
  CheckEndlessFails("HTTP/1.1 200 OK\r\nFiller: ", "and so on");
}

TEST(Upstream, EndlessChunkHeaderFailsTheCall) {
  CheckEndlessFails("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=",
                    "filler");
}

TEST(Upstream, EndlessTrailerFailsTheCall) {
  CheckEndlessFails(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
      "Filler: and so on\r\n");
}

TEST(Upstream, EndlessResponseToAnotherRequestFailsTheCall) {
  CheckEndlessFails("HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "filler");
}

TEST(Upstream, InterimResponsesWithoutEndFailTheCall) {
  CheckEndlessFails("", "HTTP/1.1 102 Processing\r\n\r\n");
}

TEST(Upstream, InterimResponseIsDropped) {
  Call();
  Accept();
  server_.Send("HTTP/1.1 100 Continue\r\n\r\n");
  server_.Send(kKept);
  Finish();
  CHECK(status_ == 200 && body_ == "ok");
}

TEST(Upstream, CutResponseFails) {
  Call();
  Accept();
  AwaitRequests(1);
  server_.Send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok");
  CHECK(RunUntil([this] { return body_ == "ok"; }));
  server_.Close();
  Finish();
  CHECK(failure_ == UpstreamFailure::kClosed);
}

TEST(Upstream, ResetResponseWithoutLengthFails) {
  Call();
  Accept();
  AwaitRequests(1);
  server_.Send("HTTP/1.1 200 OK\r\n\r\nok");
  CHECK(RunUntil([this] { return body_ == "ok"; }));
  server_.Reset();
  Finish();
  CHECK(failure_ == UpstreamFailure::kBroken);
}

TEST(Upstream, ClosedResponseWithoutLengthIsComplete) {
  Call();
  Accept();
  AwaitRequests(1);
  server_.Send("HTTP/1.1 200 OK\r\n\r\nok");
  server_.Close();
  Finish();
  CHECK(complete_ && body_ == "ok");
}

TEST(Upstream, BytesThatAreNoResponseFail) {
  Call();
  Accept();
  server_.Send("garbage\r\n\r\n");
  Finish();
  CHECK(failure_ == UpstreamFailure::kNotHttp);
}

TEST(Upstream, RefusedConnectionIsToldAsNothingSent) {
  UpstreamHandlers handlers;
  handlers.on_failure = [this](UpstreamFailure it) { failure_ = it; };
  // Nothing listens on the port of a peer that is gone.
  const Endpoint gone = RawPeer().endpoint();
  call_ = pool_.Start(gone, kRequest, {}, std::move(handlers), LoopNow());
  Finish();
  CHECK(failure_ == UpstreamFailure::kNotConnected);
}

TEST(Upstream, AbandonedCallClosesItsConnection) {
  Call();
  Accept();
  AwaitRequests(1);
  call_.reset();
  CHECK(RunUntil([this] { return server_.Ended(); }));
}

}  // namespace briarlead
