#include "briarlead_wire/broken_responses_for_tests.h"

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "briarlead_wire/message_parser.h"

// After everything that uses the global operator new.
#include <CppUTest/TestHarness.h>

namespace briarlead {

namespace {

constexpr int kSwitchingProtocols = 101;

/// Returns the state of a parser that got `bytes` in pieces of `step`, as from
/// a socket.
ParseState StateAfter(std::string_view bytes, std::size_t step) {
  ResponseParser parser({});
  std::string unread;
  for (; !bytes.empty(); bytes.remove_prefix(std::min(step, bytes.size()))) {
    unread += bytes.substr(0, step);
    unread.erase(0, parser.Feed(unread));
    if (parser.state() == ParseState::kInvalid)
      break;
  }
  return parser.state();
}

/// Checks that the parser takes none of `all`, in one piece and byte by byte.
void CheckInvalid(const std::vector<BrokenResponse>& all) {
  for (const BrokenResponse& it : all) {
    for (const std::size_t step : {it.bytes.size(), std::size_t{1}}) {
      const bool invalid = StateAfter(it.bytes, step) == ParseState::kInvalid;
      CHECK_TRUE_TEXT(invalid, it.name.c_str());
    }
  }
}

}  // namespace

TEST_GROUP(BrokenResponses){};

TEST(BrokenResponses, StatusOutsideOfTheRangeIsInvalid) {
  CheckInvalid(ResponsesWithoutAStatus());
}

TEST(BrokenResponses, FieldNameThatIsNoTokenIsInvalid) {
  CheckInvalid(ResponsesWithABadFieldName());
}

TEST(BrokenResponses, EncodingThatCannotBeReadIsInvalid) {
  CheckInvalid(ResponsesWithABadEncoding());
}

TEST(BrokenResponses, SwitchOfProtocolsIsInvalid) {
  CheckInvalid(ResponsesThatSwitchProtocols());
}

TEST(BrokenResponses, BareLineFeedIsInvalidWithoutTheRestOfTheHead) {
  CheckInvalid(ResponsesWithABareLineFeed());
}

TEST(BrokenResponses, BytesThatBeginNoStatusLineAreInvalidAtOnce) {
  CheckInvalid(BytesThatBeginNoResponse());
}

// Guards against a verdict that depends on how the bytes are cut: a call whose
// server sends a broken line and no more waited for its deadline.
TEST(BrokenResponses, BrokenLineIsInvalidWithoutTheRestOfTheHead) {
  const std::string ok = std::string(kOk) + "\r\n";
  CheckInvalid({{"status", "HTTP/1.1 000 X\r\nServer: s\r\n"},
                {"digits of a status", "HTTP/1.1 2x0 X\r\n"},
                {"101", "HTTP/1.1 101 X\r\nServer: s\r\n"},
                {"name", ok + "Bad Name: x\r\nServer: s\r\n"}});
}

TEST(BrokenResponses, EachStatusOfTheRangeIsRead) {
  for (int status = 100; status <= 599; ++status) {
    if (status == kSwitchingProtocols)
      continue;
    ResponseParser parser({});
    parser.Feed("HTTP/1.1 " + std::to_string(status) +
                " X\r\nContent-Length: 0\r\n\r\n");
    CHECK_TRUE(parser.state() == ParseState::kComplete);
    LONGS_EQUAL(status, parser.head().status);
  }
}

}  // namespace briarlead
