#include "briarlead_consensus/replica_fixture.h"

namespace briarlead::consensus {

TEST_GROUP_BASE(ReplicaMembers, ReplicaFixture){};

TEST(ReplicaMembers, OneHostStartsAClusterThatTheOthersJoin) {
  TestCluster cluster(7, 3, 1);
  const bool grown = cluster.RunUntil(
      [&] {
        cluster.Keep();
        return cluster.Converged();
      },
      kRepairLimit);
  CHECK_TRUE(grown);
  STRCMP_EQUAL("", cluster.violation().c_str());
}

TEST(ReplicaMembers, SecondHostIsLostRightAfterTheRepairOfTheFirst) {
  const std::size_t leader = ElectLeader();
  Acknowledge(50);
  const std::size_t first = Other(leader);
  cluster_.Crash(first);
  Acknowledge(5);
  cluster_.LoseDisk(first);
  cluster_.Restart(first);
  Repair();
  const std::size_t acknowledged = cluster_.acknowledged();
  const std::size_t second = 3 - leader - first;
  cluster_.Crash(second);
  cluster_.LoseDisk(second);
  cluster_.Crash(leader);
  cluster_.Restart(leader);
  ElectLeader();
  Acknowledge(5);
  cluster_.Restart(second);
  Repair();
  CHECK_TRUE(cluster_.acknowledged() >= acknowledged);
}

TEST(ReplicaMembers, EmptyDiskNeverVotesUnderTheOldName) {
  ElectLeader();
  cluster_.Run(seconds(1));
  const ReplicaId old = At(0).identity().replica;
  cluster_.Crash(0);
  cluster_.LoseDisk(0);
  cluster_.Restart(0);
  cluster_.Run(seconds(1));
  Message message{At(0).identity().cluster, At(1).identity().replica, old, 50,
                  VoteRequest{false, true, 100, 49}};
  cluster_.Drive(0, [&](Replica& replica, TimePoint now) {
    replica.OnMessage(message, now);
    CHECK_TRUE(replica.term() < 50);
    CHECK_TRUE(replica.TakeCommands().empty());
  });
}

TEST(ReplicaMembers, MembersChangeOneAtATimeAndOnlyWhenSafe) {
  const std::size_t leader = ElectLeader();
  cluster_.Run(seconds(1));
  using Kind = MembershipChange::Kind;
  const ReplicaId fresh{HostId("host9"), 99};
  cluster_.Drive(leader, [&](Replica& replica, TimePoint now) {
    const auto propose = [&](Kind kind, const ReplicaId& id) {
      return replica.ProposeMembershipChange({kind, id}, now);
    };
    CHECK_TRUE(
        propose(Kind::kRemove, replica.identity().replica).error().code ==
        ErrorCode::kInvalidArgument);
    CHECK_TRUE(propose(Kind::kAddLearner, fresh));
    CHECK_TRUE(propose(Kind::kAddLearner, ReplicaId{HostId("host8"), 98})
                   .error()
                   .code == ErrorCode::kConflict);
  });
  cluster_.Run(seconds(1));
  cluster_.Drive(leader, [&](Replica& replica, TimePoint now) {
    CHECK_TRUE(replica.ProposeMembershipChange({Kind::kPromote, fresh}, now)
                   .error()
                   .code == ErrorCode::kConflict);
    CHECK_TRUE(replica.members().IsLearner(fresh));
    CHECK_TRUE(replica.ProposeMembershipChange({Kind::kRemove, fresh}, now));
  });
}

TEST(ReplicaMembers, NewLeaderWaitsForAnEntryOfItsTermBeforeAChange) {
  CHECK_TRUE(cluster_.RunUntil([&] { return cluster_.Leader() < 3; }, kLimit));
  const std::size_t leader = cluster_.Leader();
  const ReplicaId fresh{HostId("host9"), 99};
  cluster_.Drive(leader, [&](Replica& replica, TimePoint now) {
    const auto proposed = replica.ProposeMembershipChange(
        {MembershipChange::Kind::kAddLearner, fresh}, now);
    CHECK_TRUE(proposed.error().code == ErrorCode::kUnavailable);
  });
}

TEST(ReplicaMembers, RunningReplicaIsNotReplacedByItsHostsOther) {
  const std::size_t leader = ElectLeader();
  cluster_.Run(seconds(1));
  const ReplicaId twin{cluster_.nodes()[Other(leader)].host, 77};
  TestCluster::Node& node = cluster_.nodes()[leader];
  const TimePoint now = cluster_.LocalTime(node);
  node.keeper.OnJoinRequested({HostId("stranger"), 78}, now);
  CHECK_FALSE(node.keeper.NextChange(At(leader), now).has_value());
  node.keeper.OnJoinRequested(twin, now);
  CHECK_FALSE(node.keeper.NextChange(At(leader), now).has_value());
  cluster_.Crash(Other(leader));
  cluster_.Run(seconds(4));
  const TimePoint later = cluster_.LocalTime(node);
  CHECK_TRUE(node.keeper.NextChange(At(leader), later).has_value());
}

}  // namespace briarlead::consensus
