#include "briarlead_wire/message_parser.h"

#include <string>

// After everything that uses the global operator new.
#include <CppUTest/TestHarness.h>

namespace briarlead {

namespace {

/// Feeds `bytes` in pieces of `step` as a socket would; returns what was left.
template <typename Parser>
std::string FeedInPieces(Parser& parser,
                         std::string_view bytes,
                         std::size_t step) {
  std::string unread;
  while (!bytes.empty() && parser.state() != ParseState::kComplete) {
    unread += bytes.substr(0, step);
    bytes.remove_prefix(std::min(step, bytes.size()));
    unread.erase(0, parser.Feed(unread));
  }
  return unread + std::string(bytes);
}

constexpr std::string_view kPost =
    "POST /a/b?c HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello";
constexpr std::string_view kChunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX: y\r\n\r\n"
    "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
constexpr std::string_view kChunkedBeforeTrailer =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX: y\r\n\r\n"
    "3\r\nabc\r\n0\r\n";

}  // namespace

TEST_GROUP(RequestParser){};

TEST(RequestParser, ReadsARequestHoweverItIsCut) {
  for (std::size_t step = 1; step <= kPost.size(); ++step) {
    RequestParser parser({});
    CHECK(FeedInPieces(parser, kPost, step).empty());
    CHECK(parser.state() == ParseState::kComplete);
    CHECK(parser.head().method == "POST");
    CHECK(parser.head().target == "/a/b?c");
    CHECK(parser.head().path() == "/a/b");
    CHECK(parser.head().fields.Find("host") == "h");
    CHECK(parser.body() == "hello");
  }
}

TEST(RequestParser, LeavesTheNextRequestAlone) {
  RequestParser parser({});
  const std::string two = std::string(kPost) + "GET /next HTTP/1.1\r\n\r\n";
  CHECK(FeedInPieces(parser, two, two.size()) == "GET /next HTTP/1.1\r\n\r\n");
}

TEST(RequestParser, LengthAndChunksTogetherAreRefused) {
  RequestParser parser({});
  FeedInPieces(parser,
               "POST / HTTP/1.1\r\nContent-Length: 4\r\n"
               "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /x HTTP/1.1\r\n",
               500);
  CHECK(parser.state() == ParseState::kInvalid);
}

TEST(RequestParser, BytesThatAreNoRequestAreRefused) {
  for (const char* text :
       {"\x16\x03\x01 tls", "GET / HTTP/1.1\r\nbad line\r\n\r\n",
        "GET / HTTP/9.1\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: 5x\r\n\r\n"}) {
    RequestParser parser({});
    FeedInPieces(parser, text, 500);
    CHECK(parser.state() == ParseState::kInvalid);
  }
}

// However they are cut: else a caller waits for an answer to what is no
// request.
TEST(RequestParser, BareLineFeedInTheHeadIsRefusedAtOnce) {
  for (const char* text :
       {"GET /x HTTP/1.1\nHost: h\n\n", "GET /x HTTP/1.1\r\nHost: h\nA: b\r\n",
        "GET /x HTTP/1.1\r\nHost: h\r\n\n"}) {
    for (const std::size_t step : {500, 1}) {
      RequestParser parser({});
      FeedInPieces(parser, text, step);
      CHECK_TRUE_TEXT(parser.state() == ParseState::kInvalid, text);
    }
  }
}

// Guards against a verdict that depends on how the bytes are cut: a request
// that a caller sends slowly, and never ends, held its place until its
// deadline.
TEST(RequestParser, BrokenLineIsRefusedWithoutTheRestOfTheHead) {
  const std::string line = "GET / HTTP/1.1\r\n";
  for (const std::string& it :
       {std::string("\x16\x03\x01"), std::string("GE(T"),
        std::string("GET / HTTP/1.7\r\n"), std::string("GET /\r\nHost: h\r\n"),
        line + "Bad Name: x\r\nHost: h\r\n", line + ": x\r\nHost: h\r\n",
        line + "Content-Length: x\r\nHost: h\r\n"}) {
    for (std::size_t step = 1; step <= it.size(); ++step) {
      RequestParser parser({});
      FeedInPieces(parser, it, step);
      CHECK_TRUE_TEXT(parser.state() == ParseState::kInvalid, it.c_str());
    }
  }
}

TEST(RequestParser, LimitsAreKept) {
  RequestParser heads({100, 10});
  FeedInPieces(heads, "GET / HTTP/1.1\r\nA: " + std::string(200, 'a'), 50);
  CHECK(heads.state() == ParseState::kHeadTooLarge);
  RequestParser bodies({1000, 4});
  FeedInPieces(bodies, kPost, 500);
  CHECK(bodies.state() == ParseState::kBodyTooLarge);
}

// Such a request could be read as two by another reader of the same bytes.
// Guards against heads whose short fields take a hundred times their size.
TEST(RequestParser, ManyFieldsAreRefused) {
  const MessageLimits limits;
  std::string head = "GET /x HTTP/1.1\r\nHost: h\r\n";
  for (std::size_t it = 1; it < limits.max_fields; ++it)
    head += "a:\r\n";
  RequestParser as_many_as_allowed(limits);
  as_many_as_allowed.Feed(head + "\r\n");
  CHECK(as_many_as_allowed.state() == ParseState::kComplete);
  RequestParser one_more(limits);
  one_more.Feed(head + "a:\r\n\r\n");
  CHECK(one_more.state() == ParseState::kHeadTooLarge);
}

TEST(RequestParser, RefusesWhatCanBeReadInTwoWays) {
  for (const char* fields :
       {"Transfer-Encoding: other\r\n", "Transfer-Encoding: chunked, gzip\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
        "Content-Length: 3\r\nContent-Length: 4\r\n", "Host: a\r\nHost: b\r\n",
        "Host: a/b\r\n", "Host: user@a\r\n"}) {
    RequestParser parser({});
    parser.Feed("POST /x HTTP/1.1\r\n" + std::string(fields) + "\r\n0\r\n\r\n");
    CHECK_TRUE_TEXT(parser.state() == ParseState::kInvalid, fields);
  }
}

// They would come behind the checks of the head.
TEST(RequestParser, TrailerFieldsAreNoFieldsOfTheHead) {
  const std::string text =
      "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n0\r\nHost: other\r\nAuthorization: Bearer k\r\n\r\n";
  for (std::size_t step = 1; step <= text.size(); ++step) {
    RequestParser parser({});
    CHECK(FeedInPieces(parser, text, step).empty());
    CHECK(parser.state() == ParseState::kComplete);
    CHECK(parser.body() == "abc");
    LONGS_EQUAL(2, parser.head().fields.items().size());
    CHECK(parser.head().fields.Find("Host") == "h");
  }
}

TEST(RequestParser, OldVersionTakesNoChunks) {
  RequestParser parser({});
  parser.Feed("GET /x?a=1 HTTP/1.0\r\n\r\n");
  CHECK(parser.state() == ParseState::kComplete);
  CHECK_FALSE(parser.head().takes_chunks);
  CHECK_FALSE(parser.head().keeps_connection);
  CHECK(parser.head().query() == "a=1");
}

TEST_GROUP(ResponseParser){};

TEST(ResponseParser, AnswerToHeadHasNoBody) {
  ResponseParser parser({}, ResponseBody::kNone);
  parser.Feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
  CHECK(parser.state() == ParseState::kComplete);
  CHECK(parser.head().content_length == 5U);
}

TEST(ResponseParser, ReadsChunksHoweverTheyAreCut) {
  for (std::size_t step = 1; step <= kChunked.size(); ++step) {
    ResponseParser parser({});
    CHECK(FeedInPieces(parser, kChunked, step).empty());
    CHECK(parser.state() == ParseState::kComplete);
    CHECK(parser.TakeBody() == "abcde");
    CHECK(parser.head().keeps_connection);
  }
}

// They came into the head or not, as the bytes were cut.
TEST(ResponseParser, TrailerFieldsAreNoFieldsOfTheHead) {
  const std::string text =
      std::string(kChunkedBeforeTrailer) + "X: z\r\nLeaving: 1\r\n\r\n";
  for (std::size_t step = 1; step <= text.size(); ++step) {
    ResponseParser parser({});
    CHECK(FeedInPieces(parser, text, step).empty());
    CHECK(parser.state() == ParseState::kComplete);
    CHECK(parser.TakeBody() == "abc");
    LONGS_EQUAL(2, parser.head().fields.items().size());
    CHECK(parser.head().fields.Find("X") == "y");
  }
}

TEST(ResponseParser, TrailerFieldsCountAsFields) {
  ResponseParser parser({.max_fields = 3});
  const std::string text =
      std::string(kChunkedBeforeTrailer) + "A: 1\r\nB: 2\r\n\r\n";
  FeedInPieces(parser, text, 500);
  CHECK(parser.state() == ParseState::kHeadTooLarge);
}

TEST(ResponseParser, TrailerFieldWithoutANameIsInvalid) {
  for (const char* trailer :
       {"A B: 1\r\n\r\n", "A\x01: 1\r\n\r\n", ": 1\r\n\r\n", "A : 1\r\n\r\n"}) {
    ResponseParser parser({});
    FeedInPieces(parser, std::string(kChunkedBeforeTrailer) + trailer, 500);
    CHECK_TEXT(parser.state() == ParseState::kInvalid, trailer);
  }
}

TEST(ResponseParser, BodyWithoutLengthEndsWithItsConnection) {
  ResponseParser parser({});
  FeedInPieces(parser, "HTTP/1.1 200 OK\r\n\r\nabc", 500);
  CHECK(parser.state() == ParseState::kBody);
  parser.FeedEnd();
  CHECK(parser.state() == ParseState::kComplete);
  CHECK(parser.TakeBody() == "abc");
}

// Guards against an end that completes a response of which the head is missing.
TEST(ResponseParser, EndInsideTheHeadCompletesNothing) {
  const std::string_view head = "HTTP/1.1 200 OK\r\nServer: s\r\n\r";
  for (std::size_t size = 0; size <= head.size(); ++size) {
    ResponseParser parser({});
    FeedInPieces(parser, head.substr(0, size), 1);
    parser.FeedEnd();
    CHECK(parser.state() == ParseState::kInvalid);
  }
}

// Guards against heads that are accepted or refused by how they are cut.
TEST(ResponseParser, HeadBeyondTheLimitIsRefusedHoweverItIsCut) {
  const std::string head = "HTTP/1.1 200 OK\r\nA: b\r\nLong: ";
  for (const std::size_t step : {1, 7, 100, 9000}) {
    ResponseParser parser({4096, 100, 256});
    FeedInPieces(parser, head + std::string(5000, 'x'), step);
    CHECK(parser.state() == ParseState::kHeadTooLarge);
  }
}

TEST(ResponseParser, CutBodyIsNotComplete) {
  for (const char* text : {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
                           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                           "\r\n3\r\nabc\r\n"}) {
    ResponseParser parser({});
    FeedInPieces(parser, text, 500);
    parser.FeedEnd();
    CHECK(parser.state() == ParseState::kInvalid);
  }
}

TEST_GROUP(HeaderFields){};

TEST(HeaderFields, HopByHopFieldsAreRemovedWithThoseThatConnectionNames) {
  HeaderFields fields;
  fields.Add("Connection", "keep-alive, X-Own");
  fields.Add("Keep-Alive", "timeout=5");
  fields.Add("x-own", "1");
  fields.Add("Transfer-Encoding", "chunked");
  fields.Add("Content-Type", "text/plain");
  RemoveHopByHopFields(fields);
  CHECK_EQUAL(1U, fields.items().size());
  CHECK(fields.items()[0].name == "Content-Type");
}

TEST(HeaderFields, WrittenHeadsReadBack) {
  HeaderFields fields;
  fields.Add("A", "b");
  std::string text =
      WriteResponseHead(200, "OK", fields, BodyFraming::kChunked, 0, false);
  text += WriteChunk("abc");
  text += WriteChunk("");
  text += kLastChunk;
  ResponseParser parser({});
  CHECK(FeedInPieces(parser, text, 7).empty());
  CHECK(parser.TakeBody() == "abc");
  CHECK_FALSE(parser.head().keeps_connection);
}

}  // namespace briarlead
