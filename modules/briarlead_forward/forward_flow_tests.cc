#include "briarlead_forward/forward_fixture.h"

namespace briarlead {

namespace {

constexpr ResponseFacts kOk = {200, false, false, true};
constexpr ResponseFacts kError = {500, false, false, true};
constexpr ResponseFacts kNotRun = {503, true, false, false};
constexpr ResponseFacts kWrongServer = {421, true, true, false};
constexpr ResponseFacts kForged = {200, false, false, false};

}  // namespace

// Checks each row of the table in forward_flow.h for plain requests.
TEST_GROUP(ForwardFlow) {
  ForwardFixture fixture_;
  std::unique_ptr<ForwardFlow> flow_;
  std::vector<ForwardCommand> commands_;

  void TakeCommands() {
    commands_ = flow_->TakeCommands();
  }

  /// Starts a request and returns where it was sent.
  std::string Start(const char* route) {
    fixture_.Announce("s1", "desk");
    fixture_.Announce("s2", "desk");
    flow_ = fixture_.MakeFlow(route);
    flow_->Start(fixture_.now_);
    return SentTo();
  }
  std::string SentTo() {
    TakeCommands();
    const auto sent = CommandsOf<SendToServer>(commands_);
    return sent.empty() ? "" : sent.back().server.id.value();
  }
  int OwnResponseStatus() {
    const auto own = CommandsOf<SendOwnResponse>(commands_);
    return own.empty() ? 0 : own.back().status;
  }
};

TEST(ForwardFlow, CompleteResponseIsForwarded) {
  Start("unsafe");
  flow_->OnHead(1, kOk, fixture_.now_);
  flow_->OnBody(1, "abc", fixture_.now_);
  flow_->OnComplete(1, fixture_.now_);
  TakeCommands();
  CHECK(CommandsOf<SendResponse>(commands_).at(0).body == "abc");
  CHECK(flow_->done());
}

TEST(ForwardFlow, ServerThatSaysItLeavesInAnAnswerGetsNoOtherRequest) {
  const std::string leaving = Start("safe");
  ResponseFacts facts = kOk;
  facts.leaving = true;
  flow_->OnHead(1, facts, fixture_.now_);
  flow_->OnComplete(1, fixture_.now_);
  for (int it = 0; it < 20; ++it) {
    flow_ = fixture_.MakeFlow("safe");
    flow_->Start(fixture_.now_);
    CHECK_TRUE(SentTo() != leaving);
  }
}

TEST(ForwardFlow, ServersThatAskForTimeGetNoRequestAndCallersLearnWhen) {
  Start("safe");
  ResponseFacts facts = kNotRun;
  facts.wants_pause = std::chrono::seconds(5);
  flow_->OnHead(1, facts, fixture_.now_);
  CHECK_TRUE(!SentTo().empty());
  facts.wants_pause = std::chrono::seconds(3);
  flow_->OnHead(2, facts, fixture_.now_);
  TakeCommands();
  CHECK_EQUAL(503, OwnResponseStatus());
  fixture_.Advance(1000);
  flow_ = fixture_.MakeFlow("safe");
  flow_->Start(fixture_.now_);
  CHECK_TRUE(SentTo().empty());
  CHECK_EQUAL(503, OwnResponseStatus());
  CHECK_TRUE(CommandsOf<SendOwnResponse>(commands_).back().retry_after ==
             std::chrono::seconds(2));
  fixture_.Advance(2000);
  flow_ = fixture_.MakeFlow("safe");
  flow_->Start(fixture_.now_);
  CHECK_TRUE(!SentTo().empty());
}

TEST(ForwardFlow, AnyRequestIsRetriedAfterAFailedConnection) {
  const std::string first = Start("unsafe");
  flow_->OnFailure(1, false, fixture_.now_);
  const std::string second = SentTo();
  CHECK(!second.empty() && second != first);
}

TEST(ForwardFlow, RequestThatDidNotRunIsRetried) {
  const std::string first = Start("unsafe");
  flow_->OnHead(1, kNotRun, fixture_.now_);
  const std::string second = SentTo();
  CHECK(!second.empty() && second != first);
}

TEST(ForwardFlow, WrongServerIsNotChosenAgain) {
  const std::string first = Start("unsafe");
  flow_->OnHead(1, kWrongServer, fixture_.now_);
  SentTo();
  for (int i = 0; i < 20; ++i) {
    auto other = fixture_.MakeFlow("unsafe");
    other->Start(fixture_.now_);
    const auto sent = CommandsOf<SendToServer>(other->TakeCommands());
    CHECK(sent.at(0).server.id.value() != first);
  }
}

TEST(ForwardFlow, RequestThatNoServerRanGetsRetryAfter) {
  Start("unsafe");
  flow_->OnHead(1, kNotRun, fixture_.now_);
  flow_->OnHead(2, kNotRun, fixture_.now_);
  TakeCommands();
  CHECK_EQUAL(503, OwnResponseStatus());
  CHECK(CommandsOf<SendOwnResponse>(commands_).at(0).retry_after.has_value());
}

TEST(ForwardFlow, RequestThatMayHaveRunNeverGets503) {
  Start("unsafe");
  flow_->OnFailure(1, true, fixture_.now_);
  TakeCommands();
  CHECK(CommandsOf<SendToServer>(commands_).empty());
  CHECK_EQUAL(502, OwnResponseStatus());
}

TEST(ForwardFlow, RequestThatMayHaveRunNeverGets503AfterARefusal) {
  Start("safe");
  flow_->OnFailure(1, true, fixture_.now_);
  flow_->OnHead(2, kNotRun, fixture_.now_);
  TakeCommands();
  CHECK_EQUAL(502, OwnResponseStatus());
}

TEST(ForwardFlow, RepeatableRequestIsRetriedAfterABrokenResponse) {
  const std::string first = Start("safe");
  flow_->OnFailure(1, true, fixture_.now_);
  const std::string second = SentTo();
  CHECK(!second.empty() && second != first);
}

TEST(ForwardFlow, NoMoreRunsThanTheRouteAllows) {
  fixture_.Announce("s3", "desk");
  Start("safe");
  flow_->OnFailure(1, true, fixture_.now_);
  CHECK(!SentTo().empty());
  flow_->OnFailure(2, true, fixture_.now_);
  CHECK(SentTo().empty());
  CHECK_EQUAL(502, OwnResponseStatus());
}

TEST(ForwardFlow, NoMoreRetriesThanTheBudgetAllows) {
  fixture_.budget_ = ForwardFixture::MakeBudget(0, 0);
  Start("safe");
  flow_->OnFailure(1, true, fixture_.now_);
  CHECK(SentTo().empty());
}

// Failed connections must not use up the retry budget. Otherwise, after two
// engines crash, requests that found no connection are refused though they
// never reached a server.
TEST(ForwardFlow, FailedConnectionUsesNoRetryBudget) {
  fixture_.budget_ = ForwardFixture::MakeBudget(0, 0);
  Start("unsafe");
  flow_->OnFailure(1, false, fixture_.now_);
  CHECK_FALSE(SentTo().empty());
  flow_->OnHead(2, kNotRun, fixture_.now_);
  CHECK(SentTo().empty());
  CHECK_EQUAL(503, OwnResponseStatus());
}

TEST(ForwardFlow, UnusedRetriesAreReleasedToTheBudget) {
  fixture_.budget_ = ForwardFixture::MakeBudget(0, 2);
  Start("safe");
  flow_->OnFailure(1, true, fixture_.now_);
  CHECK_FALSE(SentTo().empty());
  flow_->OnFailure(2, false, fixture_.now_);
  flow_->OnCallerGone(fixture_.now_);
  CHECK(fixture_.budget_.TryAcquire(ServiceId("desk"), 1, fixture_.now_));
}

TEST(ForwardFlow, UnauthenticResponseIsNotForwarded) {
  Start("unsafe");
  flow_->OnHead(1, kForged, fixture_.now_);
  TakeCommands();
  CHECK(CommandsOf<SendResponse>(commands_).empty());
  CHECK_EQUAL(502, OwnResponseStatus());
}

TEST(ForwardFlow, ServerErrorIsForwardedWhenTheRetryFails) {
  Start("safe");
  flow_->OnHead(1, kError, fixture_.now_);
  flow_->OnBody(1, "first", fixture_.now_);
  flow_->OnComplete(1, fixture_.now_);
  CHECK(!SentTo().empty());
  flow_->OnFailure(2, true, fixture_.now_);
  TakeCommands();
  CHECK(CommandsOf<SendResponse>(commands_).at(0).body == "first");
}

TEST(ForwardFlow, RepeatableRequestMovesFromASlowServer) {
  const std::string first = Start("safe");
  CHECK(flow_->NextWake() < fixture_.now_ + std::chrono::milliseconds(800));
  fixture_.Advance(500);
  flow_->OnWake(fixture_.now_);
  const std::string second = SentTo();
  CHECK(!second.empty() && second != first);
  CHECK_EQUAL(1U, CommandsOf<WithdrawAttempt>(commands_).at(0).attempt);
}

TEST(ForwardFlow, UnrepeatableRequestStaysOnASlowServer) {
  Start("unsafe");
  fixture_.Advance(500);
  flow_->OnWake(fixture_.now_);
  TakeCommands();
  // Nothing of the request is decided: its server is checked.
  CHECK_EQUAL(1U, commands_.size());
  CHECK_EQUAL(1U, CommandsOf<CheckServer>(commands_).size());
}

TEST(ForwardFlow, RequestThatWaitedForConnectionsOnlyCountsAsNotRun) {
  const std::string first = Start("safe");
  flow_->OnConnecting(1);
  fixture_.Advance(400);
  flow_->OnWake(fixture_.now_);
  const std::string second = SentTo();
  CHECK(!second.empty() && second != first);
  flow_->OnConnecting(2);
  flow_->OnFailure(2, false, fixture_.now_);
  TakeCommands();
  CHECK_EQUAL(503, OwnResponseStatus());
}

TEST(ForwardFlow, RequestStillWithoutAConnectionAtItsDeadlineIsRefused) {
  Start("unsafe");
  flow_->OnConnecting(1);
  fixture_.Advance(8000);
  flow_->OnWake(fixture_.now_);
  TakeCommands();
  CHECK_EQUAL(503, OwnResponseStatus());
}

TEST(ForwardFlow, RequestWhoseConnectionCameMayHaveRunAtItsDeadline) {
  Start("unsafe");
  flow_->OnConnecting(1);
  flow_->OnConnected(1);
  fixture_.Advance(8000);
  flow_->OnWake(fixture_.now_);
  TakeCommands();
  CHECK_EQUAL(504, OwnResponseStatus());
}

TEST(ForwardFlow, CallerGets504AtTheTimeoutOfTheRoute) {
  Start("unsafe");
  fixture_.Advance(8000);
  flow_->OnWake(fixture_.now_);
  TakeCommands();
  CHECK_EQUAL(504, OwnResponseStatus());
  CHECK_EQUAL(1U, CommandsOf<WithdrawAttempt>(commands_).size());
}

TEST(ForwardFlow, DisconnectedCallerEndsTheAttempt) {
  Start("unsafe");
  flow_->OnCallerGone(fixture_.now_);
  TakeCommands();
  CHECK_EQUAL(1U, CommandsOf<WithdrawAttempt>(commands_).size());
  CHECK(flow_->done());
}

TEST(ForwardFlow, EventsOfAnAbandonedAttemptAreIgnored) {
  Start("safe");
  flow_->OnFailure(1, true, fixture_.now_);
  TakeCommands();
  flow_->OnHead(1, kOk, fixture_.now_);
  flow_->OnComplete(1, fixture_.now_);
  TakeCommands();
  CHECK(commands_.empty());
}

TEST(ForwardFlow, RequestWithoutAnyServerIsRefusedAtOnce) {
  flow_ = fixture_.MakeFlow("safe");
  flow_->Start(fixture_.now_);
  TakeCommands();
  CHECK_EQUAL(503, OwnResponseStatus());
}

TEST(ForwardFlow, UnrepeatableRequestNeedsAFreshConnection) {
  Start("unsafe");
  CHECK(CommandsOf<SendToServer>(commands_).at(0).needs_fresh_connection);
  Start("safe");
  CHECK_FALSE(CommandsOf<SendToServer>(commands_).at(0).needs_fresh_connection);
}

}  // namespace briarlead
