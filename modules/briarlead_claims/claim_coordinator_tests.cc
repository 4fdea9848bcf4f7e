#include "briarlead_claims/claim_coordinator.h"

#include <CppUTest/TestHarness.h>

namespace briarlead {
namespace {

TimePoint At(int milliseconds) {
  return TimePoint(std::chrono::milliseconds(milliseconds));
}

RecordedAnswer BookedAnswer() {
  return {201, "text/plain", "booked", true};
}

/// Returns the commands of type `Command`, in order.
template <typename Command>
std::vector<Command> CommandsOfType(const std::vector<ClaimCommand>& commands) {
  std::vector<Command> found;
  for (const ClaimCommand& it : commands) {
    if (const auto* command = std::get_if<Command>(&it))
      found.push_back(*command);
  }
  return found;
}

}  // namespace

TEST_GROUP(ClaimCoordinator) {
  const RequestId id_{HostId("e1"), 1, 1};
  ClaimCoordinator coordinator_;

  ClaimedCall KeyedCall() const {
    return {id_,
            ClaimKey{CustomerId("coop"), "k"},
            {1, 1},
            std::chrono::seconds(1)};
  }
  void StartGranted() {
    coordinator_.Start(KeyedCall(), At(0));
    coordinator_.OnBeginResult({id_, BeginVerdict::kGranted, 0, {}}, At(10));
    LONGS_EQUAL(1,
                CommandsOfType<SendCall>(coordinator_.TakeCommands()).size());
  }
  CallVerdict OnlyVerdict(const std::vector<ClaimCommand>& commands) {
    const auto answers = CommandsOfType<AnswerCaller>(commands);
    LONGS_EQUAL(1, answers.size());
    return answers.at(0).verdict;
  }
  RunOutcome OnlyOutcome(const std::vector<ClaimCommand>& commands) {
    const auto finishes = CommandsOfType<ProposeFinish>(commands);
    LONGS_EQUAL(1, finishes.size());
    return finishes.at(0).finish.outcome;
  }
};

TEST(ClaimCoordinator, CallIsSentOnceAndOnlyAfterTheGrant) {
  coordinator_.Start(KeyedCall(), At(0));
  LONGS_EQUAL(0, CommandsOfType<SendCall>(coordinator_.TakeCommands()).size());
  coordinator_.OnBeginResult({id_, BeginVerdict::kGranted, 0, {}}, At(10));
  coordinator_.OnBeginResult({id_, BeginVerdict::kGranted, 0, {}}, At(11));
  LONGS_EQUAL(1, CommandsOfType<SendCall>(coordinator_.TakeCommands()).size());
}

TEST(ClaimCoordinator, ProposesAgainWithTheSameToken) {
  coordinator_.Start(KeyedCall(), At(0));
  const auto first = CommandsOfType<ProposeBegin>(coordinator_.TakeCommands());
  coordinator_.Tick(At(399));
  CHECK_TRUE(coordinator_.TakeCommands().empty());
  coordinator_.Tick(At(400));
  const auto second = CommandsOfType<ProposeBegin>(coordinator_.TakeCommands());
  LONGS_EQUAL(1, second.size());
  CHECK_TRUE(first.at(0).begin == second.at(0).begin);
}

TEST(ClaimCoordinator, GrantAfterAbandoningSendsNothing) {
  coordinator_.Start(KeyedCall(), At(0));
  coordinator_.Tick(At(2000));
  const auto commands = coordinator_.TakeCommands();
  CHECK_TRUE(OnlyVerdict(commands) == CallVerdict::kAttemptNotRun);
  CHECK_TRUE(OnlyOutcome(commands) == RunOutcome::kNotRun);
  coordinator_.OnBeginResult({id_, BeginVerdict::kGranted, 0, {}}, At(2001));
  CHECK_TRUE(CommandsOfType<SendCall>(coordinator_.TakeCommands()).empty());
}

TEST(ClaimCoordinator, GrantAfterAPausePastTheWindowSendsNothing) {
  coordinator_.Start(KeyedCall(), At(0));
  coordinator_.TakeCommands();
  coordinator_.OnBeginResult({id_, BeginVerdict::kGranted, 0, {}}, At(90'000));
  const auto commands = coordinator_.TakeCommands();
  CHECK_TRUE(CommandsOfType<SendCall>(commands).empty());
  CHECK_TRUE(OnlyVerdict(commands) == CallVerdict::kAttemptNotRun);
}

TEST(ClaimCoordinator, FailedCallIsUnknownAndUnsentCallIsNotRun) {
  StartGranted();
  coordinator_.OnCallFailed(id_, At(20));
  auto commands = coordinator_.TakeCommands();
  CHECK_TRUE(OnlyVerdict(commands) == CallVerdict::kUnknown);
  CHECK_TRUE(OnlyOutcome(commands) == RunOutcome::kUnknown);

  coordinator_ = ClaimCoordinator();
  StartGranted();
  coordinator_.OnCallNotSent(id_, At(20));
  commands = coordinator_.TakeCommands();
  CHECK_TRUE(OnlyVerdict(commands) == CallVerdict::kNotRun);
  CHECK_TRUE(OnlyOutcome(commands) == RunOutcome::kNotRun);
}

TEST(ClaimCoordinator, LateAnswerIsRecordedButNotReturnedToTheCaller) {
  StartGranted();
  coordinator_.Tick(At(1010));
  CHECK_TRUE(OnlyVerdict(coordinator_.TakeCommands()) == CallVerdict::kUnknown);
  coordinator_.OnCallAnswered(id_, BookedAnswer(), At(5000));
  const auto commands = coordinator_.TakeCommands();
  CHECK_TRUE(CommandsOfType<AnswerCaller>(commands).empty());
  CHECK_TRUE(OnlyOutcome(commands) == RunOutcome::kRan);
  // The acknowledgement of the earlier outcome kUnknown must not stop the
  // proposals of kRan.
  coordinator_.OnFinishResult(
      {id_, RunOutcome::kUnknown, FinishVerdict::kRecorded});
  LONGS_EQUAL(1, coordinator_.size());
  coordinator_.OnFinishResult(
      {id_, RunOutcome::kRan, FinishVerdict::kRecorded});
  LONGS_EQUAL(0, coordinator_.size());
}

TEST(ClaimCoordinator, LateProofOfNotSendingReleasesTheKey) {
  StartGranted();
  coordinator_.Tick(At(1010));
  coordinator_.TakeCommands();
  coordinator_.OnCallNotSent(id_, At(5000));
  const auto commands = coordinator_.TakeCommands();
  CHECK_TRUE(CommandsOfType<AnswerCaller>(commands).empty());
  CHECK_TRUE(OnlyOutcome(commands) == RunOutcome::kNotRun);
}

TEST(ClaimCoordinator, OutcomeIsProposedUntilAcknowledged) {
  StartGranted();
  coordinator_.OnCallAnswered(id_, BookedAnswer(), At(20));
  coordinator_.TakeCommands();
  coordinator_.Tick(At(420));
  CHECK_TRUE(OnlyOutcome(coordinator_.TakeCommands()) == RunOutcome::kRan);
}

TEST(ClaimCoordinator, EachBeginVerdictGivesItsCallVerdict) {
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
    coordinator_.Start(KeyedCall(), At(0));
    coordinator_.OnBeginResult({id_, it.verdict, 0, BookedAnswer()}, At(1));
    const auto commands = coordinator_.TakeCommands();
    CHECK_TRUE(OnlyVerdict(commands) == it.expected);
    CHECK_TRUE(CommandsOfType<SendCall>(commands).empty());
    LONGS_EQUAL(0, coordinator_.size());
  }
}

TEST(ClaimCoordinator, CallWithoutKeyIsSentOnceAndNeverClaimed) {
  ClaimedCall call = KeyedCall();
  call.key.reset();
  coordinator_.Start(call, At(0));
  auto commands = coordinator_.TakeCommands();
  LONGS_EQUAL(1, commands.size());
  LONGS_EQUAL(1, CommandsOfType<SendCall>(commands).size());
  coordinator_.OnCallFailed(id_, At(20));
  commands = coordinator_.TakeCommands();
  LONGS_EQUAL(1, commands.size());
  CHECK_TRUE(OnlyVerdict(commands) == CallVerdict::kUnknown);
  LONGS_EQUAL(0, coordinator_.size());
}

TEST(ClaimCoordinator, CallerGoneBeforeTheGrantRunsNothing) {
  coordinator_.Start(KeyedCall(), At(0));
  coordinator_.TakeCommands();
  coordinator_.OnCallerGone(id_, At(5));
  coordinator_.OnBeginResult({id_, BeginVerdict::kGranted, 0, {}}, At(10));
  const auto commands = coordinator_.TakeCommands();
  CHECK_TRUE(CommandsOfType<SendCall>(commands).empty());
  CHECK_TRUE(CommandsOfType<AnswerCaller>(commands).empty());
  CHECK_TRUE(OnlyOutcome(commands) == RunOutcome::kNotRun);
}

TEST(ClaimCoordinator, OversizedAnswerIsRecordedAsNotKept) {
  StartGranted();
  RecordedAnswer large = BookedAnswer();
  large.body.assign(kMaxRecordedBodyBytes + 1, 'x');
  coordinator_.OnCallAnswered(id_, large, At(20));
  const auto commands = coordinator_.TakeCommands();
  LONGS_EQUAL(large.body.size(),
              CommandsOfType<AnswerCaller>(commands).at(0).answer.body.size());
  CHECK_FALSE(CommandsOfType<ProposeFinish>(commands).at(0).finish.answer.kept);
}

TEST(ClaimCoordinator, CallBeyondTheMaximumIsRefused) {
  coordinator_ = ClaimCoordinator({.max_calls = 1});
  coordinator_.Start(KeyedCall(), At(0));
  coordinator_.TakeCommands();
  ClaimedCall other = KeyedCall();
  other.id.sequence = 2;
  coordinator_.Start(other, At(0));
  CHECK_TRUE(OnlyVerdict(coordinator_.TakeCommands()) ==
             CallVerdict::kAttemptNotRun);
}

}  // namespace briarlead
