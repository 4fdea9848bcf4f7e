#include <string>

#include "briarlead_forward/forward_fixture.h"

namespace briarlead {

namespace {

constexpr ResponseFacts kOk = {200, false, false, true};
constexpr SuspectId kCommonPart{1};
constexpr SuspectId kCrashingPart{2};

}  // namespace

// Requests whose prompts share a part that ends every engine which starts to
// answer them.
TEST_GROUP(CrashingPrompt) {
  static constexpr int kRequests = 40;
  ForwardFixture fixture_;
  int next_engine_ = 0;

  void AnnounceEngine() {
    const std::string id = "d" + std::to_string(next_engine_++);
    fixture_.Announce(id.c_str(), "models", EngineStage::kDecode);
  }

  /// Answers the sends of `flow` until it ends. Each engine ends as it starts
  /// to decode, and another one starts. Returns the number of engines ended.
  int CrashEachEngine(ForwardFlow & flow) {
    int crashes = 0;
    flow.Start(fixture_.now_);
    while (!flow.done()) {
      const auto sent = CommandsOf<SendToServer>(flow.TakeCommands());
      if (sent.empty())
        return crashes;
      const SendToServer& send = sent.back();
      fixture_.Advance(20);
      if (send.part == SendPart::kPrefill) {
        flow.OnPrefilled(send.attempt, "p1:80/h", fixture_.now_);
        continue;
      }
      flow.OnHead(send.attempt, kOk, fixture_.now_);
      flow.OnFailure(send.attempt, true, fixture_.now_);
      fixture_.OnServerChecked(send.server, false);
      ++crashes;
      AnnounceEngine();
    }
    return crashes;
  }
  /// Ends as many engines under `part` as it takes to block it.
  void Block(SuspectId part) {
    CrashSuspects& health = fixture_.suspects_;
    for (std::size_t it = 0; it < CrashSuspects::kCrashesToBlock; ++it) {
      const ServerIncarnation engine{
          BackendServerId("gone" + std::to_string(it)), 1};
      health.OnBroken({&part, 1}, std::nullopt, engine, fixture_.now_);
      health.OnServerChecked(engine, false, fixture_.now_);
    }
  }
  void BlockCrashingPart() {
    Block(kCrashingPart);
  }
  bool IsBlocked(SuspectId part) {
    return fixture_.suspects_.IsBlocked({&part, 1}, std::nullopt,
                                        fixture_.now_);
  }
};

TEST(CrashingPrompt, PartUnderWhichEnginesEndIsNotSentOn) {
  fixture_.Announce("p1", "models", EngineStage::kPrefill);
  for (int it = 0; it < 6; ++it)
    AnnounceEngine();
  int crashes = 0;
  for (int it = 0; it < kRequests; ++it) {
    const auto flow =
        fixture_.MakeFlow("resumable", {kCommonPart, kCrashingPart});
    crashes += CrashEachEngine(*flow);
    fixture_.Advance(200);
  }
  CHECK_TRUE(crashes <= 5);
}

TEST(CrashingPrompt, BlockedRequestIsRefusedAtOnceAsNotRun) {
  BlockCrashingPart();
  const auto flow = fixture_.MakeFlow("once", {kCommonPart, kCrashingPart});
  flow->Start(fixture_.now_);
  const auto commands = flow->TakeCommands();
  CHECK_TRUE(CommandsOf<SendToServer>(commands).empty());
  const auto refusals = CommandsOf<SendOwnResponse>(commands);
  CHECK_EQUAL(1U, refusals.size());
  CHECK_EQUAL(503, refusals[0].status);
  CHECK_TRUE(refusals[0].retry_after >= CrashSuspects::kFirstTrialDelay);
}

TEST(CrashingPrompt, RequestBlockedAfterItsPrefillIsNotRun) {
  fixture_.AnnounceEngines();
  const auto flow = fixture_.MakeFlow("once", {kCrashingPart});
  flow->Start(fixture_.now_);
  CHECK_EQUAL(1U, CommandsOf<SendToServer>(flow->TakeCommands()).size());
  BlockCrashingPart();
  flow->OnPrefilled(1, "p1:80/h", fixture_.now_);
  const auto commands = flow->TakeCommands();
  CHECK_TRUE(CommandsOf<SendToServer>(commands).empty());
  CHECK_EQUAL(503, CommandsOf<SendOwnResponse>(commands).at(0).status);
}

TEST(CrashingPrompt, RequestWhoseOwnPromptEndsEnginesIsNotSentOn) {
  fixture_.Announce("p1", "models", EngineStage::kPrefill);
  for (int it = 0; it < 6; ++it)
    AnnounceEngine();
  RequestContent content;
  content.method = "POST";
  content.path = "/resumable/x";
  content.body = "a prompt that no other request has";
  int crashes = 0;
  for (int it = 0; it < kRequests; ++it) {
    const auto flow = fixture_.MakeFlow("resumable", {kCommonPart});
    flow->SetContent(content);
    crashes += CrashEachEngine(*flow);
    fixture_.suspects_.OnSurvived(std::vector{kCommonPart}, fixture_.now_);
    fixture_.Advance(200);
  }
  CHECK_TRUE(crashes <= 5);
}

TEST(CrashingPrompt, PromptThatEndsPrefillEnginesIsNotSentOn) {
  for (const char* it : {"p1", "p2", "p3", "p4", "p5", "p6"})
    fixture_.Announce(it, "models", EngineStage::kPrefill);
  AnnounceEngine();
  int crashes = 0;
  for (int it = 0; it < kRequests; ++it) {
    const auto flow = fixture_.MakeFlow("once", {kCrashingPart});
    flow->Start(fixture_.now_);
    for (const SendToServer& send :
         CommandsOf<SendToServer>(flow->TakeCommands())) {
      flow->OnFailure(send.attempt, true, fixture_.now_);
      fixture_.OnServerChecked(send.server, false);
      fixture_.Announce(("p" + std::to_string(100 + it)).c_str(), "models",
                        EngineStage::kPrefill);
      ++crashes;
    }
    fixture_.Advance(100);
  }
  CHECK_TRUE(crashes <= 5);
}

TEST(CrashingPrompt, TrialOfABlockedPartIsNotRepeated) {
  fixture_.Announce("p1", "models", EngineStage::kPrefill);
  for (int it = 0; it < 6; ++it)
    AnnounceEngine();
  BlockCrashingPart();
  fixture_.Advance(11'000);
  const auto flow = fixture_.MakeFlow("resumable", {kCrashingPart});
  CHECK_EQUAL(1, CrashEachEngine(*flow));
}

TEST(CrashingPrompt, StreamThatGoesOnClearsItsParts) {
  fixture_.AnnounceEngines();
  const auto flow = fixture_.MakeFlow("once", {kCommonPart});
  flow->Start(fixture_.now_);
  flow->OnPrefilled(1, "p1:80/h", fixture_.now_);
  flow->OnHead(2, kOk, fixture_.now_);
  flow->OnBody(2, "id: 1\n\n", fixture_.now_);
  Block(kCommonPart);
  CHECK_TRUE(IsBlocked(kCommonPart));
  fixture_.Advance(500);
  flow->OnBody(2, "id: 2\n\n", fixture_.now_);
  CHECK_TRUE(IsBlocked(kCommonPart));
  fixture_.Advance(500);
  flow->OnBody(2, "id: 3\n\n", fixture_.now_);
  CHECK_FALSE(IsBlocked(kCommonPart));
}

TEST(CrashingPrompt, StreamThatBreaksOffLaterIsNotCounted) {
  fixture_.AnnounceEngines();
  const auto flow = fixture_.MakeFlow("once", {kCommonPart});
  flow->Start(fixture_.now_);
  flow->OnPrefilled(1, "p1:80/h", fixture_.now_);
  flow->OnHead(2, kOk, fixture_.now_);
  flow->OnBody(2, "id: 1\n\n", fixture_.now_);
  fixture_.Advance(1200);
  flow->OnBody(2, "id: 2\n\n", fixture_.now_);
  flow->OnFailure(2, true, fixture_.now_);
  for (const auto& [id, entry] : fixture_.directory_.entries())
    fixture_.OnServerChecked(entry.record, false);
  CHECK_TRUE(fixture_.suspects_.Report(fixture_.now_).crashes.empty());
}

}  // namespace briarlead
