#include "briarlead_control/operator_api.h"

#include <CppUTest/TestHarness.h>

#include <variant>

namespace briarlead {

TEST_GROUP(OperatorApi){};

TEST(OperatorApi, ParsesAChangeOfOneList) {
  const auto body = ParseOperatorRequest(
      "POST", "/v1/lists", "",
      R"({"base_revision":7,"plans":"{}","operator":"asha"})");
  CHECK_TRUE(body.has_value());
  const auto& apply = std::get<ApplyLists>(body.value());
  LONGS_EQUAL(7, apply.base_revision);
  CHECK_FALSE(apply.customers.has_value());
  STRCMP_EQUAL("{}", apply.plans->c_str());
  STRCMP_EQUAL("asha", apply.operator_name.c_str());
}

TEST(OperatorApi, ReportsAllFaultsOfTheBody) {
  const auto body = ParseOperatorRequest("POST", "/v1/lists", "",
                                         R"({"base_revision":"x","colour":1})");
  CHECK_TRUE(body.has_error());
  CHECK_TRUE(body.error().message.find("base_revision") != std::string::npos);
  CHECK_TRUE(body.error().message.find("colour") != std::string::npos);
}

TEST(OperatorApi, ParsesTheRevisionInTheQuery) {
  const auto body = ParseOperatorRequest("GET", "/v1/reach", "revision=12", "");
  LONGS_EQUAL(12, std::get<ReadReach>(body.value()).revision);
  CHECK_TRUE(
      ParseOperatorRequest("GET", "/v1/reach", "revision=", "").has_error());
  CHECK_TRUE(ParseOperatorRequest("PUT", "/v1/lists", "", "").has_error());
}

TEST(OperatorApi, ConflictNamesTheOperatorOfTheNewerChange) {
  ApplyListsResult result;
  result.verdict = ApplyVerdict::kConflict;
  result.change = {8, "binod", 1700000000000};
  const HttpResponse response = WriteOperatorResponse(result);
  LONGS_EQUAL(409, response.status);
  CHECK_TRUE(response.body.find("\"operator\":\"binod\"") != std::string::npos);
}

TEST(OperatorApi, RefusalHasARetryAfterHeader) {
  const HttpResponse response =
      WriteOperatorResponse(RequestRefused{RefusalReason::kNotLeader});
  LONGS_EQUAL(503, response.status);
  CHECK_TRUE(response.headers.Find("retry-after").has_value());
}

}  // namespace briarlead
