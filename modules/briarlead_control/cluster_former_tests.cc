#include "briarlead_control/cluster_former.h"

#include <CppUTest/TestHarness.h>

namespace briarlead {

namespace {

template <typename T>
bool Contains(const std::vector<FormingCommand>& commands) {
  for (const FormingCommand& it : commands) {
    if (std::holds_alternative<T>(it))
      return true;
  }
  return false;
}

}  // namespace

TEST_GROUP(ClusterFormer) {
  HostId a_{"a"};
  HostId b_{"b"};
  HostId c_{"c"};
  ClusterFormer first_{a_, {c_, a_, b_}};
  ClusterFormer second_{b_, {c_, a_, b_}};
  TimePoint now_{std::chrono::seconds(1)};
};

TEST(ClusterFormer, FirstMemberFormsAfterAllOthersReportEmptyFolders) {
  first_.Tick(now_);
  LONGS_EQUAL(2, first_.TakeCommands().size());
  first_.OnMessage({b_, false}, now_);
  first_.Tick(now_);
  CHECK_FALSE(first_.decided());
  first_.OnMessage({c_, false}, now_);
  first_.Tick(now_);
  CHECK_TRUE(Contains<FormCluster>(first_.TakeCommands()));
}

TEST(ClusterFormer, FirstMemberWithLostDiskJoinsTheExistingCluster) {
  first_.OnMessage({b_, false}, now_);
  first_.OnMessage({c_, true}, now_);
  first_.Tick(now_);
  const auto commands = first_.TakeCommands();
  CHECK_TRUE(Contains<JoinCluster>(commands));
  CHECK_FALSE(Contains<FormCluster>(commands));
}

TEST(ClusterFormer, ExpiredReportDelaysTheDecision) {
  first_.OnMessage({b_, false}, now_);
  now_ += ClusterFormer::kReportLifetime;
  first_.OnMessage({c_, false}, now_);
  first_.Tick(now_);
  CHECK_FALSE(first_.decided());
}

TEST(ClusterFormer, OtherMembersNeverForm) {
  second_.OnMessage({a_, false}, now_);
  second_.OnMessage({c_, false}, now_);
  second_.Tick(now_);
  CHECK_FALSE(second_.decided());
  second_.OnMessage({a_, true}, now_);
  CHECK_TRUE(Contains<JoinCluster>(second_.TakeCommands()));
}

TEST(ClusterFormer, UnconfiguredHostIsIgnored) {
  first_.OnMessage({HostId("z"), true}, now_);
  CHECK_FALSE(first_.decided());
}

TEST(ClusterFormer, MessageRoundTripsAndMalformedMessagesAreRejected) {
  const FormingMessage message{HostId("a"), true};
  CHECK_TRUE(DecodeFormingMessage(EncodeFormingMessage(message)).value() ==
             message);
  CHECK_TRUE(DecodeFormingMessage("").has_error());
  CHECK_TRUE(DecodeFormingMessage("Xa").has_error());
}

}  // namespace briarlead
