#include "briarlead_forward/forward_fixture.h"

#include <algorithm>

namespace briarlead {

TEST_GROUP(ServerHealth) {
  ServerHealth health_;
  TimePoint now_{std::chrono::seconds(1)};
};

TEST(ServerHealth, ServerThatRefusesAgainAndAgainIsLeftForLonger) {
  // The stated target: two requests at most from half a second after a server
  // wanted rest, for three seconds, even if its wish was never read.
  const TimePoint asked = now_;
  unsigned late = 0;
  for (; now_ < asked + std::chrono::seconds(3);
       now_ += std::chrono::milliseconds(10)) {
    if (!health_.Admits(0, now_))
      continue;
    late += now_ - asked >= std::chrono::milliseconds(500) ? 1 : 0;
    health_.OnOutcome(AttemptOutcome::kRefused, now_);
  }
  CHECK(late <= 2);
  now_ += ServerHealth::kMaxFullPause;
  health_.OnOutcome(AttemptOutcome::kServed, now_);
  health_.OnOutcome(AttemptOutcome::kRefused, now_);
  CHECK(health_.Admits(0, now_ + ServerHealth::kFullPause));
}

TEST(ServerHealth, FailedConnectionEjectsAtOnceWithExponentialBackoff) {
  CHECK(health_.OnOutcome(AttemptOutcome::kNotConnected, now_));
  CHECK_FALSE(health_.Admits(0, now_));
  now_ += ServerHealth::kFirstEjection;
  CHECK(health_.Admits(0, now_));
  CHECK(health_.OnOutcome(AttemptOutcome::kNotConnected, now_));
  CHECK_FALSE(health_.Admits(0, now_ + ServerHealth::kFirstEjection));
  CHECK(health_.Admits(0, now_ + 2 * ServerHealth::kFirstEjection));
}

TEST(ServerHealth, OneBrokenResponseDoesNotEject) {
  CHECK_FALSE(health_.OnOutcome(AttemptOutcome::kBroken, now_));
  CHECK(health_.Admits(5, now_));
  CHECK(health_.OnOutcome(AttemptOutcome::kBroken, now_));
}

TEST(ServerHealth, AdmitsOneRequestAtATimeDuringProbation) {
  health_.OnOutcome(AttemptOutcome::kNotConnected, now_);
  now_ += ServerHealth::kFirstEjection;
  CHECK_FALSE(health_.Admits(1, now_));
  health_.OnOutcome(AttemptOutcome::kServed, now_);
  CHECK(health_.Admits(9, now_));
}

TEST(ServerHealth, ServerThatFailsMostRequestsIsEjected) {
  bool ejected = false;
  for (int i = 0; i < 20; ++i)
    ejected |= health_.OnOutcome(AttemptOutcome::kServerError, now_);
  CHECK(ejected);
}

TEST(ServerHealth, OneErrorInSevenDoesNotEject) {
  for (int i = 0; i < 200; ++i) {
    CHECK_FALSE(health_.OnOutcome(
        i % 7 == 0 ? AttemptOutcome::kServerError : AttemptOutcome::kServed,
        now_));
  }
}

TEST_GROUP(ServerPool) {
  ForwardFixture fixture_;
};

// When a data centre becomes unreachable, its other servers must be checked at
// once. Otherwise each is found down only by a stream that loses two seconds.
TEST(ServerPool, OtherServersOfARemoteDataCentreAreListed) {
  fixture_.Announce("a", "desk", EngineStage::kNone, "there");
  fixture_.Announce("b", "models", EngineStage::kDecode, "there");
  fixture_.Announce("c", "desk", EngineStage::kNone, "elsewhere");
  fixture_.Announce("d", "desk");
  fixture_.Announce("e", "desk");
  const auto others = [&](const char* id) {
    return fixture_.pool_.OthersInDataCentreOf(
        fixture_.directory_.Find(BackendServerId(id))->record);
  };
  CHECK_EQUAL(1U, others("a").size());
  CHECK(others("a").at(0).id.value() == "b");
  CHECK(others("c").empty());
  CHECK(others("d").empty());
}

TEST(ServerPool, ServerThatSaysItLeavesGetsNothingMore) {
  fixture_.Announce("a", "desk");
  const ServerRecord a = fixture_.directory_.Find(BackendServerId("a"))->record;
  const ServerQuery query{ServiceId("desk"), EngineStage::kNone, {}};
  fixture_.pool_.OnLeaving(IncarnationOf(a));
  CHECK_FALSE(fixture_.pool_.Choose(query, fixture_.now_, fixture_.random_)
                  .has_value());
  CHECK_TRUE(fixture_.pool_.Usable(query, fixture_.now_).empty());
  // Its next incarnation is another server.
  ServerRecord next = a;
  ++next.born_ms;
  fixture_.directory_.Merge(next, fixture_.now_);
  CHECK_TRUE(fixture_.pool_.Choose(query, fixture_.now_, fixture_.random_)
                 .has_value());
}

TEST(ServerPool, ServerThatToldAnotherHostThatItLeavesGetsNothingMore) {
  ForwardFixture other;
  for (ForwardFixture* it : {&fixture_, &other})
    it->Announce("a", "desk");
  const ServerRecord a = fixture_.directory_.Find(BackendServerId("a"))->record;
  fixture_.pool_.OnLeaving(IncarnationOf(a));
  CHECK_EQUAL(1U, fixture_.pool_.leaving_revision());
  for (const ServerIncarnation& it : fixture_.pool_.LeavingByAnswers())
    other.pool_.OnToldLeaving(it);
  const ServerQuery query{ServiceId("desk"), EngineStage::kNone, {}};
  CHECK_FALSE(other.pool_.Choose(query, other.now_, other.random_).has_value());
  // What was told is not told on, and says nothing of the next incarnation.
  CHECK_TRUE(other.pool_.LeavingByAnswers().empty());
  other.pool_.OnToldLeaving({BackendServerId("a"), a.born_ms + 1});
  ServerRecord next = a;
  ++next.born_ms;
  other.directory_.Merge(next, other.now_);
  CHECK_TRUE(other.pool_.Choose(query, other.now_, other.random_).has_value());
}

TEST(ServerPool, ServerGetsNothingForAsLongAsItAskedFor) {
  fixture_.Announce("a", "desk");
  const ServerIncarnation a =
      IncarnationOf(fixture_.directory_.Find(BackendServerId("a"))->record);
  const ServerQuery query{ServiceId("desk"), EngineStage::kNone, {}};
  const auto is_usable = [&] {
    return fixture_.pool_.Choose(query, fixture_.now_, fixture_.random_)
        .has_value();
  };
  fixture_.pool_.OnPauseWanted(a, std::chrono::seconds(4), fixture_.now_);
  fixture_.pool_.OnPauseWanted(a, std::chrono::seconds(2), fixture_.now_);
  CHECK_FALSE(is_usable());
  CHECK_TRUE(fixture_.pool_.PauseEnd(query.service, fixture_.now_) ==
             fixture_.now_ + std::chrono::seconds(4));
  fixture_.Advance(3999);
  CHECK_FALSE(is_usable());
  fixture_.Advance(1);
  CHECK_TRUE(is_usable());
  CHECK_FALSE(
      fixture_.pool_.PauseEnd(query.service, fixture_.now_).has_value());
  // A wrong answer doesn't take a server away for ever.
  fixture_.pool_.OnPauseWanted(a, std::chrono::hours(50), fixture_.now_);
  fixture_.now_ += ServerPool::kMaxPause;
  CHECK_TRUE(is_usable());
}

TEST(ServerPool, DownServerIsNotUsableUntilItAcceptsAConnection) {
  fixture_.Announce("a", "desk");
  fixture_.Announce("b", "desk");
  const ServerQuery query{ServiceId("desk"), EngineStage::kNone, {}};
  const ServerIncarnation down{BackendServerId("a"), 1};
  CHECK(fixture_.pool_.OnDown(down, fixture_.now_));
  CHECK_FALSE(fixture_.pool_.OnDown(down, fixture_.now_));
  fixture_.Advance(3000);
  CHECK(fixture_.pool_.Usable(query, fixture_.now_).at(0).id.value() == "b");
  CHECK_EQUAL(1U, fixture_.pool_.Usable(query, fixture_.now_).size());
  CHECK_EQUAL(1U, fixture_.pool_.Down().size());
  fixture_.pool_.OnUp(down, fixture_.now_);
  CHECK(fixture_.pool_.Down().empty());
  // It must serve a request before it is in the same tier as the other.
  fixture_.pool_.OnOutcome(down, AttemptOutcome::kServed, SendPath::kDirect,
                           fixture_.now_);
  CHECK_EQUAL(2U, fixture_.pool_.Usable(query, fixture_.now_).size());
}

TEST(ServerPool, DownServersAreChosenWhenNoOtherIsLeft) {
  fixture_.Announce("a", "desk");
  fixture_.pool_.OnDown({BackendServerId("a"), 1}, fixture_.now_);
  const ServerQuery query{ServiceId("desk"), EngineStage::kNone, {}};
  CHECK(fixture_.pool_.Choose(query, fixture_.now_, fixture_.random_)
            .has_value());
  // Engines come from Usable(), so no prefill is done for one that is down.
  CHECK(fixture_.pool_.Usable(query, fixture_.now_).empty());
}

TEST(ServerPool, HostThatReachesNoOtherDataCentreSeemsIsolated) {
  fixture_.Announce("a", "desk");
  CHECK_FALSE(fixture_.pool_.SeemsIsolated());
  fixture_.Announce("b", "desk", EngineStage::kNone, "there");
  fixture_.Announce("c", "models", EngineStage::kDecode, "elsewhere");
  fixture_.pool_.OnDown({BackendServerId("b"), 1}, fixture_.now_);
  CHECK_FALSE(fixture_.pool_.SeemsIsolated());
  fixture_.pool_.OnDown({BackendServerId("c"), 1}, fixture_.now_);
  CHECK(fixture_.pool_.SeemsIsolated());
  fixture_.pool_.OnUp({BackendServerId("b"), 1}, fixture_.now_);
  CHECK_FALSE(fixture_.pool_.SeemsIsolated());
}

// An isolated host reports healthy servers as down. Its report must not make
// the other hosts treat them as down.
TEST(ServerPool, ReportOfAnotherHostOnlyMakesAServerSuspect) {
  fixture_.Announce("a", "desk");
  fixture_.Announce("b", "desk");
  const ServerQuery query{ServiceId("desk"), EngineStage::kNone, {}};
  const ServerIncarnation reported{BackendServerId("a"), 1};
  CHECK(fixture_.pool_.OnReportedDown(reported, fixture_.now_).has_value());
  CHECK_FALSE(
      fixture_.pool_.OnReportedDown(reported, fixture_.now_).has_value());
  CHECK(fixture_.pool_.Down().empty());
  CHECK_EQUAL(1U, fixture_.pool_.Usable(query, fixture_.now_).size());
  fixture_.now_ += ServerPool::kSuspicionTime;
  CHECK_EQUAL(2U, fixture_.pool_.Usable(query, fixture_.now_).size());
}

TEST(ServerPool, ReportOfAnEarlierIncarnationIsDropped) {
  fixture_.Announce("a", "desk");
  const ServerIncarnation earlier{BackendServerId("a"), 0};
  CHECK_FALSE(
      fixture_.pool_.OnReportedDown(earlier, fixture_.now_).has_value());
}

TEST_GROUP(EventSplitter) {
  EventSplitter events_;
};

TEST(EventSplitter, ReturnsCompleteEventsForAnyChunking) {
  const std::string text =
      "id: 1\ndata: a\n\nid:22\r\ndata: b\r\n\r\ndata: c\n\n";
  std::string out;
  std::vector<std::uint64_t> ids;
  for (const char it : text) {
    events_.Feed({&it, 1});
    while (const auto event = events_.Next()) {
      out += event->bytes;
      ids.push_back(event->id.value_or(0));
    }
  }
  CHECK(out == text);
  CHECK((ids == std::vector<std::uint64_t>{1, 22, 0}));
  CHECK(events_.AtBoundary());
}

TEST_GROUP(ModelPlacer) {
  ForwardFixture fixture_;

  ModelDemand Demand(std::uint32_t prompt, std::uint32_t output) {
    ModelDemand demand;
    demand.service = ServiceId("models");
    demand.prompt_tokens = prompt;
    demand.output_tokens = output;
    demand.target = fixture_.now_ + std::chrono::milliseconds(500);
    return demand;
  }
  ModelPlacer::Answer Place(std::uint32_t prompt, std::uint32_t output,
                            std::uint32_t rank = 0) {
    ModelDemand demand = Demand(prompt, output);
    demand.rank = rank;
    const EngineTraits traits = *fixture_.table_->list().services[1].engine;
    return fixture_.placer_.Place(demand, {HostId(), 0}, traits, {},
                                  fixture_.now_, fixture_.random_);
  }
};

TEST(ModelPlacer, PeakIsReachedAtTheEndOfAStream) {
  // A single stream: 10 tokens held and 5 to come.
  CHECK_EQUAL(15U, ModelPlacer::PeakTokens({}, {{}, 10, 5}));
  // One stream ends after 5 steps, when both hold 15 + 25; the other then grows
  // to 40.
  CHECK_EQUAL(40U, ModelPlacer::PeakTokens({{{}, 20, 20}}, {{}, 10, 5}));
  // Both streams end at the same step.
  CHECK_EQUAL(70U, ModelPlacer::PeakTokens({{{}, 20, 20}}, {{}, 10, 20}));
}

TEST(ModelPlacer, StreamsFitIntoMemoryAtTheirExpectedPeak) {
  fixture_.AnnounceEngines();
  int placed = 0;
  while (Place(5000, 4000).placement.has_value()) {
    const auto answer = Place(5000, 4000);
    fixture_.load_tracker_.SetStream(static_cast<RequestKey>(++placed),
                                     {answer.placement->decode.id, 5000, 4000},
                                     fixture_.now_);
  }
  // Two engines of 75,000 tokens hold streams of 9,000 tokens each. A part of
  // the memory is reserved for outputs that are longer than expected.
  const int streams_per_engine =
      static_cast<int>(75'000 * ModelPlacer::kMemoryShare / 9'000);
  CHECK_EQUAL(2 * streams_per_engine, placed);
}

TEST(ModelPlacer, MoreUrgentRequestsOfOtherHostsGoFirst) {
  fixture_.AnnounceEngines();
  fixture_.load_tracker_.SetStream(1, {BackendServerId("d1"), 50'000, 6000},
                                   fixture_.now_);
  fixture_.load_tracker_.SetStream(2, {BackendServerId("d2"), 74'000, 10},
                                   fixture_.now_);
  CHECK(Place(5000, 4000, 2).placement.has_value());
  HostLoad other;
  other.number = 1;
  other.waiting = {
      {ServiceId("models"), 0, 5000, 4000, std::chrono::milliseconds(300)}};
  fixture_.load_tracker_.OnHostLoad(HostId("b"), other, fixture_.now_);
  CHECK_FALSE(Place(5000, 4000, 2).placement.has_value());
  CHECK(Place(5000, 4000, 0).failure == PlacementFailure::kMustWait);
}

TEST(ModelPlacer, RequestsForAnotherServiceDoNotDelayPlacement) {
  fixture_.AnnounceEngines();
  WaitingLoad load;
  load.service = ServiceId("other-models");
  load.prompt_tokens = 70'000;
  load.output_tokens = 5000;
  fixture_.load_tracker_.SetWaiting(1, load, fixture_.now_, fixture_.now_);
  CHECK(Place(5000, 4000, 3).placement.has_value());
}

TEST(ModelPlacer, LoadOfASilentHostExpires) {
  fixture_.AnnounceEngines();
  HostLoad other;
  other.number = 1;
  other.streams = {{BackendServerId("d1"), 74'000, 10},
                   {BackendServerId("d2"), 74'000, 10}};
  fixture_.load_tracker_.OnHostLoad(HostId("b"), other, fixture_.now_);
  CHECK_FALSE(Place(5000, 4000).placement.has_value());
  fixture_.now_ += EngineLoadTracker::kPeerTimeout;
  fixture_.load_tracker_.Expire(fixture_.now_);
  CHECK(Place(5000, 4000).placement.has_value());
}

TEST(ModelPlacer, PrefillGoesToTheShortestBacklog) {
  fixture_.AnnounceEngines();
  fixture_.Announce("p2", "models", EngineStage::kPrefill, "there");
  CHECK(Place(5000, 4000).placement->prefill->id.value() == "p1");
  fixture_.load_tracker_.SetPrefill(1, {BackendServerId("p1"), 9000},
                                    fixture_.now_);
  CHECK(Place(5000, 4000).placement->prefill->id.value() == "p2");
}

TEST_GROUP(EngineLoadTracker) {
  EngineLoadTracker load_tracker_;
  TimePoint now_{std::chrono::seconds(1)};
};

// Engines cache processed prompts: repeating a prefill there costs almost
// nothing.
TEST(ModelPlacer, RepeatedPrefillGoesToTheSameEngineUnlessItIsBusy) {
  fixture_.Announce("p1", "models", EngineStage::kPrefill);
  fixture_.Announce("p2", "models", EngineStage::kPrefill, "there");
  ModelDemand demand = Demand(5000, 4000);
  demand.prefilled_by = BackendServerId("p2");
  const auto chosen = [&] {
    return fixture_.placer_
        .ChoosePrefill(demand, {}, fixture_.now_, fixture_.random_)
        ->id.value();
  };
  CHECK(chosen() == "p2");
  fixture_.load_tracker_.SetPrefill(1, {BackendServerId("p2"), 9000},
                                    fixture_.now_);
  CHECK(chosen() == "p1");
}

TEST(EngineLoadTracker, WaitingRequestsAreOrderedByLatenessRankAndTarget) {
  const auto wait = [&](RequestKey key, std::uint32_t rank, int target_ms) {
    load_tracker_.SetWaiting(key, {ServiceId("models"), rank, 1, 1, {}},
                             now_ + std::chrono::milliseconds(target_ms), now_);
  };
  wait(1, 0, -5);
  wait(2, 2, 100);
  wait(3, 0, 300);
  wait(4, 0, 200);
  std::vector<RequestKey> order;
  for (const EngineLoadTracker::Waiting& it :
       load_tracker_.WaitingInOrder(ServiceId("models"), now_))
    order.push_back(it.request.key);
  CHECK((order == std::vector<RequestKey>{4, 3, 2, 1}));
}

TEST(EngineLoadTracker, OutdatedMessagesOfAHostAreDropped) {
  HostLoad newer;
  newer.number = 5;
  HostLoad older;
  older.number = 4;
  older.streams = {{BackendServerId("d1"), 10, 10}};
  load_tracker_.OnHostLoad(HostId("b"), newer, now_);
  load_tracker_.OnHostLoad(HostId("b"), older, now_);
  CHECK_EQUAL(0U, load_tracker_.stream_count());
}

TEST_GROUP(OutputLengthEstimator){};

TEST(OutputLengthEstimator, LearnsTheMeanLength) {
  OutputLengthEstimator estimator;
  RequestFacts facts;
  facts.max_output_tokens = 8000;
  CHECK_EQUAL(4000U, estimator.Estimate(facts));
  for (int i = 0; i < 50; ++i)
    estimator.OnOutput(1000);
  DOUBLES_EQUAL(1000, estimator.Estimate(facts), 2);
  facts.output_estimate = 4000;
  DOUBLES_EQUAL(2000, estimator.Estimate(facts), 4);
}

}  // namespace briarlead
