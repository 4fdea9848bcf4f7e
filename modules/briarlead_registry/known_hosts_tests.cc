#include "briarlead_registry/known_hosts.h"

#include <set>
#include <string>

// Included last, since it redefines operator new.
#include <CppUTest/TestHarness.h>

namespace briarlead {

namespace {

constexpr std::size_t kLargeListBytes = 350'000;
constexpr int kHosts = 300;

}  // namespace

TEST_GROUP(KnownHosts) {
  KnownHosts hosts_;
  TimePoint now_{std::chrono::seconds(10)};
  const Endpoint entry_{"10.0.0.1", 7001};
  const Endpoint control_{"10.0.0.2", 7000};

  static HostHeartbeat Heartbeat(HostRole role) {
    HostHeartbeat heartbeat;
    heartbeat.role = role;
    heartbeat.data_centre = DataCentreId("a");
    return heartbeat;
  }
};

TEST(KnownHosts, HostsAreListedByRoleUntilTheyTimeOut) {
  CHECK(hosts_.OnHeartbeat(entry_, Heartbeat(HostRole::kEntry), now_));
  CHECK_FALSE(hosts_.OnHeartbeat(entry_, Heartbeat(HostRole::kEntry), now_));
  CHECK(hosts_.OnHeartbeat(control_, Heartbeat(HostRole::kControl), now_));
  CHECK_EQUAL(1U, hosts_.EntryHosts().size());
  CHECK(hosts_.EntryHosts().at(0) == EntryHost({entry_, DataCentreId("a")}));
  CHECK(hosts_.EndpointsWithRole(HostRole::kControl).at(0) == control_);
  now_ += KnownHosts::kHostTimeout / 2;
  hosts_.OnHeartbeat(control_, Heartbeat(HostRole::kControl), now_);
  now_ += KnownHosts::kHostTimeout / 2;
  hosts_.Expire(now_);
  CHECK(hosts_.EndpointsWithRole(HostRole::kEntry).empty());
  CHECK_EQUAL(1U, hosts_.EndpointsWithRole(HostRole::kControl).size());
}

// A list of 350 KB takes 0.3 s on a link of 10 Mbit/s. Sent with every
// heartbeat of every control host, copies pile up for seconds before the news
// of leaving servers, and in the control host's memory.
TEST(KnownHosts, ALargeListIsOnItsWayToAHostOnlyOnce) {
  hosts_.OnHeartbeat(entry_, Heartbeat(HostRole::kEntry), now_);
  CHECK(hosts_.MaySendRoutes(entry_, 7, kLargeListBytes, now_));
  hosts_.OnRoutesSent(entry_, 7, kLargeListBytes, now_);
  for (int i = 0; i < 4; ++i) {
    now_ += std::chrono::milliseconds(400);
    hosts_.OnHeartbeat(entry_, Heartbeat(HostRole::kEntry), now_);
    CHECK_FALSE(hosts_.MaySendRoutes(entry_, 7, kLargeListBytes, now_));
    CHECK_FALSE(hosts_.MaySendRoutes(entry_, 8, kLargeListBytes, now_));
  }
  now_ += std::chrono::milliseconds(400);
  CHECK(hosts_.MaySendRoutes(entry_, 7, kLargeListBytes, now_));
  HostHeartbeat heartbeat = Heartbeat(HostRole::kEntry);
  heartbeat.routes_version = 7;
  hosts_.OnHeartbeat(entry_, heartbeat, now_);
  CHECK_FALSE(hosts_.MaySendRoutes(entry_, 7, kLargeListBytes, now_));
  CHECK(hosts_.MaySendRoutes(entry_, 8, kLargeListBytes, now_));
}

TEST(KnownHosts, LargeListLostWithItsLinkIsSentAgainAtOnce) {
  hosts_.OnHeartbeat(entry_, Heartbeat(HostRole::kEntry), now_);
  hosts_.OnRoutesSent(entry_, 7, kLargeListBytes, now_);
  hosts_.OnLinkFailure(entry_);
  CHECK_TRUE(hosts_.MaySendRoutes(entry_, 7, kLargeListBytes, now_));
}

TEST(KnownHosts, LargeListIsSentAtOnceToAHostThatHasRestarted) {
  HostHeartbeat heartbeat = Heartbeat(HostRole::kEntry);
  heartbeat.routes_version = 6;
  hosts_.OnHeartbeat(entry_, heartbeat, now_);
  hosts_.OnRoutesSent(entry_, 7, kLargeListBytes, now_);
  heartbeat.routes_version = 0;
  hosts_.OnHeartbeat(entry_, heartbeat, now_);
  CHECK_TRUE(hosts_.MaySendRoutes(entry_, 7, kLargeListBytes, now_));
}

// Guards against a list that comes seconds late (CONFIG): what was on its way
// to a process that ended without any list is lost, too.
TEST(KnownHosts, LargeListIsSentAtOnceToAHostThatRestartedWithoutOne) {
  hosts_.OnHeartbeat(entry_, Heartbeat(HostRole::kEntry), now_);
  hosts_.OnDirectoryRequest(entry_, 1, now_);
  hosts_.OnRoutesSent(entry_, 7, kLargeListBytes, now_);
  hosts_.OnHeartbeat(entry_, Heartbeat(HostRole::kEntry), now_);
  hosts_.OnDirectoryRequest(entry_, 1, now_);
  CHECK_FALSE(hosts_.MaySendRoutes(entry_, 7, kLargeListBytes, now_));
  hosts_.OnDirectoryRequest(entry_, 2, now_);
  CHECK_TRUE(hosts_.MaySendRoutes(entry_, 7, kLargeListBytes, now_));
}

// Followers that send a large list must get their turn in a series of changes.
TEST(KnownHosts, HostThatGetsNoListIsBehindSinceTheFirstThatItLacks) {
  HostHeartbeat heartbeat = Heartbeat(HostRole::kEntry);
  hosts_.OnRoutesChanged(6, now_);
  heartbeat.routes_version = 6;
  hosts_.OnHeartbeat(entry_, heartbeat, now_);
  now_ += std::chrono::seconds(60);
  const TimePoint first = now_;
  for (std::uint64_t version = 7; version < 12; ++version) {
    hosts_.OnRoutesChanged(version, now_);
    now_ += std::chrono::milliseconds(300);
    hosts_.OnHeartbeat(entry_, heartbeat, now_);
  }
  CHECK_TRUE(hosts_.BehindSince(entry_, now_) == first);
  heartbeat.routes_version = 10;
  hosts_.OnHeartbeat(entry_, heartbeat, now_);
  CHECK_TRUE(hosts_.BehindSince(entry_, now_) == now_);
}

// Copies for hundreds of hosts at once are more than a control host's memory.
TEST(KnownHosts, LargeListsForAllHostsTogetherAreBounded) {
  const auto peers = [](int host) {
    return Endpoint{"10.1." + std::to_string(host / 200) + "." +
                        std::to_string(host % 200 + 1),
                    7001};
  };
  std::set<int> served;
  int rounds = 0;
  for (; served.size() < kHosts && rounds < 20; ++rounds) {
    std::size_t bytes = 0;
    std::set<int> sent;
    for (int i = 0; i < kHosts; ++i) {
      HostHeartbeat heartbeat = Heartbeat(HostRole::kEntry);
      heartbeat.routes_version = served.contains(i) ? 7 : 0;
      hosts_.OnHeartbeat(peers(i), heartbeat, now_);
      if (!hosts_.MaySendRoutes(peers(i), 7, kLargeListBytes, now_))
        continue;
      hosts_.OnRoutesSent(peers(i), 7, kLargeListBytes, now_);
      bytes += kLargeListBytes;
      sent.insert(i);
    }
    CHECK(bytes <= KnownHosts::kMaxRouteBytesInFlight);
    served.insert(sent.begin(), sent.end());
    now_ += std::chrono::milliseconds(400);
  }
  CHECK_EQUAL(static_cast<std::size_t>(kHosts), served.size());
  // In force everywhere within three seconds.
  CHECK(rounds * 400 <= 3000);
}

TEST(KnownHosts, SmallListsFollowEachOtherAtOnce) {
  hosts_.OnHeartbeat(entry_, Heartbeat(HostRole::kEntry), now_);
  for (std::uint64_t version = 1; version <= 10; ++version) {
    CHECK(hosts_.MaySendRoutes(entry_, version, 10'000, now_));
    hosts_.OnRoutesSent(entry_, version, 10'000, now_);
  }
}

// Guards against hundreds of hosts that each get the list of all hosts with
// every heartbeat, from every control host, while the hosts start.
TEST(KnownHosts, LongListOfHostsIsSentAtAPace) {
  for (int i = 0; i < kHosts; ++i) {
    hosts_.OnHeartbeat({"10.2.0.1", static_cast<std::uint16_t>(i + 1)},
                       Heartbeat(HostRole::kEntry), now_);
  }
  HostHeartbeat heartbeat = Heartbeat(HostRole::kEntry);
  heartbeat.hosts_digest = 5;
  int follower = 0;
  int standby = 0;
  const Endpoint other{"10.0.0.3", 7001};
  for (int i = 0; i < 20; ++i) {
    now_ += std::chrono::milliseconds(400);
    hosts_.OnHeartbeat(entry_, heartbeat, now_);
    hosts_.OnHeartbeat(other, heartbeat, now_);
    hosts_.OnHeartbeat({"10.2.0.2", static_cast<std::uint16_t>(i + 1)},
                       Heartbeat(HostRole::kEntry), now_);
    follower += hosts_.TakeHostsTurn(entry_, true, now_) ? 1 : 0;
    standby += hosts_.TakeHostsTurn(other, false, now_) ? 1 : 0;
  }
  CHECK_EQUAL(7, follower);
  CHECK_EQUAL(2, standby);
}

// Guards against a list that is sent again and again to a host that knows one
// host more from another control host.
TEST(KnownHosts, SameListOfHostsIsSentAgainOnlyAfterALongTime) {
  HostHeartbeat heartbeat = Heartbeat(HostRole::kEntry);
  heartbeat.hosts_digest = 5;
  hosts_.OnHeartbeat(entry_, heartbeat, now_);
  CHECK(hosts_.TakeHostsTurn(entry_, true, now_));
  now_ += std::chrono::seconds(4);
  hosts_.OnHeartbeat(entry_, heartbeat, now_);
  CHECK_FALSE(hosts_.TakeHostsTurn(entry_, true, now_));
  hosts_.OnLinkFailure(entry_);
  CHECK(hosts_.TakeHostsTurn(entry_, true, now_));
  heartbeat.hosts_digest = hosts_.EntryHostsDigest();
  now_ += KnownHosts::kSameHostsInterval;
  hosts_.OnHeartbeat(entry_, heartbeat, now_);
  CHECK_FALSE(hosts_.TakeHostsTurn(entry_, true, now_));
}

TEST(KnownHosts, WeightsAreToldOnceUntilTheyChange) {
  // Guards against messages in fleets of equal hosts, and in each heartbeat.
  const Endpoint other{"10.0.0.3", 7001};
  for (const Endpoint& it : {entry_, other})
    hosts_.OnHeartbeat(it, Heartbeat(HostRole::kEntry), now_);
  CHECK_FALSE(hosts_.TakeCapacitiesFor(entry_, now_).has_value());
  hosts_.OnCapacity(other, 3, now_);
  const auto told = hosts_.TakeCapacitiesFor(entry_, now_);
  CHECK_TRUE(told.has_value());
  CHECK_EQUAL(1U, told->hosts.size());
  CHECK(told->hosts.at(0).peers == other);
  DOUBLES_EQUAL(3, told->hosts.at(0).weight, 0);
  CHECK_FALSE(hosts_.TakeCapacitiesFor(entry_, now_).has_value());
  // What was on its way is lost with the link.
  hosts_.OnLinkFailure(entry_);
  CHECK_TRUE(hosts_.TakeCapacitiesFor(entry_, now_).has_value());
}

TEST(KnownHosts, HostThatReportsNoWeightAnyMoreHasWeightOne) {
  // Guards against the weight of a former process at the same address.
  hosts_.OnHeartbeat(entry_, Heartbeat(HostRole::kEntry), now_);
  hosts_.OnCapacity(entry_, 3, now_);
  CHECK_EQUAL(1U, hosts_.TakeCapacitiesFor(entry_, now_)->hosts.size());
  now_ += KnownHosts::kHostTimeout;
  hosts_.OnHeartbeat(entry_, Heartbeat(HostRole::kEntry), now_);
  hosts_.Expire(now_);
  CHECK(hosts_.TakeCapacitiesFor(entry_, now_)->hosts.empty());
}

}  // namespace briarlead
