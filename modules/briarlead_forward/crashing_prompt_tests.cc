#include <algorithm>
#include <chrono>
#include <set>

#include "briarlead_forward/forward_fixture.h"

namespace briarlead {

namespace {

constexpr ResponseFacts kOk = {200, false, false, true};
constexpr PromptPartId kCommonPart{1};
constexpr PromptPartId kCrashingPart{2};

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

}  // namespace briarlead
