#include "briarlead_core/logger.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

namespace briarlead {

TEST_GROUP(Logger) {
  std::vector<std::string> lines_;
  Logger logger_{LogLevel::kInfo, [] { return std::string("T"); },
                 [this](std::string_view line) { lines_.emplace_back(line); }};
  TimePoint now_{std::chrono::seconds(5)};
};

TEST(Logger, WritesOneLineWithFields) {
  logger_.Info(now_, "placed", {{"request", "a.1.2"}, {"queue", 3}});
  LONGS_EQUAL(1, lines_.size());
  STRCMP_EQUAL("T info placed request=a.1.2 queue=3", lines_[0].c_str());
}

TEST(Logger, EscapesValuesThatCouldBreakALine) {
  logger_.Info(now_, "refused", {{"path", "/a\nT info x=\"1\"\xff"}});
  STRCMP_EQUAL("T info refused path=\"/a\\x0aT info x=\\\"1\\\"\\xff\"",
               lines_[0].c_str());
}

TEST(Logger, LinesBeyondTheRateLimitAreCountedNotWritten) {
  for (int line = 0; line < 1000; ++line)
    logger_.Info(now_, "refused", {});
  LONGS_EQUAL(Logger::kMaxLinesPerEventSecond, lines_.size());
  logger_.Info(now_, "other", {});
  LONGS_EQUAL(Logger::kMaxLinesPerEventSecond + 1, lines_.size());
  logger_.Info(now_ + std::chrono::seconds(1), "refused", {});
  STRCMP_EQUAL("T info refused left_out=800", lines_.back().c_str());
}

TEST(Logger, LinesBelowTheLevelAreNotWritten) {
  logger_.Write(now_, LogLevel::kDebug, "detail", {});
  CHECK_TRUE(lines_.empty());
}

}  // namespace briarlead
