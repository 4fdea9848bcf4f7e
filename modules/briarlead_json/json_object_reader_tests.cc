#include "briarlead_json/briarlead_json.h"

#include <CppUTest/TestHarness.h>

#include <array>

namespace briarlead {

TEST_GROUP(JsonObjectReader) {
  Findings findings_;
  JsonValue value_;

  JsonObjectReader Read(const char* text) {
    value_ = ParseJson(text).assume_value();
    return {value_, {"f.json", "plans[2]"}, findings_};
  }
};

TEST(JsonObjectReader, ReportsAllFindingsInOnePass) {
  JsonObjectReader reader = Read(
      R"({"weight":"3","concurrency":0,"plan":"a b","rank":"slow",
          "uses":{},"colour":1,"rate":1e9})");
  constexpr std::array<std::string_view, 2> choices = {"urgent", "patient"};
  LONGS_EQUAL(1, reader.Integer("weight", {1, 9}));
  LONGS_EQUAL(1, reader.Integer("concurrency", {1, 9}));
  CHECK_TRUE(reader.Name("plan").empty());
  CHECK_FALSE(reader.Choice("rank", choices).has_value());
  CHECK_TRUE(reader.Array("uses", {0, 3}).empty());
  CHECK_TRUE(reader.String("missing", {1, 2}).empty());
  DOUBLES_EQUAL(0, reader.Number("rate", {0, 5}), 0);
  reader.ReportUnknownKeys();
  STRCMP_EQUAL(
      "f.json: plans[2].weight: expected a whole number from 1 to 9, found a "
      "string\n"
      "f.json: plans[2].concurrency: expected a whole number from 1 to 9, "
      "found 0\n"
      "f.json: plans[2].plan: expected a name of 1 to 128 letters, digits and "
      "-_.:/, found \"a b\"\n"
      "f.json: plans[2].rank: expected one of \"urgent\", \"patient\", found "
      "\"slow\"\n"
      "f.json: plans[2].uses: expected an array of 0 to 3 items, found an "
      "object\n"
      "f.json: plans[2].missing: missing key; expected a string of 1 to 2 "
      "bytes\n"
      "f.json: plans[2].rate: expected a number from 0 to 5, found "
      "1000000000\n"
      "f.json: plans[2].colour: unknown key; expected one of \"weight\", "
      "\"concurrency\", \"plan\", \"rank\", \"uses\", \"missing\", \"rate\"\n",
      findings_.Format().c_str());
}

TEST(JsonObjectReader, ReadsValuesInRange) {
  JsonObjectReader reader =
      Read(R"({"n":9,"d":2.5,"ms":1200,"s":"ab","b":true,"a":[1],"o":{}})");
  LONGS_EQUAL(9, reader.Integer("n", {1, 9}));
  DOUBLES_EQUAL(2.5, reader.Number("d", {0, 5}), 0);
  CHECK_TRUE(reader.Milliseconds("ms", {1, 5000}) ==
             std::chrono::milliseconds(1200));
  STRCMP_EQUAL("ab", reader.String("s", {1, 2}).c_str());
  CHECK_TRUE(reader.BooleanOr("b", false));
  LONGS_EQUAL(1, reader.Array("a", {1, 1}).size());
  CHECK_TRUE(reader.Object("o") != nullptr);
  LONGS_EQUAL(4, reader.IntegerOr("none", 4, {1, 9}));
  reader.ReportUnknownKeys();
  STRCMP_EQUAL("", findings_.Format().c_str());
}

TEST(JsonObjectReader, AValueOtherThanAnObjectIsOneFinding) {
  JsonObjectReader reader = Read("[1]");
  CHECK_TRUE(reader.Name("plan").empty());
  reader.ReportUnknownKeys();
  STRCMP_EQUAL("f.json: plans[2]: expected an object, found an array\n",
               findings_.Format().c_str());
}

TEST(JsonObjectReader, AKeyWithSpecialCharactersIsQuotedAndTruncated) {
  JsonObjectReader reader = Read(R"({"a\nb":1})");
  reader.ReportUnknownKeys();
  STRCMP_CONTAINS("f.json: plans[2][\"a\\nb\"]: unknown key",
                  findings_.Format().c_str());
  const JsonPlace place = reader.PlaceOf(std::string(100000, 'x'));
  CHECK_TRUE(place.path.size() < 100);
}

}  // namespace briarlead
