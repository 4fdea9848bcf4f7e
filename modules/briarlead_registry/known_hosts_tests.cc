#include "briarlead_registry/known_hosts.h"

// Included last, since it redefines operator new.
#include <CppUTest/TestHarness.h>

namespace briarlead {

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

}  // namespace briarlead
