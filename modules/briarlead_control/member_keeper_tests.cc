#include "briarlead_control/member_keeper.h"

#include <CppUTest/TestHarness.h>

namespace briarlead {

using consensus::Membership;
using consensus::MemberStatus;
using consensus::ReplicaId;
using Kind = consensus::MembershipChange::Kind;

TEST_GROUP(MemberKeeper) {
  MemberKeeper keeper_{{HostId("a"), HostId("b"), HostId("c")}};
  ReplicaId a_{HostId("a"), 1};
  ReplicaId b_{HostId("b"), 2};
  ReplicaId c_old_{HostId("c"), 3};
  ReplicaId c_new_{HostId("c"), 4};

  std::optional<consensus::MembershipChange> Next(const Membership& members,
                                                  consensus::LogIndex synced) {
    const std::vector<MemberStatus> statuses = {
        {c_new_, false, synced, std::nullopt}};
    return keeper_.NextChange(members, statuses, 1000);
  }
};

TEST(MemberKeeper, ALostDiskComesBackStepByStepUnderItsNewIdentity) {
  keeper_.OnJoinRequested(c_new_);
  const auto add = Next({{a_, b_, c_old_}, {}}, 0);
  CHECK_TRUE(add->kind == Kind::kAddLearner && add->replica == c_new_);
  CHECK_FALSE(Next({{a_, b_, c_old_}, {c_new_}}, 100).has_value());
  const auto remove = Next({{a_, b_, c_old_}, {c_new_}}, 1000);
  CHECK_TRUE(remove->kind == Kind::kRemove && remove->replica == c_old_);
  const auto promote = Next({{a_, b_}, {c_new_}}, 1000);
  CHECK_TRUE(promote->kind == Kind::kPromote && promote->replica == c_new_);
  CHECK_FALSE(Next({{a_, b_, c_new_}, {}}, 1000).has_value());
}

TEST(MemberKeeper, StrangersAreNotAdded) {
  keeper_.OnJoinRequested({HostId("z"), 1});
  CHECK_FALSE(Next({{a_}, {}}, 0).has_value());
}

TEST(MemberKeeper, ANewLeaderGoesOnWithALearnerThatItFinds) {
  const auto change = Next({{a_, b_}, {c_new_}}, 990);
  CHECK_TRUE(change->kind == Kind::kPromote);
}

TEST(MemberKeeper, ALearnerThatLostItsDiskAgainIsReplaced) {
  keeper_.OnJoinRequested(c_new_);
  const auto change = Next({{a_, b_}, {c_old_}}, 0);
  CHECK_TRUE(change->kind == Kind::kRemove && change->replica == c_old_);
}

}  // namespace briarlead
