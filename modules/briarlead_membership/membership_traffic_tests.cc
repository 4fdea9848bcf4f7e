#include "briarlead_membership/membership_test_network.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <algorithm>

namespace briarlead {

namespace {

using std::chrono::seconds;

/// Bytes per second that one host may send for membership, out of 15,000 for
/// all control traffic.
constexpr double kMaxBytesPerSecond = 8000;
constexpr std::size_t kServersPerHost = 15;
constexpr Duration kTimeBetweenJoins = std::chrono::milliseconds(20);

struct Traffic {
  double mean_bytes = 0;
  double highest_bytes = 0;
  double mean_messages = 0;
};

Traffic Measure(std::size_t hosts, std::size_t servers, double loss) {
  constexpr int measured_seconds = 10;
  MembershipTestNetwork network(hosts);
  network.AddHosts(hosts, "howrah");
  network.Run(seconds(3));
  for (std::size_t i = 0; i < servers; ++i) {
    network.AddServer("howrah");
    network.Run(kTimeBetweenJoins);
  }
  network.Run(seconds(10));
  network.set_loss(loss);
  network.ResetObservations();
  network.Run(seconds(measured_seconds));
  CHECK_TRUE(network.largest_message() <= kMaxGossipBytes);
  Traffic traffic;
  for (std::size_t i = 0; i < hosts; ++i) {
    const double bytes =
        static_cast<double>(network.bytes_sent(i)) / measured_seconds;
    traffic.mean_bytes += bytes / static_cast<double>(hosts);
    traffic.highest_bytes = std::max(traffic.highest_bytes, bytes);
    traffic.mean_messages += static_cast<double>(network.messages_sent(i)) /
                             measured_seconds / static_cast<double>(hosts);
  }
  UT_PRINT(fmt::format("{} hosts, {} servers, loss {}: {:.0f} B/s a host, "
                       "highest {:.0f} B/s, {:.1f} messages/s",
                       hosts, servers, loss, traffic.mean_bytes,
                       traffic.highest_bytes, traffic.mean_messages)
               .c_str());
  return traffic;
}

}  // namespace

TEST_GROUP(MembershipTraffic){};

TEST(MembershipTraffic, BytesPerHostDoNotGrowWithTheDataCentre) {
  const Traffic at_8 = Measure(8, 8 * kServersPerHost, 0);
  const Traffic at_20 = Measure(20, 20 * kServersPerHost, 0);
  const Traffic at_40 = Measure(40, 40 * kServersPerHost, 0);
  CHECK_TRUE(at_8.highest_bytes < kMaxBytesPerSecond);
  CHECK_TRUE(at_20.highest_bytes < kMaxBytesPerSecond);
  CHECK_TRUE(at_40.highest_bytes < kMaxBytesPerSecond);
  CHECK_TRUE(at_40.mean_bytes < 2 * at_8.mean_bytes);
}

TEST(MembershipTraffic, PacketLossDoesNotMultiplyBytes) {
  const Traffic lossless = Measure(20, 60, 0);
  const Traffic lossy = Measure(20, 60, 0.1);
  CHECK_TRUE(lossy.mean_bytes < 2 * lossless.mean_bytes);
  CHECK_TRUE(lossy.highest_bytes < kMaxBytesPerSecond);
}

TEST(MembershipTraffic, DelegatesOfTwentyDataCentresStayWithinTheByteLimit) {
  MembershipTestNetwork network(20);
  for (int i = 0; i < 20; ++i)
    network.AddHosts(i == 0 ? 40 : 2, "data-centre-" + std::to_string(i));
  network.Run(seconds(20));
  for (std::size_t i = 0; i < network.size(); ++i) {
    network.controller(i).SetModelSummaries({{ModelId("model-a"), 9, 9, 9, 9},
                                             {ModelId("model-b"), 9, 9, 9, 9},
                                             {ModelId("model-c"), 9, 9, 9, 9}});
  }
  network.Run(seconds(10));
  network.ResetObservations();
  network.Run(seconds(10));
  double highest = 0;
  Duration oldest{};
  for (std::size_t i = 0; i < network.size(); ++i) {
    highest =
        std::max(highest, static_cast<double>(network.bytes_sent(i)) / 10);
    for (int other = 0; other < 20; ++other) {
      const DataCentreId id("data-centre-" + std::to_string(other));
      if (const auto summary =
              network.controller(i).SummaryOf(id, network.now()))
        oldest = std::max(oldest, summary->age);
    }
  }
  UT_PRINT(fmt::format("20 data centres: highest {:.0f} B/s a host, oldest "
                       "summary {:.1f} s",
                       highest, ToSeconds(oldest))
               .c_str());
  CHECK_TRUE(highest < kMaxBytesPerSecond);
  CHECK_TRUE(oldest < MembershipSettings().remote_suspect_timeout);
}

TEST(MembershipTraffic, HostsWithoutServersSendLittle) {
  CHECK_TRUE(Measure(2, 0, 0).highest_bytes < 2000);
}

}  // namespace briarlead
