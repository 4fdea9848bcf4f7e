#include "briarlead_membership/membership_test_network.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

namespace briarlead {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// No host gives new work to a server that left or fell silent so long ago.
constexpr Duration kNoNewWorkAfter = seconds(3);

std::size_t CountState(const MembershipTestNetwork& network,
                       BackendServerState state) {
  return static_cast<std::size_t>(std::ranges::count(
      network.server_changes(), state,
      [](const ObservedServerState& it) { return it.change.state; }));
}

MembershipTestNetwork NetworkWithServers(std::uint64_t seed,
                                         std::size_t hosts,
                                         std::size_t servers) {
  MembershipTestNetwork network(seed);
  network.AddHosts(hosts, "howrah");
  network.Run(seconds(3));
  for (std::size_t it = 0; it < servers; ++it)
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
  LONGS_EQUAL(20, network.HostsOffering(0));
}

TEST(MembershipServers, ALeavingServerGetsNoWorkWithinThreeSeconds) {
  for (std::uint64_t seed = 0; seed < 10; ++seed) {
    const std::size_t hosts = seed % 2 == 0 ? 8 : 40;
    auto network = NetworkWithServers(seed, hosts, 10);
    network.set_loss(0.1);
    network.LeaveServer(4);
    network.Run(kNoNewWorkAfter);
    LONGS_EQUAL(0, network.HostsOffering(4));
    LONGS_EQUAL(hosts, network.HostsOffering(5));
  }
}

TEST(MembershipServers, ASilentServerGetsNoWorkWithinThreeSeconds) {
  for (std::uint64_t seed = 0; seed < 10; ++seed) {
    const std::size_t hosts = seed % 2 == 0 ? 8 : 40;
    auto network = NetworkWithServers(seed, hosts, 10);
    network.set_loss(0.1);
    network.StopServer(4);
    network.Run(kNoNewWorkAfter);
    LONGS_EQUAL(0, network.HostsOffering(4));
    LONGS_EQUAL(hosts, network.HostsOffering(5));
  }
}

TEST(MembershipServers, SilenceIsSeenThoughAWatcherDiesWithTheServer) {
  for (std::uint64_t seed = 0; seed < 8; ++seed) {
    auto network = NetworkWithServers(seed, 8, 10);
    const auto watchers =
        network.controller(0).WatchersOf(network.server_id(4));
    LONGS_EQUAL(2, watchers.size());
    std::size_t dying = 0;
    while (network.id(dying) != watchers[seed % 2])
      ++dying;
    network.Kill(dying);
    network.StopServer(4);
    network.Run(kNoNewWorkAfter);
    LONGS_EQUAL(0, network.HostsOffering(4));
  }
}

TEST(MembershipServers, ManyServersThatFallSilentTogetherAreAllSeen) {
  auto network = NetworkWithServers(3, 20, 100);
  network.set_loss(0.1);
  for (std::size_t it = 0; it < 50; ++it)
    network.StopServer(it);
  network.Run(kNoNewWorkAfter);
  for (std::size_t it = 0; it < 50; ++it)
    LONGS_EQUAL(0, network.HostsOffering(it));
  LONGS_EQUAL(20, network.HostsOffering(50));
}

TEST(MembershipServers, LossAloneSilencesNobody) {
  auto network = NetworkWithServers(4, 20, 40);
  network.set_loss(0.1);
  network.ResetObservations();
  network.Run(seconds(60));
  LONGS_EQUAL(0, CountState(network, BackendServerState::kSilent));
}

TEST(MembershipServers, AFrozenHostDoesNotSilenceServersWhenItGoesOn) {
  for (std::uint64_t seed = 0; seed < 10; ++seed) {
    auto network = NetworkWithServers(seed, 8, 20);
    network.ResetObservations();
    const auto watchers =
        network.controller(0).WatchersOf(network.server_id(0));
    std::size_t frozen = 0;
    while (network.id(frozen) != watchers[0])
      ++frozen;
    network.Freeze(frozen);
    network.Run(seconds(10));
    network.ThawWithoutDatagrams(frozen);
    network.Run(seconds(5));
    LONGS_EQUAL(0, CountState(network, BackendServerState::kSilent));
    for (std::size_t it = 0; it < 20; ++it)
      LONGS_EQUAL(8, network.HostsOffering(it));
  }
}

TEST(MembershipServers, AClaimOfSilenceIsRefutedByALaterAnnouncement) {
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
  auto network = NetworkWithServers(6, 8, 5);
  network.StopServer(2);
  network.Run(seconds(5));
  LONGS_EQUAL(0, network.HostsOffering(2));
  network.RestartServer(2);
  network.Run(seconds(2));
  LONGS_EQUAL(8, network.HostsOffering(2));
  const auto& record =
      *network.blackboard(0).servers.Find(network.server_id(2));
  LONGS_EQUAL(2, record.incarnation);
}

TEST(MembershipServers, ARestartedHostLearnsEveryServerInSeconds) {
  auto network = NetworkWithServers(7, 8, 100);
  network.Kill(3);
  network.Run(seconds(1));
  network.Restart(3);
  network.Run(seconds(8));
  for (std::size_t it = 0; it < 100; ++it)
    LONGS_EQUAL(8, network.HostsOffering(it));
}

TEST(MembershipServers, HostsOfACutAgreeAfterItHeals) {
  auto network = NetworkWithServers(8, 10, 20);
  for (std::size_t it = 5; it < 10; ++it)
    network.SetSide(it, 1);
  network.Run(seconds(10));
  network.LeaveServer(7);
  network.StopServer(8);
  network.Run(seconds(10));
  network.Heal();
  network.Run(seconds(15));
  LONGS_EQUAL(0, network.HostsOffering(7));
  LONGS_EQUAL(0, network.HostsOffering(8));
  LONGS_EQUAL(10, network.HostsOffering(9));
}

TEST(MembershipServers, AForgottenServerStaysForgotten) {
  auto network = NetworkWithServers(9, 8, 5);
  network.StopServer(1);
  network.Run(seconds(90));
  for (std::size_t it = 0; it < 8; ++it) {
    POINTERS_EQUAL(nullptr,
                   network.blackboard(it).servers.Find(network.server_id(1)));
  }
}

TEST(MembershipServers, ALateAnnouncementDoesNotUndoALaterOne) {
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

TEST(MembershipServers, TheOwnerOfTheShardGetsTheLoad) {
  auto network = NetworkWithServers(11, 8, 0);
  BackendServerRecord record;
  record.id = BackendServerId("engine-x");
  record.data_centre = DataCentreId("howrah");
  record.model = ModelId("summary");
  record.role = BackendServerRole::kDecode;
  const auto owner = ShardOwner::OwnerOf(record.data_centre, record.model,
                                         network.blackboard(0).hosts);
  const std::size_t hearer = network.id(0) == *owner ? 1 : 0;
  record.load = {7, 3, 1000};
  network.controller(hearer).OnAnnouncement(record, 1, network.now());
  network.Run(milliseconds(50));
  record.load = {9, 4, 2000};
  network.controller(hearer).OnAnnouncement(record, 2, network.now());
  network.Run(milliseconds(600));
  for (std::size_t it = 0; it < network.size(); ++it) {
    if (network.id(it) != *owner)
      continue;
    const auto* found = network.blackboard(it).servers.Find(record.id);
    LONGS_EQUAL(9, found->load.running);
    LONGS_EQUAL(2000, found->load.kv_used_bytes);
  }
}

}  // namespace briarlead
