#include "briarlead_wire/http_listener.h"

#include <vector>

#include "briarlead_wire/wire_fixture.h"

namespace briarlead {

namespace {

constexpr std::size_t kMoreThanTheKernelTakes = 32UL << 20;
constexpr std::string_view kGet = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

/// Returns a port of the loopback address that is free.
std::uint16_t FreePort() {
  return RawPeer().endpoint().port;
}

}  // namespace

// Callers on raw sockets against a listener.
TEST_GROUP(HttpListener) {
  std::uint16_t port_ = FreePort();
  std::vector<CallerRequestId> requests_;
  std::vector<std::string> bodies_;
  std::vector<CallerRequestId> gone_;
  std::unique_ptr<HttpListener> listener_;
  RawPeer caller_;

  void setup() override {
    HttpListener::Handlers handlers;
    handlers.on_request = [this](const CallerRequestId& id, RequestHead&,
                                 std::string& body) {
      requests_.push_back(id);
      bodies_.push_back(body);
    };
    handlers.on_gone = [this](const CallerRequestId& id) {
      gone_.push_back(id);
    };
    listener_ = std::move(
        HttpListener::Listen({"127.0.0.1", port_}, std::move(handlers))
            .value());
    caller_.Connect(port_);
  }
  void Await(std::size_t n) {
    CHECK(RunUntil([&] { return requests_.size() == n; }));
  }
  /// Has a caller that takes no chunks begin a stream, of which `n` bytes are
  /// there.
  void BeginStreamWithoutChunks(std::size_t n) {
    caller_.Send("GET /x HTTP/1.0\r\nHost: h\r\n\r\n");
    Await(1);
    listener_->SendHead(requests_[0], 200, "OK", {}, std::nullopt);
    listener_->SendBody(requests_[0], std::string(n, 'p'));
    CHECK(RunUntil([&] {
      return caller_.Received().find("\r\n\r\npppp") != std::string::npos;
    }));
  }
  bool Receives(std::string_view end) {
    return RunUntil([&] { return caller_.Received().ends_with(end); });
  }
};

TEST(HttpListener, RequestsOfOneConnectionAreServedOneAfterTheOther) {
  caller_.Send(std::string(kGet) + std::string(kGet));
  Await(1);
  listener_->Respond(requests_[0], 200, {}, "one");
  Await(2);
  listener_->Respond(requests_[1], 200, {}, "two");
  CHECK(Receives("two"));
  CHECK(caller_.Received().find("one") != std::string::npos);
}

TEST(HttpListener, BodyInChunksIsWhole) {
  caller_.Send(
      "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  Await(1);
  CHECK(bodies_[0] == "abcde");
}

TEST(HttpListener, CallerThatGoesIsTold) {
  caller_.Send(kGet);
  Await(1);
  caller_.Close();
  CHECK(RunUntil([this] { return gone_.size() == 1; }));
  CHECK(gone_[0] == requests_[0]);
  // Too late; nobody is there.
  listener_->Respond(requests_[0], 200, {}, "late");
}

TEST(HttpListener, AnswerOfAnEarlierRequestIsDropped) {
  caller_.Send(std::string(kGet) + std::string(kGet));
  Await(1);
  listener_->Respond(requests_[0], 200, {}, "one");
  Await(2);
  listener_->Respond(requests_[0], 200, {}, "again");
  listener_->Respond(requests_[1], 200, {}, "two");
  CHECK(Receives("two"));
  CHECK(caller_.Received().find("again") == std::string::npos);
}

TEST(HttpListener, StreamThatIsAbortedDoesNotLookComplete) {
  caller_.Send(kGet);
  Await(1);
  listener_->SendHead(requests_[0], 200, "OK", {}, std::nullopt);
  listener_->SendBody(requests_[0], "part");
  CHECK(RunUntil(
      [&] { return caller_.Received().find("part") != std::string::npos; }));
  listener_->Abort(requests_[0]);
  CHECK(RunUntil([this] { return caller_.Ended(); }));
  CHECK_FALSE(caller_.Received().ends_with(kLastChunk));
}

// Its caller takes no chunks: an orderly end is all that marks a whole stream.
TEST(HttpListener, StreamWithoutChunksThatIsAbortedDoesNotLookComplete) {
  BeginStreamWithoutChunks(4);
  listener_->Abort(requests_[0]);
  CHECK(RunUntil([this] { return caller_.Ended(); }));
  CHECK_TRUE(caller_.was_reset());
}

TEST(HttpListener, StreamWithoutChunksThatIsAbortedUnsentDoesNotLookComplete) {
  BeginStreamWithoutChunks(kMoreThanTheKernelTakes);
  listener_->Abort(requests_[0]);
  CHECK(RunUntil([this] { return caller_.Ended(); }));
  CHECK_TRUE(caller_.was_reset());
}

TEST(HttpListener, StreamWithoutChunksDoesNotLookCompleteWhenTheProcessEnds) {
  BeginStreamWithoutChunks(4);
  listener_.reset();
  CHECK(RunUntil([this] { return caller_.Ended(); }));
  CHECK_TRUE(caller_.was_reset());
}

TEST(HttpListener, StreamWithoutChunksOfWhichAPartIsUnsentDoesNotLookComplete) {
  BeginStreamWithoutChunks(kMoreThanTheKernelTakes);
  listener_->Finish(requests_[0]);
  listener_.reset();
  CHECK(RunUntil([this] { return caller_.Ended(); }));
  CHECK_TRUE(caller_.was_reset());
}

TEST(HttpListener, StreamWithoutChunksEndsInOrder) {
  BeginStreamWithoutChunks(4);
  listener_->Finish(requests_[0]);
  CHECK(RunUntil([this] { return caller_.Ended(); }));
  CHECK_FALSE(caller_.was_reset());
  CHECK(caller_.Received().ends_with("\r\n\r\npppp"));
}

TEST(HttpListener, StreamEndsWithItsLastChunk) {
  caller_.Send(kGet);
  Await(1);
  listener_->SendHead(requests_[0], 200, "OK", {}, std::nullopt);
  listener_->SendBody(requests_[0], "part");
  listener_->Finish(requests_[0]);
  CHECK(Receives(kLastChunk));
}

TEST(HttpListener, StoppingClosesAfterTheResponseThatIsDue) {
  caller_.Send(kGet);
  Await(1);
  listener_->SetKeeping(false);
  listener_->CloseIdle();
  listener_->Respond(requests_[0], 200, {}, "last");
  CHECK(RunUntil([this] { return caller_.Ended(); }));
  CHECK(caller_.Received().find("Connection: close") != std::string::npos);
  CHECK(caller_.Received().ends_with("last"));
}

TEST(HttpListener, ConnectionsAreKeptAgainOnceTheyMayBe) {
  caller_.Send(std::string(kGet) + std::string(kGet));
  Await(1);
  listener_->SetKeeping(false);
  listener_->SetKeeping(true);
  listener_->Respond(requests_[0], 200, {}, "one");
  Await(2);
  CHECK(caller_.Received().find("Connection: close") == std::string::npos);
}

TEST(HttpListener, IdleConnectionIsClosedWhenStopping) {
  CHECK(RunUntil([this] { return listener_->connection_count() == 1; }));
  listener_->CloseIdle();
  CHECK(RunUntil([this] { return caller_.Ended(); }));
}

// Answered from within, each request would otherwise be parsed inside of the
// one before it.
TEST(HttpListener, ManyRequestsAnsweredAtOnceNeedNoDeepStack) {
  HttpListener::Handlers handlers;
  std::size_t answered = 0;
  handlers.on_request = [&](const CallerRequestId& id, RequestHead&,
                            std::string&) {
    ++answered;
    listener_->Respond(id, 200, {}, "");
  };
  listener_.reset();
  listener_ = std::move(
      HttpListener::Listen({"127.0.0.1", 0}, std::move(handlers)).value());
  RawPeer caller;
  caller.Connect(listener_->endpoint().port);
  constexpr std::size_t requests = 20'000;
  std::string bytes;
  for (std::size_t i = 0; i < requests; ++i)
    bytes += "GET / HTTP/1.1\r\n\r\n";
  std::size_t sent = 0;
  CHECK(RunUntil([&] {
    sent += caller.SendSome(std::string_view(bytes).substr(sent));
    caller.Received();
    return answered == requests;
  }));
}

TEST(HttpListener, ResponseThatIsCompleteReachesACallerThatClosedItsSide) {
  const std::string body(8 << 20, 'b');
  caller_.Send(kGet);
  Await(1);
  listener_->Respond(requests_[0], 200, {}, body);
  caller_.CloseSending();
  CHECK(RunUntil([&] { return caller_.Received().size() > body.size(); }));
  CHECK(gone_.empty());
}

TEST(HttpListener, CallerThatReadsOnIsToldOfAsDrained) {
  HttpListener::Handlers handlers;
  std::optional<CallerRequestId> request;
  std::size_t drained = 0;
  handlers.on_request = [&](const CallerRequestId& id, RequestHead&,
                            std::string&) { request = id; };
  handlers.on_drained = [&](const CallerRequestId&) { ++drained; };
  listener_ = std::move(
      HttpListener::Listen({"127.0.0.1", 0}, std::move(handlers)).value());
  RawPeer caller;
  caller.Connect(listener_->endpoint().port);
  caller.Send(kGet);
  CHECK(RunUntil([&] { return request.has_value(); }));
  listener_->SendHead(*request, 200, "OK", {}, std::nullopt);
  listener_->SendBody(*request, std::string(8 << 20, 'b'));
  CHECK(listener_->WaitingBytes(*request) > 0);
  LONGS_EQUAL(0, drained);
  CHECK(RunUntil([&] {
    caller.Received();
    return drained == 1;
  }));
  LONGS_EQUAL(0, listener_->WaitingBytes(*request));
}

TEST(HttpListener, ConnectionsBeyondTheirNumberAreRefused) {
  caller_.Send(kGet);
  Await(1);
  listener_->SetMaxConnections(1);
  RawPeer second;
  second.Connect(port_);
  CHECK(RunUntil([&] { return second.Ended(); }));
  CHECK(second.Received().starts_with("HTTP/1.1 503"));
  CHECK(!caller_.Ended());
}

// Guards against callers that hold connections without a request and so keep
// others out.
TEST(HttpListener, IdleConnectionMakesRoomForAnother) {
  CHECK(RunUntil([this] { return listener_->connection_count() == 1; }));
  listener_->SetMaxConnections(1);
  RawPeer second;
  second.Connect(port_);
  second.Send(kGet);
  Await(1);
  CHECK(RunUntil([this] { return caller_.Ended(); }));
}

TEST(HttpListener, BytesThatAreNoRequestAreRefused) {
  caller_.Send("nonsense\r\n\r\n");
  CHECK(RunUntil([this] { return caller_.Ended(); }));
  CHECK(caller_.Received().starts_with("HTTP/1.1 400"));
  CHECK(requests_.empty());
}

}  // namespace briarlead
