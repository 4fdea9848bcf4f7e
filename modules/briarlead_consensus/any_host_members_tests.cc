#include <algorithm>
#include <string>

#include "briarlead_consensus/replica_fixture.h"

namespace briarlead::consensus {

// Clusters without a list of admitted hosts: any host may join.
TEST_GROUP(AnyHostMembers) {
  static constexpr std::size_t kSpareHost = 4;
  TestCluster cluster_{7, 5, 4};

  void setup() override {
    cluster_.any_host = true;
    cluster_.Run(std::chrono::milliseconds(1));
    cluster_.Crash(kSpareHost);
  }

  /// Runs with membership changes until `done` returns true, for at most
  /// `limit_s` seconds; returns whether it did.
  bool RunManagedUntil(const std::function<bool()>& done, int limit_s) {
    return cluster_.RunUntil(
        [&] {
          cluster_.ProposeMembershipChanges();
          return done();
        },
        std::chrono::seconds(limit_s));
  }
  const Membership& Members() {
    return cluster_.nodes()[cluster_.Leader()].replica->members();
  }
  bool HasLeader() {
    return cluster_.Leader() < cluster_.nodes().size();
  }
  bool IsVoter(std::size_t node) {
    const auto& voters = Members().voters;
    return std::any_of(voters.begin(), voters.end(), [&](const auto& it) {
      return it.host == cluster_.nodes()[node].host;
    });
  }
  /// Runs until there is a leader; returns a voter that isn't the leader.
  std::size_t Follower() {
    CHECK_TRUE(RunManagedUntil([&] { return HasLeader(); }, 10));
    return cluster_.Leader() == 0 ? 1 : 0;
  }
  /// Proposes an entry on the leader; returns whether any was acknowledged
  /// since the last call that returned true.
  bool Commits() {
    const std::size_t before = acknowledged_;
    if (HasLeader())
      cluster_.Propose(cluster_.Leader());
    acknowledged_ = cluster_.acknowledged();
    return acknowledged_ > before;
  }
  std::size_t acknowledged_ = 0;

  void CheckNoViolation() {
    STRCMP_EQUAL("", cluster_.violation().c_str());
  }
};

TEST(AnyHostMembers, NewHostReplacesACrashedVoter) {
  const std::size_t gone = Follower();
  cluster_.Crash(gone);
  cluster_.Run(MembershipManager::kReplaceAfterSilence);
  cluster_.Restart(kSpareHost);
  CHECK_TRUE(RunManagedUntil(
      [&] { return HasLeader() && IsVoter(kSpareHost) && !IsVoter(gone); }, 7));
  CHECK_EQUAL(4U, Members().voters.size());
  CheckNoViolation();
}

TEST(AnyHostMembers, SilentVoterOfFourIsRemovedSoThatAnotherMayFail) {
  const std::size_t silent = Follower();
  cluster_.Crash(silent);
  CHECK_TRUE(
      RunManagedUntil([&] { return HasLeader() && !IsVoter(silent); }, 30));
  CHECK_EQUAL(3U, Members().voters.size());
  cluster_.Crash(cluster_.Leader());
  CHECK_TRUE(RunManagedUntil([&] { return HasLeader(); }, 10));
  CHECK_TRUE(RunManagedUntil([&] { return Commits(); }, 10));
  CHECK_EQUAL(3U, Members().voters.size());
  cluster_.Restart(silent);
  CHECK_TRUE(
      RunManagedUntil([&] { return HasLeader() && IsVoter(silent); }, 15));
  CheckNoViolation();
}

TEST(AnyHostMembers, VoterThatCrashesAfterAnotherHostJoinedIsRemoved) {
  const std::size_t leaving = Follower();
  cluster_.Restart(kSpareHost);
  CHECK_TRUE(
      RunManagedUntil([&] { return HasLeader() && IsVoter(kSpareHost); }, 15));
  CHECK_EQUAL(5U, Members().voters.size());
  cluster_.Crash(leaving);
  CHECK_TRUE(
      RunManagedUntil([&] { return HasLeader() && !IsVoter(leaving); }, 30));
  CHECK_EQUAL(4U, Members().voters.size());
  CheckNoViolation();
}

TEST(AnyHostMembers, NewHostThatKnowsOnlyFollowersJoins) {
  Follower();
  cluster_.filter = [&](const Message& message) {
    return !std::holds_alternative<JoinRequest>(message.body) ||
           message.to.incarnation != 0 || !HasLeader() ||
           message.to.host != cluster_.nodes()[cluster_.Leader()].host;
  };
  cluster_.Restart(kSpareHost);
  CHECK_TRUE(
      RunManagedUntil([&] { return HasLeader() && IsVoter(kSpareHost); }, 5));
  CheckNoViolation();
}

TEST(AnyHostMembers, MemberRemovedWhileIsolatedRejoins) {
  const std::size_t cut = Follower();
  cluster_.Isolate(cut);
  cluster_.Run(std::chrono::seconds(1));
  cluster_.Restart(kSpareHost);
  CHECK_TRUE(RunManagedUntil(
      [&] { return HasLeader() && IsVoter(kSpareHost) && !IsVoter(cut); }, 15));
  cluster_.HealNetwork();
  CHECK_TRUE(RunManagedUntil([&] { return HasLeader() && IsVoter(cut); }, 15));
  CheckNoViolation();
}

TEST(AnyHostMembers, NewLeaderRemovesNoVoterThatHadNoTimeToAnswer) {
  using Kind = MembershipChange::Kind;
  cluster_.Restart(kSpareHost);
  Follower();
  const std::size_t former = cluster_.Leader();
  const ReplicaId spare =
      cluster_.nodes()[kSpareHost].replica->identity().replica;
  cluster_.Run(std::chrono::seconds(1));
  cluster_.CallReplica(former, [&](Replica& replica, TimePoint now) {
    CHECK_TRUE(replica.ProposeMembershipChange({Kind::kAddLearner, spare}, now)
                   .has_value());
  });
  cluster_.Run(std::chrono::seconds(1));
  cluster_.Freeze(former);
  CHECK_TRUE(cluster_.RunUntil(
      [&] { return HasLeader() && cluster_.Leader() != former; },
      std::chrono::seconds(5)));
  cluster_.Run(std::chrono::milliseconds(300));
  TestCluster::Node& node = cluster_.nodes()[cluster_.Leader()];
  const auto change =
      node.manager.NextChange(*node.replica, cluster_.LocalTime(node));
  CHECK_TRUE(!change.has_value());
  std::size_t most_voters = 0;
  CHECK_TRUE(RunManagedUntil(
      [&] {
        if (HasLeader())
          most_voters = std::max(most_voters, Members().voters.size());
        return HasLeader() && IsVoter(kSpareHost) && !IsVoter(former);
      },
      5));
  CHECK_EQUAL(4U, most_voters);
  CheckNoViolation();
}

TEST(AnyHostMembers, LearnerThatIsGoneIsNotPromoted) {
  using Kind = MembershipChange::Kind;
  cluster_.Restart(kSpareHost);
  Follower();
  const std::size_t leader = cluster_.Leader();
  const ReplicaId spare =
      cluster_.nodes()[kSpareHost].replica->identity().replica;
  cluster_.Run(std::chrono::seconds(1));
  cluster_.CallReplica(leader, [&](Replica& replica, TimePoint now) {
    CHECK_TRUE(replica.ProposeMembershipChange({Kind::kAddLearner, spare}, now)
                   .has_value());
  });
  cluster_.Run(std::chrono::seconds(1));
  cluster_.Crash(kSpareHost);
  cluster_.Run(std::chrono::seconds(1));
  TestCluster::Node& node = cluster_.nodes()[leader];
  const auto change =
      node.manager.NextChange(*node.replica, cluster_.LocalTime(node));
  CHECK_FALSE(change.has_value());
  CheckNoViolation();
}

// Three control hosts, of which one may be lost at a time, and a spare host.
TEST_GROUP(ThreeHostGroup) {
  /// Time after the start of a successor within which the group bears the next
  /// loss.
  static constexpr Duration kRepairTime = std::chrono::seconds(4);
  static constexpr std::size_t kSpareHost = 3;

  /// What happens to one host of the group.
  enum class Loss { kReplaced, kDisk, kFrozen, kIsolated };

  /// Lets `loss` happen to `node`; its successor starts after `gap`.
  static void Inflict(TestCluster & cluster, Loss loss, std::size_t node,
                      Duration gap) {
    const std::size_t successor = loss == Loss::kReplaced ? kSpareHost : node;
    if (loss == Loss::kFrozen)
      cluster.Freeze(node);
    else if (loss == Loss::kIsolated)
      cluster.Isolate(node);
    else
      cluster.Crash(node);
    if (loss == Loss::kDisk)
      cluster.LoseDisk(node);
    cluster.After(gap, [&cluster, loss, node, successor] {
      if (loss == Loss::kFrozen)
        cluster.Thaw(node);
      else if (loss == Loss::kIsolated)
        cluster.HealNetwork();
      else
        cluster.Restart(successor);
    });
  }

  static bool RunManaged(TestCluster & cluster, Duration time,
                         const std::function<bool()>& done) {
    return cluster.RunUntil(
        [&] {
          cluster.ProposeMembershipChanges();
          return done();
        },
        time);
  }

  static bool Commits(TestCluster & cluster) {
    const std::size_t before = cluster.acknowledged();
    return RunManaged(cluster, std::chrono::seconds(5), [&] {
      if (cluster.Leader() < cluster.nodes().size())
        cluster.Propose(cluster.Leader());
      return cluster.acknowledged() > before;
    });
  }

  /// Plays two losses with a repair between them; returns whether the group
  /// commits after the second one.
  static bool BearsNextLoss(std::uint64_t seed, Loss first, bool of_leader,
                            Duration gap) {
    TestCluster cluster{seed, 4, 3};
    cluster.any_host = true;
    cluster.Run(std::chrono::milliseconds(1));
    cluster.Crash(kSpareHost);
    if (!Commits(cluster))
      return false;
    const std::size_t leader = cluster.Leader();
    const std::size_t lost = of_leader ? leader : (leader + 1) % 3;
    Inflict(cluster, first, lost, gap);
    RunManaged(cluster, gap + kRepairTime, [] { return false; });
    cluster.Crash((lost + 1) % 3);
    const bool commits = Commits(cluster);
    return commits && cluster.violation().empty();
  }
};

TEST(ThreeHostGroup, BearsTheNextLossOnceAnyLossIsRepaired) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    for (const Loss loss :
         {Loss::kReplaced, Loss::kDisk, Loss::kFrozen, Loss::kIsolated}) {
      for (const bool of_leader : {false, true}) {
        for (const int gap_ms : {500, 1500, 2500, 3500, 5500}) {
          const bool borne = BearsNextLoss(seed, loss, of_leader,
                                           std::chrono::milliseconds(gap_ms));
          const std::string what = "seed " + std::to_string(seed) + ", loss " +
                                   std::to_string(static_cast<int>(loss)) +
                                   ", of leader " + std::to_string(of_leader) +
                                   ", gap " + std::to_string(gap_ms);
          CHECK_TRUE_TEXT(borne, what.c_str());
        }
      }
    }
  }
}

}  // namespace briarlead::consensus
