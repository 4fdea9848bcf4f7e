#include "briarlead_forward/forward_fixture.h"

namespace briarlead {

namespace {

constexpr ResponseFacts kOk = {200, false, false, true};
constexpr ResponseFacts kError = {500, false, false, true};
constexpr ResponseFacts kNotRun = {503, true, false, false};
constexpr ResponseFacts kWrongServer = {421, true, true, false};
constexpr ResponseFacts kForged = {200, false, false, false};

}  // namespace

// The table of forward_flow.h, entry by entry, for plain requests.
TEST_GROUP(ForwardFlow) {
  ForwardFixture it_;
  std::unique_ptr<ForwardFlow> flow_;
  std::vector<ForwardCommand> commands_;

  void Take() {
    commands_ = flow_->TakeCommands();
  }

  /// Starts a request and returns where it was sent.
  std::string Start(const char* route) {
    it_.Announce("s1", "desk");
    it_.Announce("s2", "desk");
    flow_ = it_.MakeFlow(route);
    flow_->Start(it_.now_);
    return SentTo();
  }
  std::string SentTo() {
    Take();
    const auto sent = Only<SendToServer>(commands_);
    return sent.empty() ? "" : sent.back().server.id.value();
  }
  int OwnStatus() {
    const auto own = Only<AnswerOwn>(commands_);
    return own.empty() ? 0 : own.back().status;
  }
};

TEST(ForwardFlow, WholeResponseIsPassedOn) {
  Start("unsafe");
  flow_->OnHead(1, kOk, it_.now_);
  flow_->OnBody(1, "abc", it_.now_);
  flow_->OnComplete(1, it_.now_);
  Take();
  CHECK(Only<AnswerWhole>(commands_).at(0).body == "abc");
  CHECK(flow_->done());
}

TEST(ForwardFlow, WithoutConnectionAnyRequestGoesElsewhere) {
  const std::string first = Start("unsafe");
  flow_->OnFailure(1, false, it_.now_);
  const std::string second = SentTo();
  CHECK(!second.empty() && second != first);
}

TEST(ForwardFlow, WhatTheServerDidNotRunGoesElsewhere) {
  const std::string first = Start("unsafe");
  flow_->OnHead(1, kNotRun, it_.now_);
  const std::string second = SentTo();
  CHECK(!second.empty() && second != first);
}

TEST(ForwardFlow, AServerAtAReusedAddressIsNotAskedAgain) {
  const std::string first = Start("unsafe");
  flow_->OnHead(1, kWrongServer, it_.now_);
  SentTo();
  for (int i = 0; i < 20; ++i) {
    auto other = it_.MakeFlow("unsafe");
    other->Start(it_.now_);
    const auto sent = Only<SendToServer>(other->TakeCommands());
    CHECK(sent.at(0).server.id.value() != first);
  }
}

TEST(ForwardFlow, NotRunAnywhereIsAnsweredWithWhenToComeBack) {
  Start("unsafe");
  flow_->OnHead(1, kNotRun, it_.now_);
  flow_->OnHead(2, kNotRun, it_.now_);
  Take();
  CHECK_EQUAL(503, OwnStatus());
  CHECK(Only<AnswerOwn>(commands_).at(0).retry_after.has_value());
}

TEST(ForwardFlow, WhatMayHaveRunIsNeverAnswered503) {
  Start("unsafe");
  flow_->OnFailure(1, true, it_.now_);
  Take();
  CHECK(Only<SendToServer>(commands_).empty());
  CHECK_EQUAL(502, OwnStatus());
}

TEST(ForwardFlow, ARunThatWasRefusedElsewhereIsStillNever503) {
  Start("safe");
  flow_->OnFailure(1, true, it_.now_);
  flow_->OnHead(2, kNotRun, it_.now_);
  Take();
  CHECK_EQUAL(502, OwnStatus());
}

TEST(ForwardFlow, RepeatableRequestIsSentAgainAfterABreak) {
  const std::string first = Start("safe");
  flow_->OnFailure(1, true, it_.now_);
  const std::string second = SentTo();
  CHECK(!second.empty() && second != first);
}

TEST(ForwardFlow, NoMoreRunsThanTheRouteAllows) {
  it_.Announce("s3", "desk");
  Start("safe");
  flow_->OnFailure(1, true, it_.now_);
  CHECK(!SentTo().empty());
  flow_->OnFailure(2, true, it_.now_);
  CHECK(SentTo().empty());
  CHECK_EQUAL(502, OwnStatus());
}

TEST(ForwardFlow, NoMoreSendsThanTheBudgetAllows) {
  it_.budget_ = RetryBudget({0, 0, std::chrono::seconds(10)});
  Start("safe");
  flow_->OnFailure(1, true, it_.now_);
  CHECK(SentTo().empty());
}

// Found on a heavy day: two engines crashed, and requests that only found no
// connection were refused, since all had drawn on the same budget.
TEST(ForwardFlow, SendWithoutConnectionTakesNothingOfTheBudget) {
  it_.budget_ = RetryBudget({0, 0, std::chrono::seconds(10)});
  Start("unsafe");
  flow_->OnFailure(1, false, it_.now_);
  CHECK_FALSE(SentTo().empty());
  flow_->OnHead(2, kNotRun, it_.now_);
  CHECK(SentTo().empty());
  CHECK_EQUAL(503, OwnStatus());
}

TEST(ForwardFlow, WhatIsHeldOfTheBudgetAndNotUsedIsGivenBack) {
  it_.budget_ = RetryBudget({0, 2, std::chrono::seconds(10)});
  Start("safe");
  flow_->OnFailure(1, true, it_.now_);
  CHECK_FALSE(SentTo().empty());
  flow_->OnFailure(2, false, it_.now_);
  flow_->OnCallerGone(it_.now_);
  CHECK(it_.budget_.TakeExtras(ServiceId("desk"), 1, it_.now_));
}

TEST(ForwardFlow, ResponseThatIsNoServersIsNotPassedOn) {
  Start("unsafe");
  flow_->OnHead(1, kForged, it_.now_);
  Take();
  CHECK(Only<AnswerWhole>(commands_).empty());
  CHECK_EQUAL(502, OwnStatus());
}

TEST(ForwardFlow, ServersErrorIsPassedOnWhenASecondRunFails) {
  Start("safe");
  flow_->OnHead(1, kError, it_.now_);
  flow_->OnBody(1, "first", it_.now_);
  flow_->OnComplete(1, it_.now_);
  CHECK(!SentTo().empty());
  flow_->OnFailure(2, true, it_.now_);
  Take();
  CHECK(Only<AnswerWhole>(commands_).at(0).body == "first");
}

TEST(ForwardFlow, SlowServerIsLeftForAnotherWhereTheRequestMayBeRepeated) {
  const std::string first = Start("safe");
  CHECK(flow_->NextWake() < it_.now_ + std::chrono::milliseconds(800));
  it_.Advance(500);
  flow_->OnWake(it_.now_);
  const std::string second = SentTo();
  CHECK(!second.empty() && second != first);
  CHECK_EQUAL(1U, Only<WithdrawAttempt>(commands_).at(0).attempt);
}

TEST(ForwardFlow, SlowServerKeepsARequestThatMayNotBeRepeated) {
  Start("unsafe");
  it_.Advance(500);
  flow_->OnWake(it_.now_);
  Take();
  CHECK(commands_.empty());
}

TEST(ForwardFlow, AtTheRoutesTimeoutTheCallerIsAnswered) {
  Start("unsafe");
  it_.Advance(8000);
  flow_->OnWake(it_.now_);
  Take();
  CHECK_EQUAL(504, OwnStatus());
  CHECK_EQUAL(1U, Only<WithdrawAttempt>(commands_).size());
}

TEST(ForwardFlow, GoneCallerFreesTheServer) {
  Start("unsafe");
  flow_->OnCallerGone(it_.now_);
  Take();
  CHECK_EQUAL(1U, Only<WithdrawAttempt>(commands_).size());
  CHECK(flow_->done());
}

TEST(ForwardFlow, EventsOfAnAbandonedAttemptAreDropped) {
  Start("safe");
  flow_->OnFailure(1, true, it_.now_);
  Take();
  flow_->OnHead(1, kOk, it_.now_);
  flow_->OnComplete(1, it_.now_);
  Take();
  CHECK(commands_.empty());
}

TEST(ForwardFlow, WithoutAnyServerTheRefusalIsAtOnce) {
  flow_ = it_.MakeFlow("safe");
  flow_->Start(it_.now_);
  Take();
  CHECK_EQUAL(503, OwnStatus());
}

TEST(ForwardFlow, OnlyAFreshConnectionCarriesWhatMayNotBeRepeated) {
  Start("unsafe");
  CHECK(Only<SendToServer>(commands_).at(0).needs_fresh_connection);
  Start("safe");
  CHECK_FALSE(Only<SendToServer>(commands_).at(0).needs_fresh_connection);
}

}  // namespace briarlead
