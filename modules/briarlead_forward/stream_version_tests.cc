#include "briarlead_forward/forward_fixture.h"

namespace briarlead {

namespace {

constexpr ResponseFacts kOk = {200, false, false, true};

}  // namespace

// Streams while servers of several software versions serve side by side.
TEST_GROUP(StreamVersion) {
  ForwardFixture fixture_;
  std::unique_ptr<ForwardFlow> flow_;

  /// Returns the servers to which the request was sent since the last call.
  std::vector<std::string> TakeSent() {
    std::vector<std::string> servers;
    for (const SendToServer& it :
         CommandsOf<SendToServer>(flow_->TakeCommands()))
      servers.push_back(it.server.id.value());
    return servers;
  }
  /// Starts a stream that gets events of d1, an engine of v1.
  void StartStream() {
    fixture_.AnnounceEngine("d1", EngineStage::kDecode, "v1");
    flow_ = fixture_.MakeFlow("resumable");
    flow_->Start(fixture_.now_);
    flow_->OnHead(1, kOk, fixture_.now_);
    flow_->OnBody(1, "id: 1\n\nid: 2\n\n", fixture_.now_);
    TakeSent();
  }
};

TEST(StreamVersion, StreamThatBreaksOffIsNotJoinedWithAnotherVersion) {
  StartStream();
  fixture_.AnnounceEngine("d2", EngineStage::kDecode, "v2");
  flow_->OnFailure(1, true, fixture_.now_);
  CHECK_TRUE(TakeSent().empty());
}

TEST(StreamVersion, StreamThatBreaksOffGoesOnAtItsVersion) {
  StartStream();
  fixture_.AnnounceEngine("d2", EngineStage::kDecode, "v2");
  fixture_.AnnounceEngine("d3", EngineStage::kDecode, "v1");
  flow_->OnFailure(1, true, fixture_.now_);
  CHECK_TRUE(TakeSent() == std::vector<std::string>{"d3"});
}

TEST(StreamVersion, ResumptionOfUnknownVersionIsNotSentWhileTwoServe) {
  fixture_.AnnounceEngine("d1", EngineStage::kDecode, "v1");
  fixture_.AnnounceEngine("d2", EngineStage::kDecode, "v2");
  flow_ = fixture_.MakeResumption("first");
  flow_->Start(fixture_.now_);
  CHECK_TRUE(TakeSent().empty());
}

TEST(StreamVersion, PromptIsProcessedByTheVersionThatDecodes) {
  fixture_.AnnounceEngine("d1", EngineStage::kDecode, "v1");
  fixture_.AnnounceEngine("p2", EngineStage::kPrefill, "v2");
  flow_ = fixture_.MakeFlow("once");
  flow_->Start(fixture_.now_);
  CHECK_TRUE(TakeSent() == std::vector<std::string>{"d1"});
}

}  // namespace briarlead
