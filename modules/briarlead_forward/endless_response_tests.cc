#include <memory>
#include <string>
#include <vector>

#include "briarlead_forward/forward_fixture.h"

namespace briarlead {

namespace {

constexpr ResponseFacts kOk = {200, false, false, true};
constexpr std::size_t kBlockBytes = 32768;
constexpr std::size_t kMostBytes = 64UL << 20;

}  // namespace

// Servers that send bytes without end.
TEST_GROUP(EndlessResponse) {
  ForwardFixture fixture_;
  std::string block_ = std::string(kBlockBytes, 'x');

  /// Sends blocks to attempt 1 until it ends; returns how many bytes it took,
  /// 64 megabytes at most.
  std::size_t SendUntilEnded(ForwardFlow & flow) {
    std::size_t sent = 0;
    while (sent < kMostBytes && !Ended(flow)) {
      flow.OnBody(1, block_, fixture_.now_);
      sent += kBlockBytes;
    }
    return sent;
  }
  static bool Ended(ForwardFlow & flow) {
    return !CommandsOf<WithdrawAttempt>(flow.TakeCommands()).empty();
  }
};

TEST(EndlessResponse, BodyEndsTheAttempt) {
  fixture_.Announce("s1", "desk");
  const auto flow = fixture_.MakeFlow("unsafe");
  flow->Start(fixture_.now_);
  flow->OnHead(1, kOk, fixture_.now_);
  CHECK_TRUE(SendUntilEnded(*flow) <= BodyBuffer::kMaxBytes + kBlockBytes);
  CHECK_TRUE(flow->done());
  CHECK_EQUAL(0U, fixture_.body_budget_.total_bytes());
}

TEST(EndlessResponse, ManyAtOnceStayWithinTheBudgetAndShortOnesPass) {
  fixture_.Announce("s1", "desk");
  std::vector<std::unique_ptr<ForwardFlow>> flows;
  for (int it = 0; it < 50; ++it) {
    flows.push_back(fixture_.MakeFlow("unsafe"));
    flows.back()->Start(fixture_.now_);
    flows.back()->OnHead(1, kOk, fixture_.now_);
  }
  std::size_t most_bytes = 0;
  for (int round = 0; round < 100; ++round) {
    for (const auto& it : flows)
      it->OnBody(1, block_, fixture_.now_);
    most_bytes = std::max(most_bytes, fixture_.body_budget_.total_bytes());
  }
  CHECK_TRUE(most_bytes <=
             BodyBudget::kMaxTotalBytes + 50 * BodyBudget::kSmallBodyBytes);
  const auto sound = fixture_.MakeFlow("unsafe");
  sound->Start(fixture_.now_);
  sound->TakeCommands();
  sound->OnHead(1, kOk, fixture_.now_);
  sound->OnBody(1, "abc", fixture_.now_);
  sound->OnComplete(1, fixture_.now_);
  CHECK_EQUAL(1U, CommandsOf<SendResponse>(sound->TakeCommands()).size());
  flows.clear();
  CHECK_EQUAL(0U, fixture_.body_budget_.total_bytes());
}

TEST(EndlessResponse, EventEndsTheAttempt) {
  fixture_.Announce("d1", "models", EngineStage::kDecode);
  const auto flow = fixture_.MakeFlow("once");
  flow->Start(fixture_.now_);
  flow->OnHead(1, kOk, fixture_.now_);
  CHECK_TRUE(SendUntilEnded(*flow) <=
             EventSplitter::kMaxEventBytes + 2 * kBlockBytes);
  CHECK_TRUE(flow->done());
}

}  // namespace briarlead
