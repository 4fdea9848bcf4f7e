#include "briarlead_core/request_id.h"

#include <CppUTest/TestHarness.h>

namespace briarlead {

TEST_GROUP(RequestId){};

TEST(RequestId, TextFormRoundTrips) {
  const RequestId id{HostId("entry.howrah.1"), 7, 42};
  STRCMP_EQUAL("entry.howrah.1.7.42", ToString(id).c_str());
  CHECK_TRUE(ParseRequestId(ToString(id)) == id);
}

TEST(RequestId, RejectsMalformedText) {
  for (const char* text : {"", ".", "a", "a.1", "a.1.", "a..1", ".1.2", "a.x.2",
                           "a.1.2x", "a.1.-2"}) {
    CHECK_FALSE(ParseRequestId(text).has_value());
  }
}

}  // namespace briarlead
