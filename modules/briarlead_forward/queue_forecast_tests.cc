#include "briarlead_forward/queue_forecast.h"

// Included last, since it redefines operator new.
#include <CppUTest/TestHarness.h>

namespace briarlead {

namespace {

constexpr std::size_t kStreams = 100;
constexpr std::size_t kPosition = 50;

}  // namespace

TEST_GROUP(QueueForecast){};

// Streams of one deployment last twice as long as those of another; so do the
// waits.
TEST(QueueForecast, TheWaitFollowsHowLongStreamsLast) {
  QueueForecast forecast;
  for (int i = 0; i < 200; ++i)
    forecast.OnStreamEnded(std::chrono::seconds(2));
  DOUBLES_EQUAL(1.0, ToSeconds(forecast.Wait(kPosition, kStreams)), 0.01);
  for (int i = 0; i < 1000; ++i)
    forecast.OnStreamEnded(std::chrono::seconds(8));
  DOUBLES_EQUAL(4.0, ToSeconds(forecast.Wait(kPosition, kStreams)), 0.01);
}

TEST(QueueForecast, WithoutStreamsTheFirstInTheQueueWaitsForOne) {
  CHECK(QueueForecast().Wait(1, 0) == QueueForecast::kInitialStreamTime);
}

}  // namespace briarlead
