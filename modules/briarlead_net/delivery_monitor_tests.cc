#include "briarlead_net/delivery_monitor.h"

#include <CppUTest/TestHarness.h>

namespace briarlead {

namespace {

constexpr TimePoint kStart{std::chrono::seconds(100)};
constexpr Duration kMs = std::chrono::milliseconds(1);

}  // namespace

TEST_GROUP(DeliveryMonitor) {
  DeliveryMonitor monitor_;
};

TEST(DeliveryMonitor, IdleConnectionIsNeverSilent) {
  CHECK_FALSE(monitor_.Deadline().has_value());
  monitor_.OnSent(10, kStart);
  CHECK_TRUE(monitor_.OnReceipt(10, kStart + 3 * kMs));
  CHECK_FALSE(monitor_.Deadline().has_value());
}

TEST(DeliveryMonitor, LaterBytesDoNotPostponeTheDeadlineOfTheFirst) {
  monitor_.OnSent(10, kStart);
  monitor_.OnSent(10, kStart + 400 * kMs);
  CHECK_TRUE(monitor_.Deadline() == kStart + DeliveryMonitor::kSilenceLimit);
}

TEST(DeliveryMonitor, LargeMessageThatMakesProgressIsNotSilent) {
  monitor_.OnSent(4'000'000, kStart);
  for (int i = 1; i < 40; ++i)
    CHECK_TRUE(monitor_.OnReceipt(static_cast<std::uint64_t>(i) * 100'000,
                                  kStart + i * 300 * kMs));
  CHECK_TRUE(monitor_.Deadline() ==
             kStart + 39 * 300 * kMs + DeliveryMonitor::kSilenceLimit);
}

TEST(DeliveryMonitor, RepeatedReceiptIsNoProgress) {
  monitor_.OnSent(20, kStart);
  CHECK_TRUE(monitor_.OnReceipt(10, kStart + 100 * kMs));
  CHECK_TRUE(monitor_.OnReceipt(10, kStart + 600 * kMs));
  CHECK_TRUE(monitor_.Deadline() ==
             kStart + 100 * kMs + DeliveryMonitor::kSilenceLimit);
}

TEST(DeliveryMonitor, ImpossibleReceiptsAreTold) {
  monitor_.OnSent(10, kStart);
  CHECK_FALSE(monitor_.OnReceipt(11, kStart));
  CHECK_TRUE(monitor_.OnReceipt(8, kStart));
  CHECK_FALSE(monitor_.OnReceipt(7, kStart));
}

TEST(DeliveryMonitor, ReceiptsKeepTheirValueOnTheWire) {
  for (const std::uint64_t it : {0UL, 1UL, 0x0102030405060708UL, ~0UL}) {
    const std::string bytes = DeliveryMonitor::EncodeReceipt(it);
    CHECK_EQUAL(DeliveryMonitor::kReceiptBytes, bytes.size());
    CHECK_TRUE(DeliveryMonitor::DecodeReceipt(bytes) == it);
    CHECK_FALSE(DeliveryMonitor::DecodeReceipt(bytes.substr(0, 7)).has_value());
  }
}

}  // namespace briarlead
