#include "briarlead_requests/completion_flow.h"

#include <CppUTest/TestHarness.h>

#include <string>

namespace briarlead {

namespace {

/// Returns how many of `commands` are of type `T`.
template <typename T>
std::size_t Count(const std::vector<CompletionCommand>& commands) {
  std::size_t n = 0;
  for (const CompletionCommand& it : commands)
    n += std::holds_alternative<T>(it) ? 1 : 0;
  return n;
}

/// Checks that exactly one command is of type `T` and returns it.
template <typename T>
const T& Only(const std::vector<CompletionCommand>& commands) {
  LONGS_EQUAL(1, Count<T>(commands));
  for (const CompletionCommand& it : commands) {
    if (const T* command = std::get_if<T>(&it))
      return *command;
  }
  static const T kNone{};
  return kNone;
}

}  // namespace

TEST_GROUP(CompletionFlow) {
  CompletionFlow flow_{100, CompletionTimeouts{}};
  TimePoint now_{std::chrono::seconds(1)};
  BackendServerId prefill_{"p1"};
  BackendServerId decode_{"d1"};
  std::string delivered_;

  void setup() override {
    flow_.TakeCommands();
  }

  /// Places `attempt` and streams `tokens` tokens of its answer.
  void StreamTokens(std::uint32_t attempt, std::uint32_t tokens) {
    flow_.OnPlaced(attempt, prefill_, decode_, now_);
    flow_.OnPrefillDone(attempt, "kv", 1000, now_);
    for (std::uint32_t it = 0; it < tokens; ++it) {
      flow_.OnToken(attempt, flow_.delivered_tokens(), "t", now_);
    }
  }
};

TEST(CompletionFlow, RequestRunsFromPlacementToCompleteAnswer) {
  StreamTokens(1, 3);
  flow_.OnDecodeEnd(1);
  const auto commands = flow_.TakeCommands();
  CHECK_TRUE(Only<StartPrefill>(commands).server == prefill_);
  CHECK_TRUE(Only<StartDecode>(commands).server == decode_);
  STRCMP_EQUAL("kv", Only<StartDecode>(commands).kv_transfer.c_str());
  LONGS_EQUAL(1, Count<ReportFirstToken>(commands));
  LONGS_EQUAL(3, Count<DeliverToken>(commands));
  LONGS_EQUAL(3, Only<CompleteAnswer>(commands).output_tokens);
  CHECK_TRUE(flow_.done());
}

TEST(CompletionFlow, StreamResumesAfterDecodeFailureWithoutLossOrRepeat) {
  StreamTokens(1, 5);
  flow_.OnDecodeFailed(1);
  auto commands = flow_.TakeCommands();
  LONGS_EQUAL(5, Only<RequestPlacement>(commands).delivered_tokens);
  flow_.OnPlaced(2, prefill_, BackendServerId("d2"), now_);
  flow_.OnPrefillDone(2, "kv2", 1000, now_);
  commands = flow_.TakeCommands();
  LONGS_EQUAL(5, Only<StartDecode>(commands).resume_from);
  flow_.OnToken(1, 5, "late", now_);   // of the abandoned attempt
  flow_.OnToken(2, 4, "again", now_);  // was delivered before
  flow_.OnToken(2, 5, "next", now_);
  commands = flow_.TakeCommands();
  STRCMP_EQUAL("next", Only<DeliverToken>(commands).text.c_str());
  flow_.OnDecodeEnd(2);
  commands = flow_.TakeCommands();
  LONGS_EQUAL(1, Only<ReportFinished>(commands).output_tokens);
  LONGS_EQUAL(6, Only<CompleteAnswer>(commands).output_tokens);
}

TEST(CompletionFlow, ProgressIsReportedOncePerInterval) {
  StreamTokens(1, 3);
  LONGS_EQUAL(0, Count<ReportProgress>(flow_.TakeCommands()));
  now_ += CompletionFlow::kProgressInterval;
  flow_.OnToken(1, 3, "t", now_);
  flow_.OnToken(1, 4, "t", now_);
  LONGS_EQUAL(4, Only<ReportProgress>(flow_.TakeCommands()).tokens);
}

TEST(CompletionFlow, GapInTokenOffsetsFailsTheAttempt) {
  StreamTokens(1, 2);
  flow_.TakeCommands();
  flow_.OnToken(1, 3, "skipped one", now_);
  const auto commands = flow_.TakeCommands();
  LONGS_EQUAL(0, Count<DeliverToken>(commands));
  LONGS_EQUAL(1, Count<AbortAttempt>(commands));
  LONGS_EQUAL(2, Only<RequestPlacement>(commands).delivered_tokens);
}

TEST(CompletionFlow, RefusalBeforeFirstTokenGivesUpWithRetryAfter) {
  flow_.OnRefused("queue full", std::chrono::seconds(7), now_);
  const auto commands = flow_.TakeCommands();
  CHECK_TRUE(Only<GiveUp>(commands).retry_after == std::chrono::seconds(7));
  CHECK_TRUE(flow_.done());
  flow_.OnPlaced(1, prefill_, decode_, now_);
  CHECK_TRUE(flow_.TakeCommands().empty());
}

TEST(CompletionFlow, RefusalAfterFirstTokenBacksOffAndRequestsPlacementAgain) {
  StreamTokens(1, 1);
  flow_.OnDecodeFailed(1);
  flow_.TakeCommands();
  flow_.OnRefused("queue full", std::chrono::seconds(7), now_);
  CHECK_TRUE(flow_.TakeCommands().empty());
  flow_.Tick(now_ + std::chrono::seconds(6));
  CHECK_TRUE(flow_.TakeCommands().empty());
  flow_.Tick(now_ + std::chrono::seconds(7));
  LONGS_EQUAL(1, Only<RequestPlacement>(flow_.TakeCommands()).delivered_tokens);
}

TEST(CompletionFlow, DisconnectedCallerCancelsQueuedAndRunningRequest) {
  CompletionFlow queued(10, CompletionTimeouts{});
  queued.OnCallerGone();
  LONGS_EQUAL(1, Count<ReportCancelled>(queued.TakeCommands()));
  StreamTokens(1, 2);
  flow_.TakeCommands();
  flow_.OnCallerGone();
  flow_.OnCallerGone();
  const auto commands = flow_.TakeCommands();
  LONGS_EQUAL(1, Count<AbortAttempt>(commands));
  LONGS_EQUAL(1, Count<ReportCancelled>(commands));
  flow_.OnToken(1, 2, "late", now_);
  flow_.OnDecodeEnd(1);
  CHECK_TRUE(flow_.TakeCommands().empty());
}

TEST(CompletionFlow, TransferTimeoutFailsTheAttemptAndRequestsPlacement) {
  flow_.OnPlaced(1, prefill_, decode_, now_);
  flow_.OnPrefillDone(1, "kv", 1000, now_);
  flow_.TakeCommands();
  CHECK_TRUE(flow_.NextWake().has_value());
  flow_.Tick(*flow_.NextWake());
  const auto commands = flow_.TakeCommands();
  CHECK_TRUE(Only<ReportFailed>(commands).stage == AttemptStage::kTransfer);
  LONGS_EQUAL(1, Count<RequestPlacement>(commands));
}

TEST(CompletionFlow, RepeatedPrefillFailuresGiveUpExactlyOnce) {
  std::size_t give_ups = 0;
  for (std::uint32_t attempt = 1; attempt <= 20; ++attempt) {
    flow_.OnPlaced(attempt, prefill_, decode_, now_);
    flow_.OnPrefillFailed(attempt);
    give_ups += Count<GiveUp>(flow_.TakeCommands());
  }
  LONGS_EQUAL(1, give_ups);
}

TEST(CompletionFlow, DispatcherLossRequestsPlacementAgainOnlyWhileQueued) {
  flow_.OnDispatcherLost();
  LONGS_EQUAL(1, Count<RequestPlacement>(flow_.TakeCommands()));
  StreamTokens(1, 1);
  flow_.TakeCommands();
  flow_.OnDispatcherLost();
  CHECK_TRUE(flow_.TakeCommands().empty());
}

}  // namespace briarlead
