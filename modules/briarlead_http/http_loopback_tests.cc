#include <cstring>
#include <string>
#include <vector>

#include "briarlead_http/briarlead_http.h"
#include "briarlead_http/loop_driver_for_tests.h"

// After the standard headers: it redefines operator new.
#include <CppUTest/TestHarness.h>

namespace briarlead {

namespace {

/// What one call reported.
struct CallRecord {
  int status = 0;
  HeaderFields headers;
  std::string body;
  int done = 0;
  HttpCallEnd end;
};

}  // namespace

TEST_GROUP(HttpLoopback) {
  std::vector<std::shared_ptr<HttpExchange>> exchanges_;
  std::unique_ptr<HttpServer> server_;
  std::unique_ptr<HttpClient> client_;

  void setup() override {
    client_ = std::make_unique<HttpClient>();
    Listen({});
  }

  void teardown() override {
    exchanges_.clear();
    client_.reset();
    server_.reset();
    RunPending();
  }

  void Listen(const HttpServerOptions& options) {
    auto server = HttpServer::Listen({"127.0.0.1", 0}, options,
                                     [this](std::shared_ptr<HttpExchange> it) {
                                       exchanges_.push_back(std::move(it));
                                     });
    CHECK_TRUE(server.has_value());
    server_ = std::move(server.value());
  }

  std::unique_ptr<HttpCall> Send(HttpRequest request, CallRecord & record) {
    request.endpoint = server_->endpoint();
    return client_->Send(
        std::move(request),
        {.on_head =
             [&record](int status, const HeaderFields& headers) {
               record.status = status;
               record.headers = headers;
             },
         .on_data = [&record](std::string_view data) { record.body += data; },
         .on_done =
             [&record](const HttpCallEnd& end) {
               ++record.done;
               record.end = end;
             }});
  }

  HttpExchange& WaitForExchange(std::size_t n) {
    CHECK_TRUE(RunUntil([&] { return exchanges_.size() >= n; }));
    return *exchanges_[n - 1];
  }
};

TEST(HttpLoopback, AnswersAWholeRequest) {
  CallRecord record;
  const auto call = Send({.method = "POST",
                          .path = "/a/b%20c?x=1",
                          .headers = {{"X-Thing", "value"}},
                          .body = "hello"},
                         record);
  HttpExchange& exchange = WaitForExchange(1);
  STRCMP_EQUAL("POST", std::string(exchange.method()).c_str());
  STRCMP_EQUAL("/a/b%20c", std::string(exchange.path()).c_str());
  STRCMP_EQUAL("x=1", std::string(exchange.query()).c_str());
  STRCMP_EQUAL("hello", std::string(exchange.body()).c_str());
  CHECK_TRUE(exchange.Header("x-thing") == "value");
  LONGS_EQUAL(1, server_->active_exchanges());
  exchange.Respond({.status = 201,
                    .headers = {{"X-Back", "yes"}, {"X-Bad", "a\r\nB: c"}},
                    .content_type = "text/plain",
                    .body = "there"});
  CHECK_TRUE(RunUntil([&] { return record.done == 1; }));
  CHECK_TRUE(record.end.ok());
  LONGS_EQUAL(201, record.status);
  STRCMP_EQUAL("there", record.body.c_str());
  CHECK_TRUE(record.headers.Find("x-back") == "yes");
  CHECK_FALSE(record.headers.Find("x-bad").has_value());
  CHECK_TRUE(RunUntil([&] { return server_->active_exchanges() == 0; }));
  CHECK_FALSE(exchange.gone());
}

TEST(HttpLoopback, StreamsInOrder) {
  CallRecord record;
  const auto call = Send({}, record);
  HttpExchange& exchange = WaitForExchange(1);
  exchange.StartStream(200, {}, "text/event-stream");
  CHECK_TRUE(RunUntil([&] { return record.status == 200; }));
  exchange.Write("a");
  CHECK_TRUE(RunUntil([&] { return record.body == "a"; }));
  for (int i = 0; i < 100; ++i)
    exchange.Write("b");
  exchange.FinishStream();
  CHECK_TRUE(RunUntil([&] { return record.done == 1; }));
  STRCMP_EQUAL(("a" + std::string(100, 'b')).c_str(), record.body.c_str());
  CHECK_TRUE(record.end.ok());
}

TEST(HttpLoopback, TellsThatACallerHasGoneWhileNothingIsWritten) {
  for (const bool streaming : {false, true}) {
    CallRecord record;
    auto call = Send({.method = "POST", .body = "x"}, record);
    HttpExchange& exchange = WaitForExchange(streaming ? 2 : 1);
    int gone = 0;
    exchange.SetGoneHandler([&gone] { ++gone; });
    if (streaming) {
      exchange.StartStream(200, {}, "text/event-stream");
      exchange.Write("a");
      CHECK_TRUE(RunUntil([&] { return record.body == "a"; }));
    }
    call.reset();
    CHECK_TRUE(RunUntil([&] { return gone == 1; }));
    exchange.Respond({});
    exchange.Write("late");
    CHECK_TRUE(RunUntil([&] { return server_->active_exchanges() == 0; }));
    CHECK_TRUE(RunUntil([&] { return server_->connections() == 0; }));
    LONGS_EQUAL(1, gone);
    LONGS_EQUAL(0, record.done);
  }
}

TEST(HttpLoopback, BusyPortIsOneError) {
  const auto second =
      HttpServer::Listen(server_->endpoint(), {}, [](const auto&) {});
  CHECK_FALSE(second.has_value());
  CHECK_TRUE(second.error().code == ErrorCode::kUnavailable);
  STRCMP_CONTAINS("127.0.0.1", second.error().message.c_str());
}

TEST(HttpLoopback, RefusedConnectionHasNotLeft) {
  CallRecord record;
  const Endpoint endpoint = server_->endpoint();
  server_.reset();
  const auto call =
      client_->Send({.endpoint = endpoint, .method = "POST", .body = "x"},
                    {.on_done = [&record](const HttpCallEnd& end) {
                      ++record.done;
                      record.end = end;
                    }});
  CHECK_TRUE(RunUntil([&] { return record.done == 1; }));
  CHECK_FALSE(record.end.ok());
  CHECK_FALSE(record.end.request_may_have_left);
  CHECK_TRUE(record.end.error->code == ErrorCode::kUnavailable);
}

}  // namespace briarlead
