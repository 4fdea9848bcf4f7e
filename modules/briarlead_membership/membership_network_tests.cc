#include "briarlead_membership/membership_test_network.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

namespace briarlead {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::size_t CountChangesTo(const MembershipTestNetwork& network,
                           HostState state) {
  return static_cast<std::size_t>(std::ranges::count(
      network.host_changes(), state,
      [](const ObservedHostState& it) { return it.change.state; }));
}

}  // namespace

TEST_GROUP(MembershipNetwork){};

TEST(MembershipNetwork, HostsLearnOfEachOtherFromOneSeed) {
  MembershipTestNetwork network(1);
  network.AddHosts(20, "howrah");
  network.Run(seconds(5));
  for (std::size_t i = 0; i < network.size(); ++i)
    LONGS_EQUAL(19, network.CountHostsSeeing(i, HostState::kAlive));
}

TEST(MembershipNetwork, AKilledHostIsSuspectFirstAndDeadSoonAfter) {
  for (const std::size_t hosts : {3U, 8U, 40U}) {
    MembershipTestNetwork network(hosts);
    network.AddHosts(hosts, "howrah");
    network.Run(seconds(10));
    network.ResetObservations();
    const TimePoint killed = network.now();
    network.Kill(hosts - 1);
    network.Run(seconds(8));
    LONGS_EQUAL(hosts - 1,
                network.CountHostsSeeing(hosts - 1, HostState::kDead));
    LONGS_EQUAL(hosts - 1, CountChangesTo(network, HostState::kDead));
    LONGS_EQUAL(hosts - 1, CountChangesTo(network, HostState::kSuspect));
    for (const ObservedHostState& it : network.host_changes()) {
      const Duration least = it.change.state == HostState::kDead
                                 ? MembershipSettings().suspicion_timeout
                                 : Duration::zero();
      CHECK_TRUE(it.at - killed >= least);
    }
  }
}

TEST(MembershipNetwork, TenPercentLossDeclaresNoHostDead) {
  for (const std::uint64_t seed : {1U, 2U, 3U, 4U, 5U, 6U}) {
    const std::size_t hosts = seed % 2 == 0 ? 8 : 40;
    MembershipTestNetwork network(100 + seed);
    network.AddHosts(hosts, "howrah");
    network.Run(seconds(10));
    network.set_loss(0.1);
    network.ResetObservations();
    network.Run(seconds(120));
    LONGS_EQUAL(0, CountChangesTo(network, HostState::kDead));
    LONGS_EQUAL(0, network.own_incarnation_changes());
    // Probes were lost and raised suspicions, but these were refuted.
    CHECK_TRUE(CountChangesTo(network, HostState::kSuspect) > 0);
  }
}

TEST(MembershipNetwork, HostsRejoinAfterAPartitionHeals) {
  MembershipTestNetwork network(3);
  network.AddHosts(10, "howrah");
  network.Run(seconds(5));
  for (std::size_t i = 5; i < 10; ++i)
    network.SetPartition(i, 1);
  network.Run(seconds(20));
  for (std::size_t i = 0; i < 10; ++i)
    LONGS_EQUAL(5, network.CountHostsSeeing(i, HostState::kDead));
  network.HealPartition();
  network.Run(seconds(10));
  for (std::size_t i = 0; i < 10; ++i) {
    LONGS_EQUAL(9, network.CountHostsSeeing(i, HostState::kAlive));
    CHECK_TRUE(network.controller(i).incarnation() > 1);
  }
}

TEST(MembershipNetwork, APausedHostRejoinsWithALaterIncarnation) {
  MembershipTestNetwork network(4);
  network.AddHosts(8, "howrah");
  network.Run(seconds(5));
  network.Pause(3);
  network.Run(seconds(15));
  LONGS_EQUAL(7, network.CountHostsSeeing(3, HostState::kDead));
  network.ResetObservations();
  network.Resume(3);
  network.Run(seconds(3));
  LONGS_EQUAL(7, network.CountHostsSeeing(3, HostState::kAlive));
  LONGS_EQUAL(1, network.own_incarnation_changes());
  LONGS_EQUAL(2, network.controller(3).incarnation());
  // The resumed host must not conclude from its own pause that others are dead.
  LONGS_EQUAL(0, CountChangesTo(network, HostState::kDead));
}

