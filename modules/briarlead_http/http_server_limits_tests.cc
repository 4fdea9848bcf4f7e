#include <memory>
#include <string>
#include <vector>

#include "briarlead_core/random_source.h"
#include "briarlead_http/briarlead_http.h"
#include "briarlead_http/loop_driver_for_tests.h"
#include "briarlead_http/raw_socket_for_tests.h"

// After the standard headers: it redefines operator new.
#include <CppUTest/TestHarness.h>

namespace briarlead {

namespace {

constexpr std::string_view kGet = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";
constexpr std::size_t kMaxBody = 1000;

HttpServerOptions SmallLimits() {
  return {.max_body_bytes = kMaxBody, .max_header_bytes = 2000};
}

}  // namespace

TEST_GROUP(HttpServerLimits) {
  std::vector<std::shared_ptr<HttpExchange>> exchanges_;
  std::unique_ptr<HttpServer> server_;

  void teardown() override {
    exchanges_.clear();
    server_.reset();
    RunPending();
  }

  void Listen(const HttpServerOptions& options) {
    auto server = HttpServer::Listen(
        {"127.0.0.1", 0}, options, [this](std::shared_ptr<HttpExchange> it) {
          if (it->path() == "/now")
            it->Respond({.content_type = "text/plain", .body = "now"});
          else
            exchanges_.push_back(std::move(it));
        });
    CHECK_TRUE(server.has_value());
    server_ = std::move(server.value());
  }

  std::unique_ptr<RawSocket> Connect() {
    return RawSocket::Connect(server_->endpoint());
  }

  void CheckReceives(RawSocket & caller, const char* text) {
    const bool received = RunUntil(
        [&] { return caller.Receive().find(text) != std::string::npos; });
    CHECK_TRUE_TEXT(received, caller.Receive().c_str());
  }

  void CheckStillServes() {
    const auto caller = Connect();
    caller->Send("GET /now HTTP/1.1\r\nHost: a\r\n\r\n");
    CheckReceives(*caller, "\r\n\r\nnow");
  }
};

TEST(HttpServerLimits, LongDeclaredBodyIsRefused) {
  Listen(SmallLimits());
  const auto caller = Connect();
  caller->Send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n\r\n");
  CheckReceives(*caller, "HTTP/1.1 413 ");
  CheckReceives(*caller, "\"execution\":\"not_run\"");
  CHECK_TRUE(RunUntil([&] { return caller->ClosedByPeer(); }));
  caller->Send(std::string(1001, 'x'));
  CheckStillServes();
  LONGS_EQUAL(0, exchanges_.size());
}

TEST(HttpServerLimits, LongChunkedBodyIsRefused) {
  Listen(SmallLimits());
  const auto caller = Connect();
  caller->Send(
      "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (int i = 0; i < 11; ++i)
    caller->Send("64\r\n" + std::string(100, 'x') + "\r\n");
  CheckReceives(*caller, "HTTP/1.1 413 ");
  caller->Send("0\r\n\r\n");
  CheckStillServes();
  caller->Close();
  CHECK_TRUE(RunUntil([&] { return server_->active_exchanges() == 0; }));
  LONGS_EQUAL(0, exchanges_.size());
}

TEST(HttpServerLimits, BodyAtTheLimitIsTaken) {
  Listen(SmallLimits());
  const auto caller = Connect();
  caller->Send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n" +
               std::string(kMaxBody, 'x'));
  CHECK_TRUE(RunUntil([&] { return exchanges_.size() == 1; }));
  LONGS_EQUAL(kMaxBody, exchanges_[0]->body().size());
}

TEST(HttpServerLimits, LongHeadersAreRefused) {
  Listen(SmallLimits());
  const auto caller = Connect();
  caller->Send("GET /x HTTP/1.1\r\nHost: a\r\nX-Long: " +
               std::string(2000, 'x') + "\r\n\r\n");
  CheckReceives(*caller, "HTTP/1.1 431 ");
  CHECK_TRUE(RunUntil([&] { return caller->ClosedByPeer(); }));
  LONGS_EQUAL(0, exchanges_.size());
  CheckStillServes();
}

TEST(HttpServerLimits, MalformedHeadsAreRefused) {
  Listen({});
  for (const char* head :
       {"GET /x HTTP/1.1\r\nno colon\r\n\r\n", "GET /x HTTP/x.y\r\n\r\n",
        "GET /x HTTP/1.1\r\nHost: a/b\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: other\r\n\r\n",
        "GET\r\n\r\n", "\r\n\r\n"}) {
    const auto caller = Connect();
    caller->Send(head);
    CheckReceives(*caller, "\"execution\":\"not_run\"");
    CHECK_TRUE(RunUntil([&] { return caller->ClosedByPeer(); }));
  }
  LONGS_EQUAL(0, exchanges_.size());
  CheckStillServes();
}

TEST(HttpServerLimits, HeadMayComeInPieces) {
  Listen({});
  const auto caller = Connect();
  for (const char it :
       std::string_view("GET /now HTTP/1.1\r\nHost: a\r\n\r\n")) {
    caller->Send(std::string_view(&it, 1));
    RunPending();
  }
  CheckReceives(*caller, "\r\n\r\nnow");
}

TEST(HttpServerLimits, EndlessHeadersAreCutOff) {
  Listen(SmallLimits());
  const auto caller = Connect();
  caller->Send("GET /x HTTP/1.1\r\nHost: a\r\nX-Long: ");
  const bool cut = RunUntil([&] {
    caller->Send(std::string(10000, 'x'));
    return caller->ClosedByPeer();
  });
  CHECK_TRUE(cut);
  CheckStillServes();
}

TEST(HttpServerLimits, SlowRequestsAreCutOff) {
  HttpServerOptions options;
  options.receive_timeout = std::chrono::milliseconds(50);
  Listen(options);
  const auto silent = Connect();
  const auto in_head = Connect();
  in_head->Send("GET /x HT");
  const auto in_body = Connect();
  in_body->Send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nab");
  for (RawSocket* it : {silent.get(), in_head.get(), in_body.get()}) {
    CheckReceives(*it, "HTTP/1.1 408 ");
    CHECK_TRUE(RunUntil([&] { return it->ClosedByPeer(); }));
  }
  CHECK_TRUE(RunUntil([&] { return server_->connections() == 0; }));
  LONGS_EQUAL(0, exchanges_.size());
  LONGS_EQUAL(0, server_->active_exchanges());
}

TEST(HttpServerLimits, WaitingForTheHandlerIsNotCutOff) {
  HttpServerOptions options;
  options.receive_timeout = std::chrono::milliseconds(50);
  Listen(options);
  const auto caller = Connect();
  caller->Send(kGet);
  CHECK_TRUE(RunUntil([&] { return exchanges_.size() == 1; }));
  const auto slow = Connect();
  // Long enough for the sweep to have passed: it cuts off another one.
  CHECK_TRUE(RunUntil([&] { return slow->ClosedByPeer(); }));
  CHECK_FALSE(exchanges_[0]->gone());
  exchanges_[0]->Respond({.content_type = "text/plain", .body = "late"});
  CheckReceives(*caller, "\r\n\r\nlate");
  CHECK_TRUE(RunUntil([&] { return caller->ClosedByPeer(); }));
}

TEST(HttpServerLimits, FurtherConnectionsAreRefused) {
  HttpServerOptions options;
  options.max_connections = 2;
  Listen(options);
  auto first = Connect();
  first->Send(kGet);
  const auto second = Connect();
  second->Send(kGet);
  CHECK_TRUE(RunUntil([&] { return exchanges_.size() == 2; }));
  const auto third = Connect();
  CheckReceives(*third, "HTTP/1.1 503 ");
  CHECK_TRUE(RunUntil([&] { return third->ClosedByPeer(); }));
  first.reset();
  CHECK_TRUE(RunUntil([&] { return server_->connections() == 1; }));
  CheckStillServes();
}

TEST(HttpServerLimits, StopListeningLetsExchangesFinish) {
  Listen({});
  const auto caller = Connect();
  caller->Send(kGet);
  CHECK_TRUE(RunUntil([&] { return exchanges_.size() == 1; }));
  server_->StopListening();
  const auto late = Connect();
  CHECK_TRUE(RunUntil([&] { return late->ClosedByPeer(); }));
  LONGS_EQUAL(1, server_->active_exchanges());
  exchanges_[0]->StartStream(200, {}, "text/plain");
  exchanges_[0]->Write("whole");
  CheckReceives(*caller, "whole");
  exchanges_[0]->FinishStream();
  CheckReceives(*caller, "0\r\n\r\n");
  CheckReceives(*caller, "Connection: close");
  CHECK_TRUE(RunUntil([&] { return caller->ClosedByPeer(); }));
  CHECK_TRUE(RunUntil([&] { return server_->active_exchanges() == 0; }));
}

TEST(HttpServerLimits, DroppedExchangeIsAnsweredWith500) {
  Listen({});
  const auto caller = Connect();
  caller->Send(kGet);
  CHECK_TRUE(RunUntil([&] { return exchanges_.size() == 1; }));
  exchanges_.clear();
  CheckReceives(*caller, "HTTP/1.1 500 ");
}

TEST(HttpServerLimits, DroppedStreamIsCutShort) {
  Listen({});
  const auto caller = Connect();
  caller->Send(kGet);
  CHECK_TRUE(RunUntil([&] { return exchanges_.size() == 1; }));
  exchanges_[0]->StartStream(200, {}, "text/plain");
  exchanges_[0]->Write("begun");
  CheckReceives(*caller, "begun");
  exchanges_.clear();
  CHECK_TRUE(RunUntil([&] { return caller->ClosedByPeer(); }));
  CHECK_TRUE(caller->Receive().find("0\r\n\r\n") == std::string::npos);
}

TEST(HttpServerLimits, HalfClosedCallerGetsAWholeResponseThatHasBegun) {
  Listen({});
  const std::string body(4 << 20, 'b');
  const auto caller = Connect();
  caller->Send(kGet);
  CHECK_TRUE(RunUntil([&] { return exchanges_.size() == 1; }));
  exchanges_[0]->Respond({.content_type = "text/plain", .body = body});
  caller->CloseSending();
  CHECK_TRUE(RunUntil([&] { return caller->Receive().size() > body.size(); }));
}

TEST(HttpServerLimits, HalfClosedCallerThatWaitsCountsAsGone) {
  Listen({});
  const auto caller = Connect();
  caller->Send(kGet);
  CHECK_TRUE(RunUntil([&] { return exchanges_.size() == 1; }));
  caller->CloseSending();
  CHECK_TRUE(RunUntil([&] { return exchanges_[0]->gone(); }));
  int gone = 0;
  exchanges_[0]->SetGoneHandler([&gone] { ++gone; });
  LONGS_EQUAL(0, gone);
  CHECK_TRUE(RunUntil([&] { return gone == 1; }));
  CHECK_TRUE(RunUntil([&] { return server_->connections() == 0; }));
}

TEST(HttpServerLimits, ConnectionCarriesRequestsOneAfterTheOther) {
  Listen({});
  const auto caller = Connect();
  caller->Send(std::string(kGet) + std::string(kGet));
  CHECK_TRUE(RunUntil([&] { return exchanges_.size() == 1; }));
  RunPending();
  LONGS_EQUAL(1, exchanges_.size());
  exchanges_[0]->Respond({.content_type = "text/plain", .body = "first"});
  CHECK_TRUE(RunUntil([&] { return exchanges_.size() == 2; }));
  exchanges_[1]->Respond({.content_type = "text/plain", .body = "second"});
  CheckReceives(*caller, "\r\n\r\nfirstHTTP/1.1 200");
  CheckReceives(*caller, "\r\n\r\nsecond");
  LONGS_EQUAL(1, server_->connections());
  caller->Close();
  CHECK_TRUE(RunUntil([&] { return server_->connections() == 0; }));
}

// The connection itself ends with the response, so nothing may follow on it.
TEST(HttpServerLimits, CallerThatTakesNoChunksGetsAWholeStream) {
  Listen({});
  const auto caller = Connect();
  caller->Send("GET /x HTTP/1.0\r\nHost: a\r\n\r\n");
  CHECK_TRUE(RunUntil([&] { return exchanges_.size() == 1; }));
  exchanges_[0]->StartStream(200, {}, "text/plain");
  exchanges_[0]->Write("one,");
  exchanges_[0]->Write("two");
  exchanges_[0]->FinishStream();
  CHECK_TRUE(RunUntil([&] { return caller->ClosedByPeer(); }));
  CheckReceives(*caller, "\r\n\r\none,two");
  CHECK_TRUE(caller->Receive().find("chunked") == std::string::npos);
}

TEST(HttpServerLimits, CallerThatReadsNothingHoldsUpOnlyItsOwnRequests) {
  Listen({});
  const auto caller = Connect();
  std::string requests;
  for (int i = 0; i < 3000; ++i)
    requests += "GET /now HTTP/1.1\r\nHost: a\r\n\r\n";
  caller->Send(requests);
  for (int i = 0; i < 20; ++i) {
    RunPending();
    CheckStillServes();
  }
}

TEST(HttpServerLimits, ConnectionClosesWhileAnAnsweredExchangeIsHeld) {
  Listen({});
  const auto caller = Connect();
  caller->Send(kGet);
  CHECK_TRUE(RunUntil([&] { return exchanges_.size() == 1; }));
  exchanges_[0]->Respond({.content_type = "text/plain", .body = "answer"});
  CheckReceives(*caller, "answer");
  caller->Close();
  CHECK_TRUE(RunUntil([&] { return server_->connections() == 0; }));
  CHECK_FALSE(exchanges_[0]->gone());
  STRCMP_EQUAL("/x", std::string(exchanges_[0]->path()).c_str());
}

TEST(HttpServerLimits, MutatedRequestsHurtNobodyElse) {
  constexpr int rounds = 300;
  HttpServerOptions options = SmallLimits();
  options.receive_timeout = std::chrono::milliseconds(100);
  Listen(options);
  RandomSource random(3);
  const std::string request =
      "POST /x?y=%20z HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
      "X-Thing: v\r\n\r\n4\r\nabcd\r\n0\r\n\r\n";
  std::vector<std::unique_ptr<RawSocket>> callers;
  for (int i = 0; i < rounds; ++i) {
    std::string bytes = request;
    const std::uint64_t changes = 1 + random.Below(4);
    for (std::uint64_t n = 0; n < changes; ++n)
      bytes[random.Below(bytes.size())] = static_cast<char>(random.Below(256));
    bytes.resize(1 + random.Below(bytes.size()));
    callers.push_back(Connect());
    callers.back()->Send(bytes);
    if (i % 50 == 0)
      CheckStillServes();
  }
  CheckStillServes();
  exchanges_.clear();
  callers.clear();
  CHECK_TRUE(RunUntil([&] {
    exchanges_.clear();
    return server_->connections() == 0 && server_->active_exchanges() == 0;
  }));
}

}  // namespace briarlead
