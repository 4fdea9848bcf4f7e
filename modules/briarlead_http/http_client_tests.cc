#include <memory>
#include <string>
#include <vector>

#include "briarlead_http/briarlead_http.h"
#include "briarlead_http/loop_driver_for_tests.h"
#include "briarlead_http/raw_socket_for_tests.h"
#include "briarlead_wire/broken_responses_for_tests.h"

// After the standard headers: it redefines operator new.
#include <CppUTest/TestHarness.h>

namespace briarlead {

namespace {

constexpr std::string_view kKeptAliveAnswer =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

struct CallRecord {
  int status = 0;
  std::string body;
  int done = 0;
  HttpCallEnd end;
};

}  // namespace

TEST_GROUP(HttpClient) {
  std::unique_ptr<RawListener> listener_;
  std::unique_ptr<HttpClient> client_;

  void setup() override {
    listener_ = std::make_unique<RawListener>();
    client_ = std::make_unique<HttpClient>();
  }

  void teardown() override {
    client_.reset();
    listener_.reset();
    RunPending();
  }

  HttpRequest Post() {
    return {.endpoint = listener_->endpoint(),
            .method = "POST",
            .path = "/x",
            .body = "b"};
  }

  HttpRequest Get() {
    return {.endpoint = listener_->endpoint()};
  }

  std::unique_ptr<HttpCall> Send(HttpRequest request, CallRecord & record) {
    return client_->Send(
        std::move(request),
        {.on_head = [&record](int status,
                              const HeaderFields&) { record.status = status; },
         .on_data = [&record](std::string_view data) { record.body += data; },
         .on_done =
             [&record](const HttpCallEnd& end) {
               ++record.done;
               record.end = end;
             }});
  }

  std::unique_ptr<RawSocket> Accept() {
    std::unique_ptr<RawSocket> socket;
    CHECK_TRUE(RunUntil([&] {
      socket = listener_->Accept();
      return socket != nullptr;
    }));
    return socket;
  }

  void AwaitRequest(RawSocket & socket) {
    CHECK_TRUE(RunUntil([&] {
      return socket.Receive().find("\r\n\r\n") != std::string::npos;
    }));
  }

  /// Runs one call to its end and returns the connection, kept alive.
  std::unique_ptr<RawSocket> WarmUp() {
    CallRecord record;
    const auto call = Send(Get(), record);
    auto socket = Accept();
    AwaitRequest(*socket);
    socket->Forget();
    socket->Send(kKeptAliveAnswer);
    CHECK_TRUE(RunUntil([&] { return record.done == 1; }));
    CHECK_TRUE(record.end.ok());
    RunPending();
    return socket;
  }
};

TEST(HttpClient, ReusesAConnectionForIdempotentMethods) {
  const auto socket = WarmUp();
  CallRecord record;
  const auto call = Send(Get(), record);
  AwaitRequest(*socket);
  socket->Send(kKeptAliveAnswer);
  CHECK_TRUE(RunUntil([&] { return record.done == 1; }));
  STRCMP_EQUAL("ok", record.body.c_str());
  CHECK_TRUE(listener_->Accept() == nullptr);
}

// A server that closes a kept-alive connection under a POST would leave it in
// doubt whether it was run.
TEST(HttpClient, PostsAndNewConnectionsLeaveKeptAliveOnesAlone) {
  const auto kept = WarmUp();
  HttpRequest fresh = Get();
  fresh.new_connection = true;
  for (const HttpRequest& request : {Post(), fresh}) {
    CallRecord record;
    const auto call = Send(request, record);
    const auto socket = Accept();
    AwaitRequest(*socket);
    socket->Send(kKeptAliveAnswer);
    CHECK_TRUE(RunUntil([&] { return record.done == 1; }));
    CHECK_TRUE(record.end.ok());
    STRCMP_EQUAL("", kept->Receive().c_str());
  }
}

TEST(HttpClient, NeverSendsARequestTwice) {
  const auto socket = WarmUp();
  CallRecord record;
  const auto call = Send(Get(), record);
  AwaitRequest(*socket);
  socket->Close();
  CHECK_TRUE(RunUntil([&] { return record.done == 1; }));
  CHECK_FALSE(record.end.ok());
  CHECK_TRUE(record.end.request_may_have_left);
  RunPending();
  CHECK_TRUE(listener_->Accept() == nullptr);
}

TEST(HttpClient, ConnectionThatWasClosedWhileUnusedIsNotReused) {
  WarmUp()->Close();
  CallRecord record;
  const auto call = Send(Get(), record);
  const auto socket = Accept();
  AwaitRequest(*socket);
  socket->Send(kKeptAliveAnswer);
  CHECK_TRUE(RunUntil([&] { return record.done == 1; }));
  CHECK_TRUE(record.end.ok());
}

TEST(HttpClient, CutResponsesAreErrors) {
  for (const char* answer :
       {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
        "HTTP/1.1 200", "nonsense\r\n\r\n", ""}) {
    CallRecord record;
    const auto call = Send(Post(), record);
    const auto socket = Accept();
    AwaitRequest(*socket);
    socket->Send(answer);
    socket->Close();
    CHECK_TRUE(RunUntil([&] { return record.done == 1; }));
    CHECK_FALSE_TEXT(record.end.ok(), answer);
    CHECK_TRUE(record.end.request_may_have_left);
  }
}

// Guards the checks of servers, calls to engines and the plain services behind
// the OpenAI-style interface.
TEST(HttpClient, BrokenResponsesAreErrors) {
  for (const BrokenResponse& it : AllBrokenResponses()) {
    CallRecord record;
    const auto call = Send(Post(), record);
    const auto socket = Accept();
    AwaitRequest(*socket);
    socket->Send(it.bytes);
    CHECK_TRUE(RunUntil([&] { return record.done == 1; }));
    CHECK_FALSE_TEXT(record.end.ok(), it.name.c_str());
    CHECK_TRUE(record.end.request_may_have_left);
    LONGS_EQUAL_TEXT(0, record.status, it.name.c_str());
    STRCMP_EQUAL("", record.body.c_str());
  }
}

TEST(HttpClient, WholeChunkedResponseMayEndWithItsConnection) {
  CallRecord record;
  const auto call = Send(Post(), record);
  const auto socket = Accept();
  AwaitRequest(*socket);
  socket->Send(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "2\r\nab\r\n0\r\n\r\n");
  socket->Close();
  CHECK_TRUE(RunUntil([&] { return record.done == 1; }));
  CHECK_TRUE(record.end.ok());
  STRCMP_EQUAL("ab", record.body.c_str());
}

TEST(HttpClient, FirstByteTimeoutClosesTheConnection) {
  CallRecord record;
  HttpRequest request = Post();
  request.first_byte_timeout = std::chrono::milliseconds(20);
  const auto call = Send(std::move(request), record);
  const auto socket = Accept();
  CHECK_TRUE(RunUntil([&] { return record.done == 1; }));
  CHECK_TRUE(record.end.error->code == ErrorCode::kTimedOut);
  CHECK_TRUE(record.end.request_may_have_left);
  CHECK_TRUE(RunUntil([&] { return socket->ClosedByPeer(); }));
}

TEST(HttpClient, DestroyingACallClosesItsConnection) {
  for (const bool in_body : {false, true}) {
    CallRecord record;
    auto call = Send(Post(), record);
    const auto socket = Accept();
    AwaitRequest(*socket);
    if (in_body) {
      socket->Send("HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nab");
      CHECK_TRUE(RunUntil([&] { return record.body == "ab"; }));
    }
    call.reset();
    CHECK_TRUE(RunUntil([&] { return socket->ClosedByPeer(); }));
    LONGS_EQUAL(0, record.done);
    LONGS_EQUAL(0, client_->active_calls());
  }
}

TEST(HttpClient, CallMayBeDestroyedByEachOfItsCallbacks) {
  for (const char* at : {"head", "data", "done"}) {
    std::unique_ptr<HttpCall> call;
    int calls = 0;
    const auto drop_at = [&](std::string_view place) {
      if (place != at)
        return;
      ++calls;
      call.reset();
    };
    call = client_->Send(
        Post(), {.on_head = [&](int, const HeaderFields&) { drop_at("head"); },
                 .on_data = [&](std::string_view) { drop_at("data"); },
                 .on_done = [&](const HttpCallEnd&) { drop_at("done"); }});
    const auto socket = Accept();
    AwaitRequest(*socket);
    socket->Send(
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok");
    CHECK_TRUE(RunUntil([&] { return calls == 1; }));
    CHECK_TRUE(RunUntil([&] { return socket->ClosedByPeer(); }));
  }
}

TEST(HttpClient, ManyCallsToOneServerRunAtOnce) {
  constexpr std::size_t count = 200;
  std::vector<CallRecord> records(count);
  std::vector<std::unique_ptr<HttpCall>> calls;
  calls.reserve(count);
  for (CallRecord& it : records)
    calls.push_back(Send(Post(), it));
  std::vector<std::unique_ptr<RawSocket>> sockets;
  CHECK_TRUE(RunUntil([&] {
    while (auto socket = listener_->Accept())
      sockets.push_back(std::move(socket));
    return sockets.size() == count;
  }));
}

TEST(HttpClient, PausedCallReadsNothing) {
  CallRecord record;
  const auto call = Send(Post(), record);
  const auto socket = Accept();
  AwaitRequest(*socket);
  socket->Send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab");
  CHECK_TRUE(RunUntil([&] { return record.body == "ab"; }));
  call->PauseReading();
  socket->Send("cd");
  RunPending();
  STRCMP_EQUAL("ab", record.body.c_str());
  call->ResumeReading();
  CHECK_TRUE(RunUntil([&] { return record.done == 1; }));
  STRCMP_EQUAL("abcd", record.body.c_str());
}

TEST(HttpClient, FollowsNoRedirectAndGivesNoPassword) {
  for (const int status : {302, 401}) {
    CallRecord record;
    const auto call = Send(Post(), record);
    const auto socket = Accept();
    AwaitRequest(*socket);
    socket->Send("HTTP/1.1 " + std::to_string(status) +
                 " X\r\nLocation: /y\r\nWWW-Authenticate: Basic realm=a\r\n"
                 "Content-Length: 0\r\nConnection: close\r\n\r\n");
    CHECK_TRUE(RunUntil([&] { return record.done == 1; }));
    LONGS_EQUAL(status, record.status);
    CHECK_TRUE(record.end.ok());
  }
}

TEST(HttpClient, BadPathIsReportedByOnDone) {
  CallRecord record;
  HttpRequest request = Post();
  request.endpoint.address = "not an address";
  const auto call = Send(std::move(request), record);
  LONGS_EQUAL(0, record.done);
  CHECK_TRUE(RunUntil([&] { return record.done == 1; }));
  CHECK_FALSE(record.end.request_may_have_left);
}

}  // namespace briarlead
