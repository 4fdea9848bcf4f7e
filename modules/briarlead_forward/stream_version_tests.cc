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
  flow_->OnStreamOrigin(std::nullopt, fixture_.now_);
  const auto answers = CommandsOf<SendOwnResponse>(flow_->TakeCommands());
  CHECK_EQUAL(1U, answers.size());
  CHECK_EQUAL(503, answers[0].status);
  CHECK_TRUE(answers[0].retry_after == ForwardFlow::kRetryAfterUnknownOrigin);
}

TEST(StreamVersion, ResumptionGoesToTheVersionThatControlHostsName) {
  fixture_.AnnounceEngine("d1", EngineStage::kDecode, "v1");
  fixture_.AnnounceEngine("d2", EngineStage::kDecode, "v2");
  for (const char* software : {"v1", "v2"}) {
    flow_ = fixture_.MakeResumption("first");
    flow_->Start(fixture_.now_);
    const auto asked = CommandsOf<AskForStreamOrigin>(flow_->TakeCommands());
    CHECK_EQUAL(1U, asked.size());
    CHECK_TRUE(asked[0].stream == StreamIdOf("first"));
    flow_->OnStreamOrigin(
        ServiceVersion{ServiceId("models"), SoftwareVersion(software)},
        fixture_.now_);
    const std::string expected = software == std::string("v1") ? "d1" : "d2";
    CHECK_TRUE(TakeSent() == std::vector{expected});
    fixture_.origins_.OnEnded(StreamIdOf("first"), true, fixture_.now_);
  }
}

TEST(StreamVersion, ResumptionAtTheSameHostNeedsNoControlHost) {
  StartStream();
  fixture_.AnnounceEngine("d2", EngineStage::kDecode, "v2");
  flow_->OnCallerGone(fixture_.now_);
  flow_ = fixture_.MakeResumption("r");
  flow_->Start(fixture_.now_);
  CHECK_TRUE(TakeSent() == std::vector<std::string>{"d1"});
}

TEST(StreamVersion, ResumptionNeedsNoControlHostWhileOneVersionServes) {
  fixture_.AnnounceEngine("d1", EngineStage::kDecode, "v1");
  flow_ = fixture_.MakeResumption("first");
  flow_->Start(fixture_.now_);
  CHECK_TRUE(TakeSent() == std::vector<std::string>{"d1"});
}

TEST(StreamVersion, ResumptionReadsWhatItsCallerHasAndProducesTheRest) {
  fixture_.AnnounceEngine("d1", EngineStage::kDecode, "v1");
  flow_ = fixture_.MakeFlow("resumable");
  flow_->Start(fixture_.now_);
  const BackendServerId d1("d1");
  const StreamLoad whole = fixture_.load_tracker_.StreamsOn(d1).at(0);
  flow_->OnCallerGone(fixture_.now_);
  flow_ = fixture_.MakeResumption("first");
  flow_->Start(fixture_.now_);
  const StreamLoad rest = fixture_.load_tracker_.StreamsOn(d1).at(0);
  // Three events of 58 tokens each.
  CHECK_EQUAL(whole.tokens_held + 174, rest.tokens_held);
  CHECK_EQUAL(whole.tokens_remaining - 174, rest.tokens_remaining);
}

TEST(StreamVersion, ResumptionThatNamesNoAttemptIsRefusedWhileTwoServe) {
  fixture_.AnnounceEngine("d1", EngineStage::kDecode, "v1");
  fixture_.AnnounceEngine("d2", EngineStage::kDecode, "v2");
  flow_ = fixture_.MakeResumption("");
  flow_->Start(fixture_.now_);
  CHECK_EQUAL(1U, CommandsOf<SendOwnResponse>(flow_->TakeCommands()).size());
}

TEST(StreamVersion, ResumptionOfAVersionWithoutServersIsRefusedAtOnce) {
  fixture_.AnnounceEngine("d2", EngineStage::kDecode, "v2");
  flow_ = fixture_.MakeResumption("first");
  fixture_.AnnounceEngine("d1", EngineStage::kDecode, "v1");
  fixture_.directory_.MarkGone(BackendServerId("d1"), 1, fixture_.now_);
  flow_->Start(fixture_.now_);
  flow_->TakeCommands();
  flow_->OnStreamOrigin(
      ServiceVersion{ServiceId("models"), SoftwareVersion("v1")},
      fixture_.now_);
  const auto answers = CommandsOf<SendOwnResponse>(flow_->TakeCommands());
  CHECK_EQUAL(1U, answers.size());
  CHECK_EQUAL(503, answers[0].status);
}

TEST(StreamVersion, PromptIsProcessedByTheVersionThatDecodes) {
  fixture_.AnnounceEngine("d1", EngineStage::kDecode, "v1");
  fixture_.AnnounceEngine("p2", EngineStage::kPrefill, "v2");
  flow_ = fixture_.MakeFlow("once");
  flow_->Start(fixture_.now_);
  CHECK_TRUE(TakeSent() == std::vector<std::string>{"d1"});
}

TEST(StreamVersion, KvResultOfAnotherVersionIsNotPassedOn) {
  fixture_.AnnounceEngine("d1", EngineStage::kDecode, "v1");
  fixture_.AnnounceEngine("p1", EngineStage::kPrefill, "v1");
  flow_ = fixture_.MakeFlow("resumable");
  flow_->Start(fixture_.now_);
  CHECK_TRUE(TakeSent() == std::vector<std::string>{"p1"});
  fixture_.pool_.OnLeaving({BackendServerId("d1"), 1});
  fixture_.AnnounceEngine("d2", EngineStage::kDecode, "v2");
  flow_->OnPrefilled(1, "p1:80/h", fixture_.now_);
  const auto sent = CommandsOf<SendToServer>(flow_->TakeCommands());
  CHECK_EQUAL(1U, sent.size());
  CHECK_TRUE(sent[0].server.id.value() == "d2" && sent[0].kv_source.empty());
}

TEST(StreamVersion, StreamWhoseVersionHasNoRoomBlocksNoOthers) {
  fixture_.AnnounceEngine("d1", EngineStage::kDecode, "v1");
  fixture_.AnnounceEngine("d2", EngineStage::kDecode, "v2");
  fixture_.load_tracker_.SetStream(
      99, {BackendServerId("d1"), 74'000, 1'000, 99}, fixture_.now_);
  ModelDemand demand;
  demand.service = ServiceId("models");
  demand.prompt_tokens = 5000;
  demand.output_tokens = 500;
  ModelDemand begun = demand;
  begun.software = SoftwareVersion("v1");
  const std::vector<WaitingDemand> waiting = {{begun, {}}, {demand, {}}};
  const auto answers = fixture_.placer_.PlaceInOrder(
      waiting, *fixture_.table_->list().services[1].engine, fixture_.now_,
      fixture_.random_);
  CHECK_EQUAL(2U, answers.size());
  CHECK_FALSE(answers[0].placement.has_value());
  CHECK_TRUE(answers[0].failure == PlacementFailure::kMustWait);
  CHECK_TRUE(answers[1].placement->decode.id.value() == "d2");
}

TEST(StreamVersion, StreamIsEndedWhenItsVersionIsGone) {
  StartStream();
  fixture_.AnnounceEngine("d2", EngineStage::kDecode, "v2");
  fixture_.directory_.MarkGone(BackendServerId("d1"), 1, fixture_.now_);
  flow_->OnFailure(1, true, fixture_.now_);
  CHECK_EQUAL(1U, CommandsOf<AbortStream>(flow_->TakeCommands()).size());
}

}  // namespace briarlead
