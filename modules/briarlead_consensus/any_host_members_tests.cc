#include <algorithm>

#include "briarlead_consensus/replica_fixture.h"

namespace briarlead::consensus {

// Groups whose members are not listed anywhere: any host may join.
TEST_GROUP(AnyHostMembers) {
  static constexpr std::size_t kSpare = 4;
  TestCluster cluster_{7, 5, 4};

  void setup() override {
    cluster_.any_host = true;
    cluster_.Run(std::chrono::milliseconds(1));
    cluster_.Crash(kSpare);
  }

  bool KeepUntil(const std::function<bool()>& done, int limit_s) {
    return cluster_.RunUntil(
        [&] {
          cluster_.Keep();
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
  bool Votes(std::size_t node) {
    const auto& voters = Members().voters;
    return std::any_of(voters.begin(), voters.end(), [&](const auto& it) {
      return it.host == cluster_.nodes()[node].host;
    });
  }
  /// Returns a voter that doesn't lead.
  std::size_t Follower() {
    CHECK_TRUE(KeepUntil([&] { return HasLeader(); }, 10));
    return cluster_.Leader() == 0 ? 1 : 0;
  }
  void Finish() {
    STRCMP_EQUAL("", cluster_.violation().c_str());
  }
};

TEST(AnyHostMembers, NewHostTakesThePlaceOfOneThatIsGone) {
  const std::size_t gone = Follower();
  cluster_.Crash(gone);
  cluster_.Run(MembershipManager::kReplacedOnlyAfterSilence);
  cluster_.Restart(kSpare);
  CHECK_TRUE(KeepUntil(
      [&] { return HasLeader() && Votes(kSpare) && !Votes(gone); }, 7));
  CHECK_EQUAL(4U, Members().voters.size());
  Finish();
}

TEST(AnyHostMembers, SilentVoterIsKeptWhileNobodyTakesItsPlace) {
  const std::size_t silent = Follower();
  cluster_.Crash(silent);
  KeepUntil([] { return false; }, 30);
  CHECK_TRUE(HasLeader());
  CHECK_EQUAL(4U, Members().voters.size());
  Finish();
}

TEST(AnyHostMembers, VoterThatLeavesAfterItsSuccessorCameIsDropped) {
  const std::size_t leaving = Follower();
  cluster_.Restart(kSpare);
  CHECK_TRUE(KeepUntil([&] { return HasLeader() && Votes(kSpare); }, 15));
  CHECK_EQUAL(5U, Members().voters.size());
  cluster_.Crash(leaving);
  CHECK_TRUE(KeepUntil([&] { return HasLeader() && !Votes(leaving); }, 30));
  CHECK_EQUAL(4U, Members().voters.size());
  Finish();
}

TEST(AnyHostMembers, MemberThatWasDroppedWhileCutOffJoinsAgain) {
  const std::size_t cut = Follower();
  cluster_.Isolate(cut);
  cluster_.Run(std::chrono::seconds(1));
  cluster_.Restart(kSpare);
  CHECK_TRUE(KeepUntil(
      [&] { return HasLeader() && Votes(kSpare) && !Votes(cut); }, 15));
  cluster_.HealNetwork();
  CHECK_TRUE(KeepUntil([&] { return HasLeader() && Votes(cut); }, 15));
  Finish();
}

TEST(AnyHostMembers, NewLeaderDropsNobodyThatItHasNotHeardYet) {
  using Kind = MembershipChange::Kind;
  cluster_.Restart(kSpare);
  Follower();
  const std::size_t former = cluster_.Leader();
  const ReplicaId spare = cluster_.nodes()[kSpare].replica->identity().replica;
  cluster_.Run(std::chrono::seconds(1));
  cluster_.Drive(former, [&](Replica& replica, TimePoint now) {
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
      node.keeper.NextChange(*node.replica, cluster_.LocalTime(node));
  CHECK_TRUE(change.has_value());
  CHECK_TRUE(change->kind == Kind::kPromote);
  Finish();
}

}  // namespace briarlead::consensus
