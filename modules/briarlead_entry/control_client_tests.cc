#include "briarlead_entry/control_client.h"

#include <CppUTest/TestHarness.h>

namespace briarlead {

TEST_GROUP(ControlClient) {
  Endpoint a_{"127.0.0.1", 1};
  Endpoint b_{"127.0.0.1", 2};
  ControlClient client_{{a_, b_}};
  TimePoint now_{std::chrono::seconds(1)};

  Endpoint HostOfNextRequest() {
    client_.SendRequest(ReadLists{}, now_);
    return client_.TakeCommands().back().control_host;
  }
};

TEST(ControlClient, FollowsTheLeaderNamedInARefusal) {
  client_.OnAnswer(b_, HostId("b"), {0, ControlStatus{}});
  const std::uint64_t number = client_.SendRequest(ReadLists{}, now_);
  CHECK_TRUE(client_.TakeCommands()[0].control_host == a_);
  RequestRefused refused{RefusalReason::kNotLeader};
  refused.leader = HostId("b");
  CHECK_TRUE(client_.OnAnswer(a_, HostId("a"), {number, refused}));
  CHECK_TRUE(HostOfNextRequest() == b_);
}

TEST(ControlClient, ASecondAnswerIsIgnored) {
  const std::uint64_t number = client_.SendRequest(ReadLists{}, now_);
  CHECK_TRUE(client_.OnAnswer(a_, HostId("a"), {number, ClaimStatus{}}));
  CHECK_FALSE(client_.OnAnswer(a_, HostId("a"), {number, ClaimStatus{}}));
}

TEST(ControlClient, AnUnresponsiveLeaderIsReplacedAndItsRequestsReported) {
  const std::uint64_t number = client_.SendRequest(ReadLists{}, now_);
  client_.Tick({}, now_ + std::chrono::milliseconds(100));
  CHECK_TRUE(client_.TakeUnanswered().empty());
  client_.Tick({}, now_ + ControlClient::kAnswerTimeout);
  const auto unanswered = client_.TakeUnanswered();
  LONGS_EQUAL(1, unanswered.size());
  LONGS_EQUAL(number, unanswered[0]);
  client_.TakeCommands();
  CHECK_TRUE(HostOfNextRequest() == b_);
}

TEST(ControlClient, AFailedLinkReportsTheRequestsSentOverIt) {
  client_.SendRequest(ReadLists{}, now_);
  client_.OnLinkFailure(b_);
  CHECK_TRUE(client_.TakeUnanswered().empty());
  client_.OnLinkFailure(a_);
  LONGS_EQUAL(1, client_.TakeUnanswered().size());
}

TEST(ControlClient, HeartbeatsGoToEveryControlHost) {
  client_.Tick({}, now_);
  LONGS_EQUAL(4, client_.TakeCommands().size());
  client_.Tick({}, now_);
  LONGS_EQUAL(0, client_.TakeCommands().size());
}

}  // namespace briarlead
