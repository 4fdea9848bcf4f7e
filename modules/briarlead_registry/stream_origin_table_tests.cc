#include "briarlead_registry/stream_origin_table.h"

#include <CppUTest/TestHarness.h>

namespace briarlead {

namespace {

const ServiceVersion kFirst{ServiceId("models"), SoftwareVersion("v1")};
const ServiceVersion kSecond{ServiceId("models"), SoftwareVersion("v2")};

}  // namespace

TEST_GROUP(StreamOriginTable) {
  StreamOriginTable table_;
  TimePoint now_{std::chrono::seconds(100)};

  std::optional<ServiceVersion> OriginOf(std::uint64_t stream) {
    return table_.OnQuery({{stream}}, now_).origin;
  }
};

TEST(StreamOriginTable, KnowsWhatItWasTold) {
  table_.OnReport({{{kFirst, {{1}, {2}}}, {kSecond, {{3}}}}}, now_);
  CHECK_TRUE(OriginOf(2) == kFirst);
  CHECK_TRUE(OriginOf(3) == kSecond);
  CHECK_FALSE(OriginOf(4).has_value());
}

TEST(StreamOriginTable, StreamsAreForgottenAfterTheirLastReport) {
  table_.OnReport({{{kFirst, {{1}, {2}}}}}, now_);
  now_ += StreamOriginTable::kLife / 2;
  table_.OnReport({{{kFirst, {{1}}}}}, now_);
  now_ += StreamOriginTable::kLife / 2;
  table_.Expire(now_);
  CHECK_TRUE(OriginOf(1) == kFirst);
  CHECK_FALSE(OriginOf(2).has_value());
  CHECK_EQUAL(1U, table_.size());
  now_ += StreamOriginTable::kLife;
  table_.Expire(now_);
  CHECK_EQUAL(0U, table_.size());
}

TEST(StreamOriginTable, OldestReportsYieldAtTheLimit) {
  table_ = StreamOriginTable(3);
  table_.OnReport({{{kFirst, {{1}, {2}, {3}}}}}, now_);
  now_ += std::chrono::seconds(1);
  table_.OnReport({{{kSecond, {{4}}}}}, now_);
  CHECK_EQUAL(3U, table_.size());
  CHECK_FALSE(OriginOf(1).has_value());
  CHECK_TRUE(OriginOf(2) == kFirst && OriginOf(4) == kSecond);
}

}  // namespace briarlead
