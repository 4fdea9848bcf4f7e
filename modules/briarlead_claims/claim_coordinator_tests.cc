#include "briarlead_claims/claim_coordinator.h"

#include <CppUTest/TestHarness.h>

namespace briarlead {
namespace {

TimePoint At(int milliseconds) {
  return TimePoint(std::chrono::milliseconds(milliseconds));
}

RecordedAnswer Booked() {
  return {201, "text/plain", "booked", true};
}

/// The commands of one kind, in order.
template <typename Kind>
std::vector<Kind> Only(const std::vector<ClaimCommand>& commands) {
  std::vector<Kind> found;
  for (const ClaimCommand& it : commands) {
    if (const auto* command = std::get_if<Kind>(&it))
      found.push_back(*command);
  }
  return found;
}

}  // namespace

TEST_GROUP(ClaimCoordinator) {
  const RequestId id_{HostId("e1"), 1, 1};
  ClaimCoordinator keeper_;

  ClaimedCall Keyed() const {
    return {id_,
            ClaimKey{CustomerId("coop"), "k"},
            {1, 1},
            std::chrono::seconds(1)};
  }
  void StartGranted() {
    keeper_.Start(Keyed(), At(0));
    keeper_.OnBeginResult({id_, BeginVerdict::kGranted, 0, {}}, At(10));
    LONGS_EQUAL(1, Only<SendCall>(keeper_.TakeCommands()).size());
  }
  CallVerdict OneAnswer(const std::vector<ClaimCommand>& commands) {
    const auto answers = Only<AnswerCaller>(commands);
    LONGS_EQUAL(1, answers.size());
    return answers.at(0).verdict;
  }
  RunOutcome OneFinish(const std::vector<ClaimCommand>& commands) {
    const auto finishes = Only<ProposeFinish>(commands);
    LONGS_EQUAL(1, finishes.size());
    return finishes.at(0).finish.outcome;
  }
};

TEST(ClaimCoordinator, CallLeavesOnlyAfterTheGrantAndOnce) {
  keeper_.Start(Keyed(), At(0));
  LONGS_EQUAL(0, Only<SendCall>(keeper_.TakeCommands()).size());
  keeper_.OnBeginResult({id_, BeginVerdict::kGranted, 0, {}}, At(10));
  keeper_.OnBeginResult({id_, BeginVerdict::kGranted, 0, {}}, At(11));
  LONGS_EQUAL(1, Only<SendCall>(keeper_.TakeCommands()).size());
}

TEST(ClaimCoordinator, AsksAgainWithTheSameToken) {
  keeper_.Start(Keyed(), At(0));
  const auto first = Only<ProposeBegin>(keeper_.TakeCommands());
  keeper_.Tick(At(399));
  CHECK_TRUE(keeper_.TakeCommands().empty());
  keeper_.Tick(At(400));
  const auto second = Only<ProposeBegin>(keeper_.TakeCommands());
  LONGS_EQUAL(1, second.size());
  CHECK_TRUE(first.at(0).begin == second.at(0).begin);
}

TEST(ClaimCoordinator, GrantAfterGivingUpSendsNothing) {
  keeper_.Start(Keyed(), At(0));
  keeper_.Tick(At(2000));
  const auto commands = keeper_.TakeCommands();
  CHECK_TRUE(OneAnswer(commands) == CallVerdict::kAttemptNotRun);
  CHECK_TRUE(OneFinish(commands) == RunOutcome::kNotRun);
  keeper_.OnBeginResult({id_, BeginVerdict::kGranted, 0, {}}, At(2001));
  CHECK_TRUE(Only<SendCall>(keeper_.TakeCommands()).empty());
}

TEST(ClaimCoordinator, ThawedHostSendsNothingAfterTheWindow) {
  keeper_.Start(Keyed(), At(0));
  keeper_.TakeCommands();
  keeper_.OnBeginResult({id_, BeginVerdict::kGranted, 0, {}}, At(90'000));
  const auto commands = keeper_.TakeCommands();
  CHECK_TRUE(Only<SendCall>(commands).empty());
  CHECK_TRUE(OneAnswer(commands) == CallVerdict::kAttemptNotRun);
}

TEST(ClaimCoordinator, BrokenCallIsUnknownAndUnsentCallIsNotRun) {
  StartGranted();
  keeper_.OnCallFailed(id_, At(20));
  auto commands = keeper_.TakeCommands();
  CHECK_TRUE(OneAnswer(commands) == CallVerdict::kUnknown);
  CHECK_TRUE(OneFinish(commands) == RunOutcome::kUnknown);

  keeper_ = ClaimCoordinator();
  StartGranted();
  keeper_.OnCallNotSent(id_, At(20));
  commands = keeper_.TakeCommands();
  CHECK_TRUE(OneAnswer(commands) == CallVerdict::kNotRun);
  CHECK_TRUE(OneFinish(commands) == RunOutcome::kNotRun);
}

TEST(ClaimCoordinator, LateAnswerIsRecordedAndNotGivenTwice) {
  StartGranted();
  keeper_.Tick(At(1010));
  CHECK_TRUE(OneAnswer(keeper_.TakeCommands()) == CallVerdict::kUnknown);
  keeper_.OnCallAnswered(id_, Booked(), At(5000));
  const auto commands = keeper_.TakeCommands();
  CHECK_TRUE(Only<AnswerCaller>(commands).empty());
  CHECK_TRUE(OneFinish(commands) == RunOutcome::kRan);
  // The acknowledgement of the earlier "unknown" does not end the recording.
  keeper_.OnFinishResult({id_, RunOutcome::kUnknown, FinishVerdict::kRecorded});
  LONGS_EQUAL(1, keeper_.size());
  keeper_.OnFinishResult({id_, RunOutcome::kRan, FinishVerdict::kRecorded});
  LONGS_EQUAL(0, keeper_.size());
}

TEST(ClaimCoordinator, LateProofThatItWasNotSentReopensTheKey) {
  StartGranted();
  keeper_.Tick(At(1010));
  keeper_.TakeCommands();
  keeper_.OnCallNotSent(id_, At(5000));
  const auto commands = keeper_.TakeCommands();
  CHECK_TRUE(Only<AnswerCaller>(commands).empty());
  CHECK_TRUE(OneFinish(commands) == RunOutcome::kNotRun);
}

TEST(ClaimCoordinator, OutcomeIsToldUntilItIsAcknowledged) {
  StartGranted();
  keeper_.OnCallAnswered(id_, Booked(), At(20));
  keeper_.TakeCommands();
  keeper_.Tick(At(420));
  CHECK_TRUE(OneFinish(keeper_.TakeCommands()) == RunOutcome::kRan);
}

TEST(ClaimCoordinator, EachVerdictGivesItsAnswer) {
  struct Case {
    BeginVerdict verdict;
    CallVerdict expected;
  };
  const Case cases[] = {
      {BeginVerdict::kInProgress, CallVerdict::kStillRunning},
      {BeginVerdict::kFinished, CallVerdict::kRan},
      {BeginVerdict::kUnknown, CallVerdict::kUnknown},
      {BeginVerdict::kContentMismatch, CallVerdict::kKeyReused},
      {BeginVerdict::kTableFull, CallVerdict::kNotRun},
      {BeginVerdict::kAbandoned, CallVerdict::kAttemptNotRun},
  };
  for (const Case& it : cases) {
    keeper_.Start(Keyed(), At(0));
    keeper_.OnBeginResult({id_, it.verdict, 0, Booked()}, At(1));
    const auto commands = keeper_.TakeCommands();
    CHECK_TRUE(OneAnswer(commands) == it.expected);
    CHECK_TRUE(Only<SendCall>(commands).empty());
    LONGS_EQUAL(0, keeper_.size());
  }
}

TEST(ClaimCoordinator, CallWithoutKeyIsSentOnceAndNeverClaimed) {
  ClaimedCall call = Keyed();
  call.key.reset();
  keeper_.Start(call, At(0));
  auto commands = keeper_.TakeCommands();
  LONGS_EQUAL(1, commands.size());
  LONGS_EQUAL(1, Only<SendCall>(commands).size());
  keeper_.OnCallFailed(id_, At(20));
  commands = keeper_.TakeCommands();
  LONGS_EQUAL(1, commands.size());
  CHECK_TRUE(OneAnswer(commands) == CallVerdict::kUnknown);
  LONGS_EQUAL(0, keeper_.size());
}

TEST(ClaimCoordinator, CallerThatLeavesBeforeTheGrantRunsNothing) {
  keeper_.Start(Keyed(), At(0));
  keeper_.TakeCommands();
  keeper_.OnCallerGone(id_, At(5));
  keeper_.OnBeginResult({id_, BeginVerdict::kGranted, 0, {}}, At(10));
  const auto commands = keeper_.TakeCommands();
  CHECK_TRUE(Only<SendCall>(commands).empty());
  CHECK_TRUE(Only<AnswerCaller>(commands).empty());
  CHECK_TRUE(OneFinish(commands) == RunOutcome::kNotRun);
}

TEST(ClaimCoordinator, AnswerBeyondTheBoundIsRecordedAsNotKept) {
  StartGranted();
  RecordedAnswer large = Booked();
  large.body.assign(kMaxRecordedBodyBytes + 1, 'x');
  keeper_.OnCallAnswered(id_, large, At(20));
  const auto commands = keeper_.TakeCommands();
  LONGS_EQUAL(large.body.size(),
              Only<AnswerCaller>(commands).at(0).answer.body.size());
  CHECK_FALSE(Only<ProposeFinish>(commands).at(0).finish.answer.kept);
}

TEST(ClaimCoordinator, FullKeeperRefusesAndSaysSo) {
  keeper_ = ClaimCoordinator({.max_calls = 1});
  keeper_.Start(Keyed(), At(0));
  keeper_.TakeCommands();
  ClaimedCall other = Keyed();
  other.id.sequence = 2;
  keeper_.Start(other, At(0));
  CHECK_TRUE(OneAnswer(keeper_.TakeCommands()) == CallVerdict::kAttemptNotRun);
}

}  // namespace briarlead
