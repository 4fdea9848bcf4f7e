#include "briarlead_membership/membership_test_network.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

namespace briarlead {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time after which no host gives new work to a server that is leaving or
/// silent.
constexpr Duration kDetectionDeadline = seconds(3);

std::size_t CountChangesTo(const MembershipTestNetwork& network,
                           BackendServerState state) {
  return static_cast<std::size_t>(std::ranges::count(
      network.server_changes(), state,
      [](const ObservedServerState& it) { return it.change.state; }));
}

MembershipTestNetwork MakeNetworkWithServers(std::uint64_t seed,
                                             std::size_t hosts,
                                             std::size_t servers) {
  MembershipTestNetwork network(seed);
  network.AddHosts(hosts, "howrah");
  network.Run(seconds(3));
  for (std::size_t i = 0; i < servers; ++i)
    network.AddServer("howrah");
  network.Run(seconds(10));
  return network;
}

}  // namespace

TEST_GROUP(MembershipServers){};

TEST(MembershipServers, EveryHostOffersAServerThatAnnouncedItselfToOne) {
  MembershipTestNetwork network(1);
  network.AddHosts(20, "howrah");
  network.Run(seconds(5));
  network.AddServer("howrah");
  network.Run(seconds(1));
  LONGS_EQUAL(20, network.CountHostsOffering(0));
}

TEST(MembershipServers, ALeavingServerGetsNoWorkWithinThreeSeconds) {
  for (std::uint64_t seed = 0; seed < 10; ++seed) {
    const std::size_t hosts = seed % 2 == 0 ? 8 : 40;
    auto network = MakeNetworkWithServers(seed, hosts, 10);
    network.set_loss(0.1);
    network.LeaveServer(4);
    network.Run(kDetectionDeadline);
    LONGS_EQUAL(0, network.CountHostsOffering(4));
    LONGS_EQUAL(hosts, network.CountHostsOffering(5));
  }
}

TEST(MembershipServers, ASilentServerGetsNoWorkWithinThreeSeconds) {
  for (std::uint64_t seed = 0; seed < 10; ++seed) {
    const std::size_t hosts = seed % 2 == 0 ? 8 : 40;
    auto network = MakeNetworkWithServers(seed, hosts, 10);
    network.set_loss(0.1);
    network.StopServer(4);
    network.Run(kDetectionDeadline);
    LONGS_EQUAL(0, network.CountHostsOffering(4));
    LONGS_EQUAL(hosts, network.CountHostsOffering(5));
  }
}

TEST(MembershipServers, SilenceIsDetectedWhenAWatcherFailsToo) {
  for (std::uint64_t seed = 0; seed < 8; ++seed) {
    auto network = MakeNetworkWithServers(seed, 8, 10);
    const auto watchers =
        network.controller(0).WatchersOf(network.server_id(4));
    LONGS_EQUAL(2, watchers.size());
    std::size_t watcher = 0;
    while (network.id(watcher) != watchers[seed % 2])
      ++watcher;
    network.Kill(watcher);
    network.StopServer(4);
    network.Run(kDetectionDeadline);
    LONGS_EQUAL(0, network.CountHostsOffering(4));
  }
}

TEST(MembershipServers, SilenceOfManyServersAtOnceIsDetected) {
  auto network = MakeNetworkWithServers(3, 20, 100);
  network.set_loss(0.1);
  for (std::size_t i = 0; i < 50; ++i)
    network.StopServer(i);
  network.Run(kDetectionDeadline);
  for (std::size_t i = 0; i < 50; ++i)
    LONGS_EQUAL(0, network.CountHostsOffering(i));
  LONGS_EQUAL(20, network.CountHostsOffering(50));
}

TEST(MembershipServers, PacketLossAloneMarksNoServerSilent) {
  auto network = MakeNetworkWithServers(4, 20, 40);
  network.set_loss(0.1);
  network.ResetObservations();
  network.Run(seconds(60));
  LONGS_EQUAL(0, CountChangesTo(network, BackendServerState::kSilent));
}

TEST(MembershipServers, AResumedHostDoesNotMarkServersSilent) {
  for (std::uint64_t seed = 0; seed < 10; ++seed) {
    auto network = MakeNetworkWithServers(seed, 8, 20);
    network.ResetObservations();
    const auto watchers =
        network.controller(0).WatchersOf(network.server_id(0));
    std::size_t paused = 0;
    while (network.id(paused) != watchers[0])
      ++paused;
    network.Pause(paused);
    network.Run(seconds(10));
    network.ResumeAfterSocketOverflow(paused);
    network.Run(seconds(5));
    LONGS_EQUAL(0, CountChangesTo(network, BackendServerState::kSilent));
    for (std::size_t i = 0; i < 20; ++i)
      LONGS_EQUAL(8, network.CountHostsOffering(i));
  }
}

