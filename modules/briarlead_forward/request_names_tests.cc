#include "briarlead_forward/request_names.h"

#include <CppUTest/TestHarness.h>

namespace briarlead {

TEST_GROUP(RequestNames) {
  RequestContent content_{"GET", "a.example", "/x", "", "10.9.0.1", "", "body"};
};

TEST(RequestNames, SameContentAndCallerHaveTheSameNames) {
  CHECK_TRUE(NamesOf(content_) == NamesOf(RequestContent(content_)));
  for (const SuspectId it : NamesOf(content_).All())
    CHECK_TRUE(it.is_request());
}

TEST(RequestNames, EachPartOfTheContentCounts) {
  const RequestNames names = NamesOf(content_);
  for (std::string_view RequestContent::*it :
       {&RequestContent::method, &RequestContent::host, &RequestContent::path,
        &RequestContent::body}) {
    RequestContent other = content_;
    other.*it = "another";
    CHECK_TRUE(NamesOf(other).by_target != names.by_target);
    CHECK_TRUE(NamesOf(other).by_path != names.by_path);
    CHECK_TRUE(NamesOf(other).by_caller != names.by_caller);
  }
}

TEST(RequestNames, QueryAndCallerCountInOneNameEach) {
  const RequestNames names = NamesOf(content_);
  RequestContent other = content_;
  other.query = "page=2";
  CHECK_TRUE(NamesOf(other).by_target != names.by_target);
  CHECK_TRUE(NamesOf(other).by_path == names.by_path);
  CHECK_TRUE(NamesOf(other).by_caller == names.by_caller);
  for (std::string_view RequestContent::*it :
       {&RequestContent::address, &RequestContent::credentials}) {
    other = content_;
    other.*it = "another";
    CHECK_TRUE(NamesOf(other).by_target == names.by_target);
    CHECK_TRUE(NamesOf(other).by_path == names.by_path);
    CHECK_TRUE(NamesOf(other).by_caller != names.by_caller);
  }
}

TEST(RequestNames, HeadNamesAreTheUpperBitsOfAllNamesWithThatHead) {
  const auto heads = HeadNamesOf(content_).All();
  for (const std::string_view it : {"body", "other", ""}) {
    content_.body = it;
    const auto names = NamesOf(content_).All();
    for (std::size_t i = 0; i < heads.size(); ++i) {
      CHECK_EQUAL(heads[i].value, names[i].value & ~SuspectId::kBodyMask);
    }
  }
}

}  // namespace briarlead
