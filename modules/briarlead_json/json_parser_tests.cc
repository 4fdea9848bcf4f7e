#include "briarlead_json/briarlead_json.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>

namespace briarlead {

namespace {

std::string FindingsOf(std::string_view text, const JsonLimits& limits = {}) {
  Findings findings;
  const auto value = ParseJson("f.json", text, limits, findings);
  CHECK_EQUAL(value.has_value(), findings.empty());
  return findings.Format();
}

std::string NestedArrays(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

}  // namespace

TEST_GROUP(JsonParser){};

TEST(JsonParser, ReadsEveryKindAndComments) {
  Findings findings;
  const auto value = ParseJson("f.json", R"({
    // a comment
    "null": null, "yes": true, "low": -7, "high": 18446744073709551615,
    "half": 0.5, "text": "a\u00e9", /* and another */ "items": [1, {}]
  })",
                               {}, findings);
  CHECK_TRUE(value.has_value());
  CHECK_TRUE(value->Find("null")->kind() == JsonKind::kNull);
  CHECK_TRUE(value->Find("yes")->AsBoolean() == true);
  CHECK_TRUE(value->Find("low")->AsInteger() == -7);
  CHECK_FALSE(value->Find("low")->AsUnsigned().has_value());
  CHECK_FALSE(value->Find("high")->AsInteger().has_value());
  CHECK_TRUE(value->Find("high")->AsUnsigned() == ~std::uint64_t{0});
  CHECK_TRUE(value->Find("half")->AsNumber() == 0.5);
  CHECK_FALSE(value->Find("half")->AsInteger().has_value());
  STRCMP_EQUAL("a\xc3\xa9", value->Find("text")->AsString()->c_str());
  LONGS_EQUAL(2, value->Find("items")->items().size());
  POINTERS_EQUAL(nullptr, value->Find("other"));
}

TEST(JsonParser, EveryDuplicateKeyIsReportedAtItsPlace) {
  STRCMP_EQUAL(
      "f.json: plans[1].rank: duplicate key; each key may stand once\n"
      "f.json: plans: duplicate key; each key may stand once\n",
      FindingsOf(R"({"plans":[{},{"rank":1,"rank":2}],"plans":3})").c_str());
}

TEST(JsonParser, ASyntaxErrorReportsLineColumnAndPlace) {
  const std::string found = FindingsOf("{\"a\": [1,\n 2 x]}");
  STRCMP_CONTAINS("f.json: a[2]: parse error at line 2, column 4",
                  found.c_str());
  LONGS_EQUAL(1, std::ranges::count(found, '\n'));
}

TEST(JsonParser, LimitsDepthSizeAndNumberOfValues) {
  const JsonLimits limits = {.max_bytes = 100, .max_depth = 4, .max_values = 9};
  CHECK_TRUE(FindingsOf(NestedArrays(4), limits).empty());
  STRCMP_EQUAL("f.json: [0][0][0][0]: nested deeper than 4\n",
               FindingsOf(NestedArrays(5), limits).c_str());
  STRCMP_EQUAL("f.json: 101 bytes; at most 100 are accepted\n",
               FindingsOf(std::string(101, ' '), limits).c_str());
  CHECK_TRUE(FindingsOf("[1,2,3,4,5,6,7,8]", limits).empty());
  STRCMP_EQUAL("f.json: [8]: more than 9 values\n",
               FindingsOf("[1,2,3,4,5,6,7,8,9]", limits).c_str());
}

TEST(JsonParser, ANetworkBodyAllowsNoCommentsAndReportsOneError) {
  const auto good = ParseJson(R"({"a":1})");
  CHECK_TRUE(good.has_value());
  const auto comment = ParseJson("{} // x");
  CHECK_FALSE(comment.has_value());
  CHECK_TRUE(comment.error().code == ErrorCode::kInvalidArgument);
  const auto deep = ParseJson(NestedArrays(100000));
  CHECK_FALSE(deep.has_value());
  CHECK_TRUE(deep.error().code == ErrorCode::kTooLarge);
  const auto twice = ParseJson(R"({"a":1,"a":2})");
  CHECK_FALSE(twice.has_value());
  STRCMP_EQUAL("a: duplicate key; each key may stand once",
               twice.error().message.c_str());
}

TEST(JsonParser, FindingsOmitControlCharactersAndTruncateLongTokens) {
  const std::string control = FindingsOf("[\"\x7f\n");
  LONGS_EQUAL(1, std::ranges::count(control, '\n'));
  CHECK_TRUE(control.find('\x7f') == std::string::npos);
  const std::string token = FindingsOf("[\"" + std::string(100000, 'x'));
  CHECK_TRUE(token.size() < 300);
}

}  // namespace briarlead
