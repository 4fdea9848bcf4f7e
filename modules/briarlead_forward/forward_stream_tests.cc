#include "briarlead_forward/forward_fixture.h"

namespace briarlead {

namespace {

constexpr ResponseFacts kOk = {200, false, false, true};
constexpr ResponseFacts kNotRun = {503, true, false, false};
constexpr ResponseFacts kServerError = {500, false, false, true};

}  // namespace

// Model requests: placement, KV results, streams resumed on another engine.
TEST_GROUP(ForwardStream) {
  ForwardFixture fixture_;
  std::unique_ptr<ForwardFlow> flow_;
  std::vector<ForwardCommand> commands_;

  void TakeCommands() {
    commands_ = flow_->TakeCommands();
  }
  SendToServer TakeSentCommand() {
    TakeCommands();
    const auto sent = CommandsOf<SendToServer>(commands_);
    CHECK_FALSE(sent.empty());
    return sent.empty() ? SendToServer() : sent.back();
  }
  std::string StreamBytes() {
    std::string bytes;
    for (const SendStreamBytes& it : CommandsOf<SendStreamBytes>(commands_))
      bytes += it.bytes;
    return bytes;
  }
  /// So many hosts that owners place the requests of this one.
  static std::vector<EntryHost> ManyHosts() {
    std::vector<EntryHost> hosts;
    for (int it = 1; it <= 40; ++it) {
      hosts.push_back({{"10.0.9." + std::to_string(it), 7001},
                       DataCentreId(it % 2 == 0 ? "here" : "there")});
    }
    return hosts;
  }
  /// Starts a request, completes its prefill and starts its stream.
  void StartStream(const char* route) {
    fixture_.AnnounceEngines();
    flow_ = fixture_.MakeFlow(route);
    flow_->Start(fixture_.now_);
    flow_->OnPrefilled(1, "p1:80/h", fixture_.now_);
    flow_->OnHead(2, kOk, fixture_.now_);
    flow_->OnBody(2, "id: 1\n\nid: 2\n\n", fixture_.now_);
    TakeCommands();
  }
};

TEST(ForwardStream, WhateverTheNextEngineAnswersNoneOfItIsTakenForEvents) {
  const std::vector<std::pair<ResponseFacts, std::string>> answers = {
      {kServerError, "out of memory\n\nmore\n\n"},
      {kServerError, "id: 3\ndata: x\n\n"},
      {kOk, "{\"error\": \"out of memory\"}"},
      {kOk, "{\"error\": \"out of memory\"}\n\n"},
      {kOk, "HTTP/1.1 500 Oops\r\nContent-Length: 4\r\n\r\noops"},
  };
  for (const auto& [facts, body] : answers) {
    StartStream("resumable");
    flow_->OnFailure(2, true, fixture_.now_);
    const SendToServer prefill = TakeSentCommand();
    flow_->OnPrefilled(prefill.attempt, "p1:80/i", fixture_.now_);
    const SendToServer next = TakeSentCommand();
    flow_->OnHead(next.attempt, facts, fixture_.now_);
    flow_->OnBody(next.attempt, body, fixture_.now_);
    flow_->OnComplete(next.attempt, fixture_.now_);
    TakeCommands();
    CHECK(StreamBytes().empty());
    CHECK(CommandsOf<EndStream>(commands_).empty());
    fixture_.Advance(60000);
  }
}

TEST(ForwardStream, OwnerIsToldNotToPlaceOnTheEngineThatHasEnded) {
  fixture_.AnnounceEngines();
  fixture_.relays_.SetHosts(ManyHosts());
  fixture_.owners_.SetHosts(ManyHosts());
  flow_ = fixture_.MakeFlow("once");
  flow_->Start(fixture_.now_);
  ModelPlacer::Answer answer;
  answer.placement.emplace();
  answer.placement->decode =
      fixture_.directory_.Find(BackendServerId("d1"))->record;
  flow_->OnPlacement(answer, fixture_.now_);
  const SendToServer sent = TakeSentCommand();
  flow_->OnFailure(sent.attempt, false, fixture_.now_);
  TakeCommands();
  const auto asked = CommandsOf<AskForPlacement>(commands_);
  CHECK_EQUAL(1U, asked.size());
  CHECK_EQUAL(1U, asked.at(0).excluded.size());
}

TEST(ForwardStream, EnginesAreReachedThroughAnotherHostByOneThatIsCutOff) {
  fixture_.AnnounceEngines();
  fixture_.relays_.SetHosts(ManyHosts());
  for (const char* it : {"p1", "d1", "d2"})
    fixture_.pool_.OnDown({BackendServerId(it), 1}, fixture_.now_);
  flow_ = fixture_.MakeFlow("once");
  flow_->Start(fixture_.now_);
  const SendToServer prefill = TakeSentCommand();
  CHECK(prefill.part == SendPart::kPrefill);
  CHECK_TRUE(prefill.relay.has_value());
  flow_->OnPrefilled(1, "p1:80/h", fixture_.now_);
  CHECK_TRUE(TakeSentCommand().relay.has_value());
}

TEST(ForwardStream, AnotherAnswerBehindTheLastEventIsNotTakenForOne) {
  StartStream("resumable");
  flow_->OnBody(2, "id: 3\n\nHTTP/1.1 200 OK\r\nId: other\r\n\r\nbody\n\n",
                fixture_.now_);
  TakeCommands();
  CHECK(StreamBytes() == "id: 3\n\n");
  CHECK(CommandsOf<EndStream>(commands_).empty());
}

TEST(ForwardStream, CommentsBetweenEventsArePassedOn) {
  StartStream("resumable");
  flow_->OnBody(2, ": still there\n\nid: 3\ndata: x\n\n", fixture_.now_);
  TakeCommands();
  CHECK(StreamBytes() == ": still there\n\nid: 3\ndata: x\n\n");
}

TEST(ForwardStream, PrefillResultIsPassedToTheDecodeEngine) {
  fixture_.AnnounceEngines();
  flow_ = fixture_.MakeFlow("once");
  flow_->Start(fixture_.now_);
  CHECK(TakeSentCommand().part == SendPart::kPrefill);
  CHECK_EQUAL(1U,
              fixture_.load_tracker_.StreamsOn(BackendServerId("d1")).size());
  CHECK_EQUAL(5000U,
              fixture_.load_tracker_.PrefillBacklog(BackendServerId("p1")));
  flow_->OnPrefilled(1, "p1:80/h", fixture_.now_);
  const SendToServer decode = TakeSentCommand();
  CHECK(decode.server.id.value() == "d1");
  CHECK(decode.kv_source == "p1:80/h");
  CHECK_EQUAL(0U, fixture_.load_tracker_.PrefillBacklog(BackendServerId("p1")));
}

TEST(ForwardStream, PrefillEngineThatSaysItLeavesGetsNoOtherPrompt) {
  fixture_.AnnounceEngines();
  flow_ = fixture_.MakeFlow("once");
  flow_->Start(fixture_.now_);
  ResponseFacts facts = kOk;
  facts.leaving = true;
  flow_->OnPrefillHead(1, facts, fixture_.now_);
  flow_->OnPrefilled(1, "p1:80/h", fixture_.now_);
  TakeCommands();
  flow_ = fixture_.MakeFlow("once");
  flow_->Start(fixture_.now_);
  CHECK(TakeSentCommand().part == SendPart::kWhole);
}

TEST(ForwardStream, EngineThatLeavesIsNotTakenFromALatePlacement) {
  fixture_.AnnounceEngines();
  fixture_.owners_.SetHosts(ManyHosts());
  flow_ = fixture_.MakeFlow("once");
  flow_->Start(fixture_.now_);
  TakeCommands();
  CHECK_EQUAL(1U, CommandsOf<AskForPlacement>(commands_).size());
  const ServerRecord d1 =
      fixture_.directory_.Find(BackendServerId("d1"))->record;
  fixture_.pool_.OnLeaving(IncarnationOf(d1));
  ModelPlacer::Answer answer;
  answer.placement = ModelPlacement{d1, std::nullopt, 0};
  flow_->OnPlacement(answer, fixture_.now_);
  TakeCommands();
  CHECK_TRUE(CommandsOf<SendToServer>(commands_).empty());
  const auto asked = CommandsOf<AskForPlacement>(commands_);
  CHECK_EQUAL(1U, asked.size());
  CHECK_TRUE(asked[0].excluded == std::vector{IncarnationOf(d1)});
  CHECK_FALSE(asked[0].is_repeat);
}

TEST(ForwardStream, DecodeEngineDoesThePrefillWithoutPrefillEngines) {
  fixture_.Announce("d1", "models", EngineStage::kDecode);
  flow_ = fixture_.MakeFlow("once");
  flow_->Start(fixture_.now_);
  const SendToServer sent = TakeSentCommand();
  CHECK(sent.part == SendPart::kWhole);
  CHECK(sent.kv_source.empty());
}

TEST(ForwardStream, FailedPrefillOfAnUnrepeatableStreamIsRetried) {
  fixture_.AnnounceEngines();
  fixture_.Announce("p2", "models", EngineStage::kPrefill);
  flow_ = fixture_.MakeFlow("once");
  flow_->Start(fixture_.now_);
  const std::string first = TakeSentCommand().server.id.value();
  flow_->OnFailure(1, true, fixture_.now_);
  const SendToServer second = TakeSentCommand();
  CHECK(second.part == SendPart::kPrefill);
  CHECK(second.server.id.value() != first);
}

TEST(ForwardStream, RefusedKvResultGoesToAnotherEngineBeforeItExpires) {
  fixture_.AnnounceEngines();
  flow_ = fixture_.MakeFlow("once");
  flow_->Start(fixture_.now_);
  flow_->OnPrefilled(1, "p1:80/h", fixture_.now_);
  CHECK(TakeSentCommand().server.id.value() == "d1");
  fixture_.Advance(100);
  flow_->OnHead(2, kNotRun, fixture_.now_);
  const SendToServer second = TakeSentCommand();
  CHECK(second.server.id.value() == "d2");
  CHECK(second.kv_source == "p1:80/h");
}

TEST(ForwardStream, BrokenStreamResumesAfterTheLastCompleteEvent) {
  StartStream("resumable");
  CHECK(StreamBytes() == "id: 1\n\nid: 2\n\n");
  flow_->OnBody(2, "id: 3\nda", fixture_.now_);
  flow_->OnFailure(2, true, fixture_.now_);
  const SendToServer prefill = TakeSentCommand();
  CHECK(prefill.part == SendPart::kPrefill);
  CHECK_EQUAL(2U, *prefill.last_event_id);
  CHECK(StreamBytes().empty());
  flow_->OnPrefilled(3, "p1:80/i", fixture_.now_);
  CHECK(TakeSentCommand().server.id.value() == "d2");
  flow_->OnHead(4, kOk, fixture_.now_);
  flow_->OnBody(4, "id: 2\n\nid: 3\n\n", fixture_.now_);
  flow_->OnComplete(4, fixture_.now_);
  TakeCommands();
  CHECK(StreamBytes() == "id: 3\n\n");
  CHECK_EQUAL(1U, CommandsOf<EndStream>(commands_).size());
}

// Resuming a stream repeats the prefill and the run: each counts as a retry.
TEST(ForwardStream, ResumingAStreamTakesTwoRetriesOfTheBudget) {
  for (const double slack : {1.5, 3.0}) {
    fixture_.budget_ = ForwardFixture::MakeBudget(0, slack);
    StartStream("resumable");
    flow_->OnFailure(2, true, fixture_.now_);
    TakeCommands();
    const bool resumed = !CommandsOf<SendToServer>(commands_).empty();
    CHECK_EQUAL(slack > 2, resumed);
  }
}

TEST(ForwardStream, BrokenUnrepeatableStreamIsAborted) {
  StartStream("once");
  flow_->OnFailure(2, true, fixture_.now_);
  TakeCommands();
  CHECK_EQUAL(1U, CommandsOf<AbortStream>(commands_).size());
  CHECK(CommandsOf<EndStream>(commands_).empty());
}

TEST(ForwardStream, StreamThatEndsInsideAnEventDoesNotLookComplete) {
  StartStream("once");
  flow_->OnBody(2, "id: 3\nda", fixture_.now_);
  flow_->OnComplete(2, fixture_.now_);
  TakeCommands();
  CHECK(CommandsOf<EndStream>(commands_).empty());
  CHECK_EQUAL(1U, CommandsOf<AbortStream>(commands_).size());
}

// A silent engine must not be abandoned while no other engine is available.
// A response without a length ends with its connection, also when it crashed.
TEST(ForwardStream, StreamThatEndsInsideAnEventIsResumedAfterTheOneBefore) {
  StartStream("resumable");
  flow_->OnBody(2, "id: 3\nda", fixture_.now_);
  flow_->OnComplete(2, fixture_.now_);
  TakeCommands();
  CHECK_TRUE(CommandsOf<EndStream>(commands_).empty());
  const auto sent = CommandsOf<SendToServer>(commands_);
  CHECK_EQUAL(1U, sent.size());
  CHECK_TRUE(sent[0].last_event_id == 2U);
  flow_->OnPrefilled(3, "p1:80/h", fixture_.now_);
  flow_->OnHead(4, kOk, fixture_.now_);
  flow_->OnBody(4, "id: 3\n\n", fixture_.now_);
  flow_->OnComplete(4, fixture_.now_);
  TakeCommands();
  CHECK_TRUE(StreamBytes() == "id: 3\n\n");
  CHECK_EQUAL(1U, CommandsOf<EndStream>(commands_).size());
}

TEST(ForwardStream, SilentEngineIsCheckedNotAbandoned) {
  StartStream("resumable");
  fixture_.Advance(250);
  flow_->OnWake(fixture_.now_);
  TakeCommands();
  CHECK_EQUAL(1U, CommandsOf<CheckServer>(commands_).size());
  CHECK(CommandsOf<WithdrawAttempt>(commands_).empty());
  CHECK(CommandsOf<AbortStream>(commands_).empty());
}

TEST(ForwardStream, LongSilenceMovesAStreamOnlyIfAnotherEngineHasRoom) {
  StartStream("resumable");
  fixture_.load_tracker_.SetStream(999, {BackendServerId("d2"), 74'000, 100},
                                   fixture_.now_);
  fixture_.Advance(1800);
  flow_->OnWake(fixture_.now_);
  TakeCommands();
  CHECK(CommandsOf<WithdrawAttempt>(commands_).empty());
  fixture_.load_tracker_.RemoveStream(999, fixture_.now_);
  fixture_.Advance(400);
  flow_->OnWake(fixture_.now_);
  CHECK(TakeSentCommand().part == SendPart::kPrefill);
}

TEST(ForwardStream, StreamOfADownServerResumesOnAnother) {
  StartStream("resumable");
  fixture_.Advance(250);
  flow_->OnServerDown({BackendServerId("d1"), 1}, fixture_.now_);
  CHECK(TakeSentCommand().part == SendPart::kPrefill);
}

TEST(ForwardStream, SilentEngineKeepsAnUnrepeatableStream) {
  StartStream("once");
  fixture_.Advance(2500);
  flow_->OnWake(fixture_.now_);
  flow_->OnServerDown({BackendServerId("d1"), 1}, fixture_.now_);
  TakeCommands();
  CHECK(CommandsOf<AbortStream>(commands_).empty());
  CHECK(CommandsOf<WithdrawAttempt>(commands_).empty());
}

TEST(ForwardStream, StreamThatLostItsEngineWaitsForRoom) {
  StartStream("resumable");
  // The other engine is full.
  fixture_.load_tracker_.SetStream(999, {BackendServerId("d2"), 74'000, 100},
                                   fixture_.now_);
  flow_->OnFailure(2, true, fixture_.now_);
  TakeCommands();
  CHECK(CommandsOf<AbortStream>(commands_).empty());
  CHECK_FALSE(flow_->done());
  fixture_.load_tracker_.RemoveStream(999, fixture_.now_);
  flow_->OnEnginesChanged(fixture_.now_);
  CHECK(TakeSentCommand().part == SendPart::kPrefill);
}

// A host in an isolated data centre must not start prefills for decode engines
// that it can't reach.
TEST(ForwardStream, NoPrefillWithoutAReachableDecodeEngine) {
  fixture_.AnnounceEngines();
  fixture_.pool_.OnDown({BackendServerId("d1"), 1}, fixture_.now_);
  fixture_.pool_.OnDown({BackendServerId("d2"), 1}, fixture_.now_);
  flow_ = fixture_.MakeFlow("once");
  flow_->Start(fixture_.now_);
  TakeCommands();
  CHECK(CommandsOf<SendToServer>(commands_).empty());
  const auto own = CommandsOf<SendOwnResponse>(commands_);
  CHECK_EQUAL(503, own.at(0).status);
  CHECK(own.at(0).retry_after == ForwardFlow::kRetryAfterNoEngine);
}

TEST(ForwardStream, StreamResumesWhenAnEngineBecomesReachable) {
  StartStream("resumable");
  fixture_.pool_.OnDown({BackendServerId("d2"), 1}, fixture_.now_);
  flow_->OnFailure(2, true, fixture_.now_);
  TakeCommands();
  CHECK(CommandsOf<AbortStream>(commands_).empty());
  fixture_.pool_.OnUp({BackendServerId("d2"), 1}, fixture_.now_);
  flow_->OnEnginesChanged(fixture_.now_);
  CHECK(TakeSentCommand().part == SendPart::kPrefill);
}

TEST(ForwardStream, RequestWaitsForFullEngines) {
  fixture_.AnnounceEngines();
  fixture_.load_tracker_.SetStream(998, {BackendServerId("d1"), 74'000, 100},
                                   fixture_.now_);
  fixture_.load_tracker_.SetStream(999, {BackendServerId("d2"), 74'000, 100},
                                   fixture_.now_);
  flow_ = fixture_.MakeFlow("once");
  flow_->Start(fixture_.now_);
  TakeCommands();
  CHECK(commands_.empty());
  fixture_.load_tracker_.RemoveStream(998, fixture_.now_);
  flow_->OnEnginesChanged(fixture_.now_);
  CHECK(TakeSentCommand().part == SendPart::kPrefill);
}

TEST(ForwardStream, RequestWithTooLongAWaitIsRefusedAtOnce) {
  fixture_.AnnounceEngines();
  fixture_.load_tracker_.SetStream(998, {BackendServerId("d1"), 74'000, 100},
                                   fixture_.now_);
  fixture_.load_tracker_.SetStream(999, {BackendServerId("d2"), 74'000, 100},
                                   fixture_.now_);
  for (RequestKey key = 100; key < 120; ++key) {
    fixture_.load_tracker_.SetWaiting(
        key, {ServiceId("models"), 0, 5000, 4000, {}},
        fixture_.now_ + std::chrono::milliseconds(500), fixture_.now_);
  }
  flow_ = fixture_.MakeFlow("once");
  flow_->Start(fixture_.now_);
  TakeCommands();
  CHECK_EQUAL(503, CommandsOf<SendOwnResponse>(commands_).at(0).status);
  CHECK(CommandsOf<SendOwnResponse>(commands_).at(0).retry_after >=
        ForwardFlow::kMinRetryAfter);
}

// Under overload the expected wait grows after a request was queued. Without
// the refusal, the request waits until its caller has disconnected.
TEST(ForwardStream, WaitingRequestIsRefusedWhenItsWaitBecomesTooLong) {
  fixture_.AnnounceEngines();
  fixture_.load_tracker_.SetStream(998, {BackendServerId("d1"), 74'000, 100},
                                   fixture_.now_);
  fixture_.load_tracker_.SetStream(999, {BackendServerId("d2"), 74'000, 100},
                                   fixture_.now_);
  flow_ = fixture_.MakeFlow("once");
  flow_->Start(fixture_.now_);
  TakeCommands();
  CHECK(commands_.empty());
  for (RequestKey key = 100; key < 120; ++key) {
    fixture_.load_tracker_.SetWaiting(
        key, {ServiceId("models"), 0, 5000, 4000, {}},
        fixture_.now_ + std::chrono::milliseconds(500), fixture_.now_);
  }
  fixture_.Advance(100);
  CHECK(flow_->NextWake() <= fixture_.now_);
  flow_->OnWake(fixture_.now_);
  TakeCommands();
  CHECK_EQUAL(503, CommandsOf<SendOwnResponse>(commands_).at(0).status);
}

TEST(ForwardStream, EndedRequestLeavesNoLoad) {
  StartStream("once");
  flow_->OnCallerGone(fixture_.now_);
  CHECK_EQUAL(0U, fixture_.load_tracker_.stream_count());
}

TEST(ForwardStream, DecodeEngineThatLeavesDuringThePrefillGetsNothing) {
  fixture_.AnnounceEngines();
  flow_ = fixture_.MakeFlow("once");
  flow_->Start(fixture_.now_);
  CHECK(TakeSentCommand().part == SendPart::kPrefill);
  // The nearer engine was placed.
  ServerRecord leaving =
      fixture_.directory_.Find(BackendServerId("d1"))->record;
  leaving.state = ServerState::kLeaving;
  ++leaving.sequence;
  fixture_.directory_.Merge(leaving, fixture_.now_);
  flow_->OnPrefilled(1, "p1:80/h", fixture_.now_);
  const SendToServer sent = TakeSentCommand();
  CHECK(sent.server.id.value() == "d2");
  CHECK(sent.part == SendPart::kWhole);
  CHECK(sent.kv_source == "p1:80/h");
}

// Guards against streams that go on well and are left for another server at
// half of the target latency (TWICE).
TEST(ForwardStream, StreamOfAPlainServerIsLeftOnlyWhenItFallsSilent) {
  fixture_.Announce("s1", "desk");
  fixture_.Announce("s2", "desk");
  Route route = fixture_.table_->list().routes[2];
  route.services = {{ServiceId("desk"), 1}};
  RequestFacts facts;
  facts.id = "r";
  facts.patience = std::chrono::seconds(10);
  flow_ = fixture_.MakeFlow(route, facts);
  flow_->Start(fixture_.now_);
  flow_->OnConnected(1);
  flow_->OnHead(1, kOk, fixture_.now_);
  TakeCommands();
  for (int event = 1; event <= 8; ++event) {
    fixture_.Advance(290);
    flow_->OnBody(1, "id: " + std::to_string(event) + "\n\n", fixture_.now_);
    flow_->OnWake(fixture_.now_);
    TakeCommands();
    LONGS_EQUAL(0, CommandsOf<SendToServer>(commands_).size());
  }
  std::size_t sends = 0;
  Duration silence = Duration::zero();
  const TimePoint last_event = fixture_.now_;
  while (sends == 0 && silence < ForwardFlow::kMaxSilence * 2) {
    fixture_.now_ = flow_->NextWake();
    silence = fixture_.now_ - last_event;
    flow_->OnWake(fixture_.now_);
    TakeCommands();
    sends = CommandsOf<SendToServer>(commands_).size();
  }
  CHECK_EQUAL(1U, sends);
  CHECK_TRUE(silence >= ForwardFlow::kMaxSilence);
}

}  // namespace briarlead