TEST(MembershipNetwork, AShortPauseDoesNotDeclareAHostDead) {
  MembershipTestNetwork network(5);
  network.AddHosts(8, "howrah");
  network.Run(seconds(5));
  network.ResetObservations();
  network.Pause(3);
  network.Run(milliseconds(1800));
  network.Resume(3);
  network.Run(seconds(6));
  LONGS_EQUAL(0, CountChangesTo(network, HostState::kDead));
  LONGS_EQUAL(7, network.CountHostsSeeing(3, HostState::kAlive));
  LONGS_EQUAL(1, network.controller(3).incarnation());
}

TEST(MembershipNetwork, ARestartedHostReplacesItsEarlierIncarnation) {
  MembershipTestNetwork network(6);
  network.AddHosts(8, "howrah");
  network.Run(seconds(5));
  network.Kill(2);
  network.Run(milliseconds(300));
  network.Restart(2);
  network.Run(seconds(4));
  LONGS_EQUAL(7, network.CountHostsSeeing(2, HostState::kAlive));
  for (std::size_t i = 0; i < 8; ++i) {
    const HostRecord* record = network.blackboard(i).hosts.Find(network.id(2));
    LONGS_EQUAL(2, record->incarnation);
  }
}

TEST(MembershipNetwork, ALeavingHostOwnsNoShardWithinASecond) {
  MembershipTestNetwork network(7);
  network.AddHosts(8, "howrah");
  network.Run(seconds(5));
  network.set_loss(0.1);
  const DataCentreId howrah("howrah");
  const ModelId summary("summary");
  const auto owner_seen_by = [&](std::size_t host) {
    return ShardOwner::OwnerOf(howrah, summary, network.blackboard(host).hosts);
  };
  const HostId owner = *owner_seen_by(0);
  std::size_t leaving = 0;
  while (network.id(leaving) != owner)
    ++leaving;
  network.controller(leaving).StartLeaving(network.now());
  network.Run(seconds(1));
  const HostId next = *owner_seen_by(0);
  CHECK_TRUE(next != owner);
  for (std::size_t i = 0; i < 8; ++i)
    CHECK_TRUE(owner_seen_by(i) == next);
}

TEST(MembershipNetwork, ListsRevisionsAreDisseminated) {
  MembershipTestNetwork network(8);
  network.AddHosts(8, "howrah");
  network.AddHosts(2, "barasat");
  network.Run(seconds(5));
  network.controller(4).SetListsRevision(17);
  network.Run(seconds(3));
  for (std::size_t i = 0; i < network.size(); ++i)
    LONGS_EQUAL(17, network.controller(i).highest_lists_revision());
  network.Run(seconds(10));
  LONGS_EQUAL(17,
              network.blackboard(1).hosts.Find(network.id(4))->lists_revision);
  LONGS_EQUAL(0,
              network.blackboard(1).hosts.Find(network.id(5))->lists_revision);
}

TEST(MembershipNetwork, DataCentresLearnOfEachOtherFromSummaries) {
  MembershipTestNetwork network(9);
  for (const char* it : {"howrah", "barasat", "kolkata-north"})
    network.AddHosts(4, it);
  network.Run(seconds(5));
  for (std::size_t i = 0; i < 4; ++i) {
    network.controller(i).SetModelSummaries({{ModelId("summary"), 2, 3, 4, 5}});
  }
  network.Run(seconds(8));
  for (std::size_t i = 4; i < network.size(); ++i) {
    const auto summary =
        network.controller(i).SummaryOf(DataCentreId("howrah"), network.now());
    CHECK_TRUE(summary.has_value());
    LONGS_EQUAL(4, summary->alive_hosts);
    LONGS_EQUAL(1, summary->models.size());
    LONGS_EQUAL(4, summary->models[0].free_slots);
    CHECK_TRUE(summary->age < seconds(4));
  }
}

TEST(MembershipNetwork, AnUnreachableDataCentreIsSuspectThenDeadThenAlive) {
  MembershipTestNetwork network(10);
  network.AddHosts(4, "howrah");
  network.AddHosts(4, "barasat");
  network.Run(seconds(10));
  CHECK_TRUE(network.StateOf(6, 0) == HostState::kAlive);
  for (std::size_t i = 4; i < 8; ++i)
    network.SetPartition(i, 1);
  network.Run(seconds(20));
  CHECK_TRUE(network.StateOf(6, 0) == HostState::kSuspect);
  network.Run(seconds(15));
  CHECK_TRUE(network.StateOf(6, 0) == HostState::kDead);
  CHECK_TRUE(network.StateOf(6, 5) == HostState::kAlive);
  network.HealPartition();
  network.Run(seconds(8));
  for (std::size_t i = 4; i < 8; ++i)
    CHECK_TRUE(network.StateOf(i, 0) == HostState::kAlive);
}

}  // namespace briarlead
