#include <algorithm>

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

TEST(AnyHostMembers, SilentVoterOfFourIsKeptWithoutAReplacement) {
  const std::size_t silent = Follower();
  cluster_.Crash(silent);
  RunManagedUntil([] { return false; }, 30);
  CHECK_TRUE(HasLeader());
  CHECK_EQUAL(4U, Members().voters.size());
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
  CHECK_TRUE(change.has_value());
  CHECK_TRUE(change->kind == Kind::kPromote);
  CheckNoViolation();
}

}  // namespace briarlead::consensus
