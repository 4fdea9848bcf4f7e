#include "briarlead_json/briarlead_json.h"

#include <CppUTest/TestHarness.h>

namespace briarlead {

TEST_GROUP(JsonWriter){};

TEST(JsonWriter, WritesNestedObjectsAndArrays) {
  JsonWriter writer;
  writer.BeginObject()
      .Field("name", "a")
      .Field("on", true)
      .Field("n", -3)
      .Field("half", 0.5)
      .Key("items")
      .BeginArray()
      .Unsigned(1)
      .BeginObject()
      .EndObject()
      .Null()
      .EndArray()
      .EndObject();
  STRCMP_EQUAL(
      R"({"name":"a","on":true,"n":-3,"half":0.5,"items":[1,{},null]})",
      writer.Take().c_str());
}

TEST(JsonWriter, QuoteJsonEscapesSpecialCharacters) {
  STRCMP_EQUAL(R"("a\"b")", QuoteJson("a\"b").c_str());
  STRCMP_EQUAL(R"("a\\b")", QuoteJson("a\\b").c_str());
  STRCMP_EQUAL(R"("a\nb")", QuoteJson("a\nb").c_str());
  STRCMP_EQUAL("\"\\u0001\"", QuoteJson("\x01").c_str());
  STRCMP_EQUAL("\"\xc3\xa9\"", QuoteJson("\xc3\xa9").c_str());
  STRCMP_EQUAL("\"\xef\xbf\xbd\"", QuoteJson("\xff").c_str());
}

TEST(JsonWriter, ADocumentRoundTrips) {
  const char* text =
      R"({"a":[1,-2,0.1,1e+300,18446744073709551615,"x\n",null,true],"b":{}})";
  const auto value = ParseJson(text);
  CHECK_TRUE(value.has_value());
  const std::string written = ToJson(value.assume_value());
  STRCMP_EQUAL(text, written.c_str());
  CHECK_TRUE(ParseJson(written).assume_value() == value.assume_value());
}

TEST(JsonWriter, NumbersThatAreNotFiniteBecomeNull) {
  JsonWriter writer;
  writer.Number(1.0 / 0.0);
  STRCMP_EQUAL("null", writer.Take().c_str());
}

}  // namespace briarlead
