#include "briarlead_forward/request_names.h"

#include <CppUTest/TestHarness.h>

namespace briarlead {

TEST_GROUP(RequestNames) {
  RequestContent content_{"GET", "a.example", "/x", "10.9.0.1", "", "body"};
};

TEST(RequestNames, SameContentAndCallerHaveTheSameNames) {
  CHECK_TRUE(NamesOf(content_) == NamesOf(RequestContent(content_)));
  CHECK_TRUE(NamesOf(content_).by_caller.is_request());
  CHECK_TRUE(NamesOf(content_).by_content.is_request());
}

TEST(RequestNames, EachPartOfTheContentCounts) {
  const RequestNames names = NamesOf(content_);
  for (std::string_view RequestContent::*it :
       {&RequestContent::method, &RequestContent::host, &RequestContent::path,
        &RequestContent::body}) {
    RequestContent other = content_;
    other.*it = "another";
    CHECK_TRUE(NamesOf(other).by_content != names.by_content);
    CHECK_TRUE(NamesOf(other).by_caller != names.by_caller);
  }
}

TEST(RequestNames, CallersShareOnlyTheNameOfTheContent) {
  const RequestNames names = NamesOf(content_);
  RequestContent other = content_;
  other.address = "10.9.0.2";
  CHECK_TRUE(NamesOf(other).by_content == names.by_content);
  CHECK_TRUE(NamesOf(other).by_caller != names.by_caller);
  other = content_;
  other.credentials = "Bearer k";
  CHECK_TRUE(NamesOf(other).by_caller != names.by_caller);
}

TEST(RequestNames, HeadNamesAreTheUpperBitsOfAllNamesWithThatHead) {
  const RequestNames head = HeadNamesOf(content_);
  for (const std::string_view it : {"body", "other", ""}) {
    content_.body = it;
    const RequestNames names = NamesOf(content_);
    CHECK_EQUAL(head.by_content.value,
                names.by_content.value & ~SuspectId::kBodyMask);
    CHECK_EQUAL(head.by_caller.value,
                names.by_caller.value & ~SuspectId::kBodyMask);
  }
}

}  // namespace briarlead