TEST(MembershipServers, ALaterAnnouncementRefutesSilence) {
  MembershipTestNetwork network(12);
  network.AddHosts(2, "howrah");
  network.Run(seconds(2));
  BackendServerRecord record;
  record.id = BackendServerId("engine-x");
  record.data_centre = DataCentreId("howrah");
  record.incarnation = 1;
  auto& controller = network.controller(0);
  controller.OnAnnouncement(record, 1, network.now());
  controller.OnAnnouncement(record, 2, network.now());
  GossipMessage message;
  message.sender.id = network.id(1);
  message.sender.data_centre = record.data_centre;
  record.state = BackendServerState::kSilent;
  message.servers = {{record, 1}};
  const std::string bytes = EncodeGossip(message);
  CHECK_TRUE(controller.OnGossip(bytes, network.now()).has_value());
  const auto& servers = network.blackboard(0).servers;
  CHECK_TRUE(servers.Find(record.id)->state == BackendServerState::kServing);
  message.servers = {{record, 2}};
  const std::string later = EncodeGossip(message);
  CHECK_TRUE(controller.OnGossip(later, network.now()).has_value());
  CHECK_TRUE(servers.Find(record.id)->state == BackendServerState::kSilent);
}

TEST(MembershipServers, ARestartedServerIsOfferedAgain) {
  auto network = MakeNetworkWithServers(6, 8, 5);
  network.StopServer(2);
  network.Run(seconds(5));
  LONGS_EQUAL(0, network.CountHostsOffering(2));
  network.RestartServer(2);
  network.Run(seconds(2));
  LONGS_EQUAL(8, network.CountHostsOffering(2));
  const auto& record =
      *network.blackboard(0).servers.Find(network.server_id(2));
  LONGS_EQUAL(2, record.incarnation);
}

TEST(MembershipServers, ARestartedHostLearnsEveryServerWithinSeconds) {
  auto network = MakeNetworkWithServers(7, 8, 100);
  network.Kill(3);
  network.Run(seconds(1));
  network.Restart(3);
  network.Run(seconds(8));
  for (std::size_t i = 0; i < 100; ++i)
    LONGS_EQUAL(8, network.CountHostsOffering(i));
}

TEST(MembershipServers, HostsAgreeOnServersAfterAPartitionHeals) {
  auto network = MakeNetworkWithServers(8, 10, 20);
  for (std::size_t i = 5; i < 10; ++i)
    network.SetPartition(i, 1);
  network.Run(seconds(10));
  network.LeaveServer(7);
  network.StopServer(8);
  network.Run(seconds(10));
  network.HealPartition();
  network.Run(seconds(15));
  LONGS_EQUAL(0, network.CountHostsOffering(7));
  LONGS_EQUAL(0, network.CountHostsOffering(8));
  LONGS_EQUAL(10, network.CountHostsOffering(9));
}

TEST(MembershipServers, ASilentServerIsRemovedForGood) {
  auto network = MakeNetworkWithServers(9, 8, 5);
  network.StopServer(1);
  network.Run(seconds(90));
  for (std::size_t i = 0; i < 8; ++i) {
    POINTERS_EQUAL(nullptr,
                   network.blackboard(i).servers.Find(network.server_id(1)));
  }
}

TEST(MembershipServers, AnOutdatedAnnouncementIsIgnored) {
  MembershipTestNetwork network(10);
  network.AddHost("howrah");
  network.Run(seconds(1));
  BackendServerRecord record;
  record.id = BackendServerId("engine-x");
  record.incarnation = 2;
  record.state = BackendServerState::kLeaving;
  auto& controller = network.controller(0);
  const auto& servers = network.blackboard(0).servers;
  controller.OnAnnouncement(record, 5, network.now());
  record.state = BackendServerState::kServing;
  controller.OnAnnouncement(record, 4, network.now());
  CHECK_TRUE(servers.Find(record.id)->state == BackendServerState::kLeaving);
  record.incarnation = 1;
  controller.OnAnnouncement(record, 9, network.now());
  LONGS_EQUAL(2, servers.Find(record.id)->incarnation);
  record.incarnation = 3;
  controller.OnAnnouncement(record, 1, network.now());
  CHECK_TRUE(servers.Find(record.id)->state == BackendServerState::kServing);
}

TEST(MembershipServers, TheShardOwnerReceivesTheLoad) {
  auto network = MakeNetworkWithServers(11, 8, 0);
  BackendServerRecord record;
  record.id = BackendServerId("engine-x");
  record.data_centre = DataCentreId("howrah");
  record.model = ModelId("summary");
  record.role = BackendServerRole::kDecode;
  const auto owner = ShardOwner::OwnerOf(record.data_centre, record.model,
                                         network.blackboard(0).hosts);
  const std::size_t receiver = network.id(0) == *owner ? 1 : 0;
  record.load = {7, 3, 1000};
  network.controller(receiver).OnAnnouncement(record, 1, network.now());
  network.Run(milliseconds(50));
  record.load = {9, 4, 2000};
  network.controller(receiver).OnAnnouncement(record, 2, network.now());
  network.Run(milliseconds(600));
  for (std::size_t i = 0; i < network.size(); ++i) {
    if (network.id(i) != *owner)
      continue;
    const auto* found = network.blackboard(i).servers.Find(record.id);
    LONGS_EQUAL(9, found->load.running);
    LONGS_EQUAL(2000, found->load.kv_used_bytes);
  }
}

}  // namespace briarlead
