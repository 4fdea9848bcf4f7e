#include "briarlead_membership/shard_owner.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>

namespace briarlead {

TEST_GROUP(ShardOwner) {
  DataCentreId howrah_{"howrah"};
  HostTable hosts_;

  void AddHosts(int count) {
    for (int i = 0; i < count; ++i) {
      HostRecord record;
      record.id = HostId("entry-" + std::to_string(i));
      record.data_centre = howrah_;
      hosts_.Put(record);
    }
  }
};

TEST(ShardOwner, AShardInAnEmptyDataCentreHasNoOwner) {
  AddHosts(3);
  CHECK_FALSE(
      ShardOwner::OwnerOf(DataCentreId("barasat"), ModelId("summary"), hosts_));
}

TEST(ShardOwner, OnlyShardsOfADeadHostMoveEachToTheNextHost) {
  AddHosts(10);
  for (int i = 0; i < 200; ++i) {
    const ModelId model("model-" + std::to_string(i));
    const auto order = ShardOwner::RankHosts(howrah_, model, hosts_, 3);
    HostTable without = hosts_;
    without.Find(HostId("entry-4"))->state = HostState::kDead;
    const auto owner = ShardOwner::OwnerOf(howrah_, model, without);
    CHECK_TRUE(*owner == (order[0] == HostId("entry-4") ? order[1] : order[0]));
  }
}

TEST(ShardOwner, SuspectHostsOwnShardsAndLeavingHostsDoNot) {
  AddHosts(1);
  HostRecord* host = hosts_.Find(HostId("entry-0"));
  const ModelId model("summary");
  host->state = HostState::kSuspect;
  CHECK_TRUE(ShardOwner::OwnerOf(howrah_, model, hosts_).has_value());
  host->state = HostState::kLeaving;
  CHECK_FALSE(ShardOwner::OwnerOf(howrah_, model, hosts_).has_value());
}

TEST(ShardOwner, KeysAreDistributedEvenly) {
  AddHosts(10);
  std::map<HostId, int> owned;
  for (int i = 0; i < 10000; ++i) {
    ++owned[ShardOwner::RankHostsByKey(howrah_, "engine-" + std::to_string(i),
                                       hosts_, 1)
                .front()];
  }
  LONGS_EQUAL(10, owned.size());
  for (const auto& [host, count] : owned)
    CHECK_TRUE(count > 850 && count < 1150);
}

}  // namespace briarlead
