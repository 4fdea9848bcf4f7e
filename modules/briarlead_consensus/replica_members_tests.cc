#include "briarlead_consensus/replica_fixture.h"

namespace briarlead::consensus {

TEST_GROUP_BASE(ReplicaMembers, ReplicaFixture){};

TEST(ReplicaMembers, OneHostStartsAClusterThatTheOthersJoin) {
  TestCluster cluster(7, 3, 1);
  const bool grown = cluster.RunUntil(
      [&] {
        cluster.ProposeMembershipChanges();
        return cluster.Converged();
      },
      kRepairWaitLimit);
  CHECK_TRUE(grown);
  STRCMP_EQUAL("", cluster.violation().c_str());
}

TEST(ReplicaMembers, SecondDiskIsLostRightAfterTheFirstIsReplaced) {
  const std::size_t leader = WaitForLeader();
  ProposeAndWait(50);
  const std::size_t first = Other(leader);
  cluster_.Crash(first);
  ProposeAndWait(5);
  cluster_.LoseDisk(first);
  cluster_.Restart(first);
  WaitUntilRepaired();
  const std::size_t acknowledged = cluster_.acknowledged();
  const std::size_t second = 3 - leader - first;
  cluster_.Crash(second);
  cluster_.LoseDisk(second);
  cluster_.Crash(leader);
  cluster_.Restart(leader);
  WaitForLeader();
  ProposeAndWait(5);
  cluster_.Restart(second);
  WaitUntilRepaired();
  CHECK_TRUE(cluster_.acknowledged() >= acknowledged);
}

// The lost disk may have held a vote or entries that others rely on.
TEST(ReplicaMembers, ReplicaWithANewDiskNeverVotesUnderTheOldId) {
  WaitForLeader();
  cluster_.Run(seconds(1));
  const ReplicaId old = At(0).identity().replica;
  cluster_.Crash(0);
  cluster_.LoseDisk(0);
  cluster_.Restart(0);
  cluster_.Run(seconds(1));
  Message message{At(0).identity().cluster, At(1).identity().replica, old, 50,
                  VoteRequest{false, true, 100, 49}};
  cluster_.CallReplica(0, [&](Replica& replica, TimePoint now) {
    replica.OnMessage(message, now);
    CHECK_TRUE(replica.term() < 50);
    CHECK_TRUE(replica.TakeCommands().empty());
  });
}

TEST(ReplicaMembers, MembersChangeOneAtATimeAndOnlyWhenSafe) {
  const std::size_t leader = WaitForLeader();
  cluster_.Run(seconds(1));
  using Kind = MembershipChange::Kind;
  const ReplicaId fresh{HostId("host9"), 99};
  cluster_.CallReplica(leader, [&](Replica& replica, TimePoint now) {
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
  cluster_.CallReplica(leader, [&](Replica& replica, TimePoint now) {
    CHECK_TRUE(replica.ProposeMembershipChange({Kind::kPromote, fresh}, now)
                   .error()
                   .code == ErrorCode::kConflict);
    CHECK_TRUE(replica.members().IsLearner(fresh));
    CHECK_TRUE(replica.ProposeMembershipChange({Kind::kRemove, fresh}, now));
  });
}

TEST(ReplicaMembers, NewLeaderWaitsForAnEntryOfItsTermBeforeAChange) {
  CHECK_TRUE(
      cluster_.RunUntil([&] { return cluster_.Leader() < 3; }, kWaitLimit));
  const std::size_t leader = cluster_.Leader();
  const ReplicaId fresh{HostId("host9"), 99};
  cluster_.CallReplica(leader, [&](Replica& replica, TimePoint now) {
    const auto proposed = replica.ProposeMembershipChange(
        {MembershipChange::Kind::kAddLearner, fresh}, now);
    CHECK_TRUE(proposed.error().code == ErrorCode::kUnavailable);
  });
}

TEST(ReplicaMembers, RunningReplicaIsNotReplacedByAnotherOfItsHost) {
  const std::size_t leader = WaitForLeader();
  cluster_.Run(seconds(1));
  const ReplicaId other_replica{cluster_.nodes()[Other(leader)].host, 77};
  TestCluster::Node& node = cluster_.nodes()[leader];
  const TimePoint now = cluster_.LocalTime(node);
  node.manager.OnJoinRequested({HostId("stranger"), 78}, now);
  CHECK_FALSE(node.manager.NextChange(At(leader), now).has_value());
  node.manager.OnJoinRequested(other_replica, now);
  CHECK_FALSE(node.manager.NextChange(At(leader), now).has_value());
  cluster_.Crash(Other(leader));
  cluster_.Run(seconds(4));
  const TimePoint later = cluster_.LocalTime(node);
  CHECK_TRUE(node.manager.NextChange(At(leader), later).has_value());
}

}  // namespace briarlead::consensus
