#include "briarlead_consensus/replica.h"

#include <CppUTest/TestHarness.h>

#include "briarlead_consensus/test_cluster.h"

namespace briarlead::consensus {

namespace {

constexpr Duration kElectionLimit = std::chrono::seconds(5);

bool WaitForLeader(TestCluster& cluster) {
  return cluster.RunUntil(
      [&] {
        const std::size_t leader = cluster.Leader();
        return leader < cluster.nodes().size() &&
               cluster.nodes()[leader].replica->HasLease(
                   cluster.LocalTime(cluster.nodes()[leader]));
      },
      kElectionLimit);
}

}  // namespace

TEST_GROUP(Replica) {
  TestCluster cluster_{1, 3};

  void teardown() override {
    STRCMP_EQUAL("", cluster_.violation().c_str());
  }
};

TEST(Replica, ElectsOneLeaderAndReplicates) {
  CHECK_TRUE(WaitForLeader(cluster_));
  for (int it = 0; it < 20; ++it)
    CHECK_TRUE(cluster_.Propose(cluster_.Leader()));
  CHECK_TRUE(cluster_.RunUntil([&] { return cluster_.acknowledged() == 20; },
                               kElectionLimit));
  CHECK_TRUE(
      cluster_.RunUntil([&] { return cluster_.Converged(); }, kElectionLimit));
}

}  // namespace briarlead::consensus
