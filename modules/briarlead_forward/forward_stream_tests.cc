#include "briarlead_forward/forward_fixture.h"

namespace briarlead {

namespace {

constexpr ResponseFacts kOk = {200, false, false, true};
constexpr ResponseFacts kNotRun = {503, true, false, false};

}  // namespace

// Model requests: placing, KV results, streams that go on elsewhere.
TEST_GROUP(ForwardStream) {
  ForwardFixture it_;
  std::unique_ptr<ForwardFlow> flow_;
  std::vector<ForwardCommand> commands_;

  void Take() {
    commands_ = flow_->TakeCommands();
  }
  SendToServer Sent() {
    Take();
    const auto sent = Only<SendToServer>(commands_);
    CHECK_FALSE(sent.empty());
    return sent.empty() ? SendToServer() : sent.back();
  }
  std::string Bytes() {
    std::string bytes;
    for (const AnswerStreamBytes& it : Only<AnswerStreamBytes>(commands_))
      bytes += it.bytes;
    return bytes;
  }
  /// Starts a request whose prompt is read and whose stream has begun.
  void Stream(const char* route) {
    it_.AnnounceEngines();
    flow_ = it_.MakeFlow(route);
    flow_->Start(it_.now_);
    flow_->OnPrefilled(1, "p1:80/h", it_.now_);
    flow_->OnHead(2, kOk, it_.now_);
    flow_->OnBody(2, "id: 1\n\nid: 2\n\n", it_.now_);
    Take();
  }
};

TEST(ForwardStream, PromptIsReadApartAndItsResultIsHandedOn) {
  it_.AnnounceEngines();
  flow_ = it_.MakeFlow("once");
  flow_->Start(it_.now_);
  CHECK(Sent().part == SendPart::kPrefill);
  CHECK_EQUAL(1U, it_.book_.StreamsOn(BackendServerId("d1")).size());
  CHECK_EQUAL(5000U, it_.book_.PrefillBacklog(BackendServerId("p1")));
  flow_->OnPrefilled(1, "p1:80/h", it_.now_);
  const SendToServer decode = Sent();
  CHECK(decode.server.id.value() == "d1");
  CHECK(decode.kv_source == "p1:80/h");
  CHECK_EQUAL(0U, it_.book_.PrefillBacklog(BackendServerId("p1")));
}

TEST(ForwardStream, WithoutPrefillEnginesTheDecodeEngineReads) {
  it_.Announce("d1", "models", EngineStage::kDecode);
  flow_ = it_.MakeFlow("once");
  flow_->Start(it_.now_);
  const SendToServer sent = Sent();
  CHECK(sent.part == SendPart::kWhole);
  CHECK(sent.kv_source.empty());
}

TEST(ForwardStream, FailedPrefillIsMadeAgainAlsoWhereTheStreamRunsOnce) {
  it_.AnnounceEngines();
  it_.Announce("p2", "models", EngineStage::kPrefill);
  flow_ = it_.MakeFlow("once");
  flow_->Start(it_.now_);
  const std::string first = Sent().server.id.value();
  flow_->OnFailure(1, true, it_.now_);
  const SendToServer second = Sent();
  CHECK(second.part == SendPart::kPrefill);
  CHECK(second.server.id.value() != first);
}

TEST(ForwardStream, RefusedKvResultIsOfferedToAnotherEngineWhileItLives) {
  it_.AnnounceEngines();
  flow_ = it_.MakeFlow("once");
  flow_->Start(it_.now_);
  flow_->OnPrefilled(1, "p1:80/h", it_.now_);
  CHECK(Sent().server.id.value() == "d1");
  it_.Advance(100);
  flow_->OnHead(2, kNotRun, it_.now_);
  const SendToServer second = Sent();
  CHECK(second.server.id.value() == "d2");
  CHECK(second.kv_source == "p1:80/h");
}

TEST(ForwardStream, BrokenStreamGoesOnAfterTheLastWholeEvent) {
  Stream("resumable");
  CHECK(Bytes() == "id: 1\n\nid: 2\n\n");
  flow_->OnBody(2, "id: 3\nda", it_.now_);
  flow_->OnFailure(2, true, it_.now_);
  const SendToServer prefill = Sent();
  CHECK(prefill.part == SendPart::kPrefill);
  CHECK_EQUAL(2U, *prefill.last_event_id);
  CHECK(Bytes().empty());
  flow_->OnPrefilled(3, "p1:80/i", it_.now_);
  CHECK(Sent().server.id.value() == "d2");
  flow_->OnHead(4, kOk, it_.now_);
  flow_->OnBody(4, "id: 2\n\nid: 3\n\n", it_.now_);
  flow_->OnComplete(4, it_.now_);
  Take();
  CHECK(Bytes() == "id: 3\n\n");
  CHECK_EQUAL(1U, Only<AnswerStreamEnd>(commands_).size());
}

// Servers count each prompt that they read once more and each further run.
TEST(ForwardStream, GoingOnElsewhereTakesTwoSendsOfTheBudget) {
  for (const double slack : {1.5, 3.0}) {
    it_.budget_ = RetryBudget({0, slack, std::chrono::seconds(10)});
    Stream("resumable");
    flow_->OnFailure(2, true, it_.now_);
    Take();
    const bool goes_on = !Only<SendToServer>(commands_).empty();
    CHECK_EQUAL(slack > 2, goes_on);
  }
}

TEST(ForwardStream, BrokenStreamThatRunsOnceIsCutOff) {
  Stream("once");
  flow_->OnFailure(2, true, it_.now_);
  Take();
  CHECK_EQUAL(1U, Only<AnswerBreak>(commands_).size());
  CHECK(Only<AnswerStreamEnd>(commands_).empty());
}

TEST(ForwardStream, StreamThatEndsInsideAnEventDoesNotLookComplete) {
  Stream("once");
  flow_->OnBody(2, "id: 3\nda", it_.now_);
  flow_->OnComplete(2, it_.now_);
  Take();
  CHECK(Only<AnswerStreamEnd>(commands_).empty());
  CHECK_EQUAL(1U, Only<AnswerBreak>(commands_).size());
}

// Found by a hunt: a silent engine was given up for one that was not there.
TEST(ForwardStream, SilentEngineIsCheckedNotGivenUp) {
  Stream("resumable");
  it_.Advance(250);
  flow_->OnWake(it_.now_);
  Take();
  CHECK_EQUAL(1U, Only<CheckServer>(commands_).size());
  CHECK(Only<WithdrawAttempt>(commands_).empty());
  CHECK(Only<AnswerBreak>(commands_).empty());
}

TEST(ForwardStream, LongSilenceEndsAStreamOnlyForAPlaceThatIsThere) {
  Stream("resumable");
  it_.book_.SetStream(999, {BackendServerId("d2"), 74'000, 100}, it_.now_);
  it_.Advance(1800);
  flow_->OnWake(it_.now_);
  Take();
  CHECK(Only<WithdrawAttempt>(commands_).empty());
  it_.book_.RemoveStream(999, it_.now_);
  it_.Advance(400);
  flow_->OnWake(it_.now_);
  CHECK(Sent().part == SendPart::kPrefill);
}

TEST(ForwardStream, StreamOfAServerThatIsDownGoesOnElsewhere) {
  Stream("resumable");
  it_.Advance(250);
  flow_->OnServerDown({BackendServerId("d1"), 1}, it_.now_);
  CHECK(Sent().part == SendPart::kPrefill);
}

TEST(ForwardStream, SilentEngineKeepsAStreamThatRunsOnce) {
  Stream("once");
  it_.Advance(2500);
  flow_->OnWake(it_.now_);
  flow_->OnServerDown({BackendServerId("d1"), 1}, it_.now_);
  Take();
  CHECK(Only<AnswerBreak>(commands_).empty());
  CHECK(Only<WithdrawAttempt>(commands_).empty());
}

TEST(ForwardStream, StreamThatLostItsEngineWaitsForRoomWithoutBeingCutOff) {
  Stream("resumable");
  // The other engine is full.
  it_.book_.SetStream(999, {BackendServerId("d2"), 74'000, 100}, it_.now_);
  flow_->OnFailure(2, true, it_.now_);
  Take();
  CHECK(Only<AnswerBreak>(commands_).empty());
  CHECK_FALSE(flow_->done());
  it_.book_.RemoveStream(999, it_.now_);
  flow_->OnEnginesChanged(it_.now_);
  CHECK(Sent().part == SendPart::kPrefill);
}

// Found on a day on which a data centre was cut off: its hosts had prompts read
// for engines that they couldn't reach.
TEST(ForwardStream, NoPromptIsReadWhenNoDecodeEngineIsInReach) {
  it_.AnnounceEngines();
  it_.pool_.OnDown({BackendServerId("d1"), 1}, it_.now_);
  it_.pool_.OnDown({BackendServerId("d2"), 1}, it_.now_);
  flow_ = it_.MakeFlow("once");
  flow_->Start(it_.now_);
  Take();
  CHECK(Only<SendToServer>(commands_).empty());
  const auto own = Only<AnswerOwn>(commands_);
  CHECK_EQUAL(503, own.at(0).status);
  CHECK(own.at(0).retry_after == ForwardFlow::kRetryAfterNoEngine);
}

TEST(ForwardStream, StreamWithoutAnyEngineInReachGoesOnWhenOneComesBack) {
  Stream("resumable");
  it_.pool_.OnDown({BackendServerId("d2"), 1}, it_.now_);
  flow_->OnFailure(2, true, it_.now_);
  Take();
  CHECK(Only<AnswerBreak>(commands_).empty());
  it_.pool_.OnUp({BackendServerId("d2"), 1}, it_.now_);
  flow_->OnEnginesChanged(it_.now_);
  CHECK(Sent().part == SendPart::kPrefill);
}

TEST(ForwardStream, FullEnginesMakeARequestWaitThenServeIt) {
  it_.AnnounceEngines();
  it_.book_.SetStream(998, {BackendServerId("d1"), 74'000, 100}, it_.now_);
  it_.book_.SetStream(999, {BackendServerId("d2"), 74'000, 100}, it_.now_);
  flow_ = it_.MakeFlow("once");
  flow_->Start(it_.now_);
  Take();
  CHECK(commands_.empty());
  it_.book_.RemoveStream(998, it_.now_);
  flow_->OnEnginesChanged(it_.now_);
  CHECK(Sent().part == SendPart::kPrefill);
}

TEST(ForwardStream, WaitThatCannotEndInTimeIsRefusedAtOnce) {
  it_.AnnounceEngines();
  it_.book_.SetStream(998, {BackendServerId("d1"), 74'000, 100}, it_.now_);
  it_.book_.SetStream(999, {BackendServerId("d2"), 74'000, 100}, it_.now_);
  for (BookKey key = 100; key < 120; ++key) {
    it_.book_.SetWaiting(key, {ServiceId("models"), 0, 5000, 4000, {}},
                         it_.now_ + std::chrono::milliseconds(500), it_.now_);
  }
  flow_ = it_.MakeFlow("once");
  flow_->Start(it_.now_);
  Take();
  CHECK_EQUAL(503, Only<AnswerOwn>(commands_).at(0).status);
  CHECK(Only<AnswerOwn>(commands_).at(0).retry_after >=
        ForwardFlow::kLeastRetryAfter);
}

// Found in a flood: held until its caller left, then answered to nobody.
TEST(ForwardStream, WaitThatTurnsHopelessIsRefusedNotHeld) {
  it_.AnnounceEngines();
  it_.book_.SetStream(998, {BackendServerId("d1"), 74'000, 100}, it_.now_);
  it_.book_.SetStream(999, {BackendServerId("d2"), 74'000, 100}, it_.now_);
  flow_ = it_.MakeFlow("once");
  flow_->Start(it_.now_);
  Take();
  CHECK(commands_.empty());
  for (BookKey key = 100; key < 120; ++key) {
    it_.book_.SetWaiting(key, {ServiceId("models"), 0, 5000, 4000, {}},
                         it_.now_ + std::chrono::milliseconds(500), it_.now_);
  }
  it_.Advance(100);
  CHECK(flow_->NextWake() <= it_.now_);
  flow_->OnWake(it_.now_);
  Take();
  CHECK_EQUAL(503, Only<AnswerOwn>(commands_).at(0).status);
}

TEST(ForwardStream, EndedRequestLeavesNothingInTheBook) {
  Stream("once");
  flow_->OnCallerGone(it_.now_);
  CHECK_EQUAL(0U, it_.book_.stream_count());
}

}  // namespace briarlead
