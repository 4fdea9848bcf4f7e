#include "briarlead_forward/forward_fixture.h"

#include <algorithm>

namespace briarlead {

TEST_GROUP(ServerHealth) {
  ServerHealth health_;
  TimePoint now_{std::chrono::seconds(1)};
};

TEST(ServerHealth, FailedConnectionEjectsAtOnceAndForLongerEachTime) {
  CHECK(health_.OnOutcome(AttemptOutcome::kNotConnected, now_));
  CHECK_FALSE(health_.Admits(0, now_));
  now_ += ServerHealth::kFirstEjection;
  CHECK(health_.Admits(0, now_));
  CHECK(health_.OnOutcome(AttemptOutcome::kNotConnected, now_));
  CHECK_FALSE(health_.Admits(0, now_ + ServerHealth::kFirstEjection));
  CHECK(health_.Admits(0, now_ + 2 * ServerHealth::kFirstEjection));
}

TEST(ServerHealth, OneBrokenResponseIsNoReason) {
  CHECK_FALSE(health_.OnOutcome(AttemptOutcome::kBroken, now_));
  CHECK(health_.Admits(5, now_));
  CHECK(health_.OnOutcome(AttemptOutcome::kBroken, now_));
}

TEST(ServerHealth, OneRequestAtATimeUntilOneIsServed) {
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

TEST(ServerHealth, OneErrorInSevenIsNoReason) {
  for (int i = 0; i < 200; ++i) {
    CHECK_FALSE(health_.OnOutcome(
        i % 7 == 0 ? AttemptOutcome::kServerError : AttemptOutcome::kServed,
        now_));
  }
}

TEST_GROUP(ServerPool) {
  ForwardFixture it_;
};

// Found in an incident: a data centre was cut off, and its servers were found
// down one after the other, each by a stream that it cost two seconds.
TEST(ServerPool, ServersOfADownServersDataCentreAreItsNeighbours) {
  it_.Announce("a", "desk", EngineStage::kNone, "there");
  it_.Announce("b", "models", EngineStage::kDecode, "there");
  it_.Announce("c", "desk", EngineStage::kNone, "elsewhere");
  it_.Announce("d", "desk");
  it_.Announce("e", "desk");
  const auto neighbours = [&](const char* id) {
    return it_.pool_.NeighboursOf(
        it_.directory_.Find(BackendServerId(id))->record);
  };
  CHECK_EQUAL(1U, neighbours("a").size());
  CHECK(neighbours("a").at(0).id.value() == "b");
  CHECK(neighbours("c").empty());
  CHECK(neighbours("d").empty());
}

TEST(ServerPool, ServerThatIsDownGetsNothingUntilItTakesAConnection) {
  it_.Announce("a", "desk");
  it_.Announce("b", "desk");
  const ServerQuery query{ServiceId("desk"), EngineStage::kNone, {}};
  const ServerStart down{BackendServerId("a"), 1};
  CHECK(it_.pool_.OnDown(down, it_.now_));
  CHECK_FALSE(it_.pool_.OnDown(down, it_.now_));
  it_.Advance(3000);
  CHECK(it_.pool_.Usable(query, it_.now_).at(0).id.value() == "b");
  CHECK_EQUAL(1U, it_.pool_.Usable(query, it_.now_).size());
  CHECK_EQUAL(1U, it_.pool_.Down().size());
  it_.pool_.OnUp(down, it_.now_);
  CHECK(it_.pool_.Down().empty());
  // It must serve a request before it is trusted like the other.
  it_.pool_.OnOutcome(down, AttemptOutcome::kServed, it_.now_);
  CHECK_EQUAL(2U, it_.pool_.Usable(query, it_.now_).size());
}

TEST(ServerPool, ServersThatAreDownAreTriedWhenNoOtherIsLeft) {
  it_.Announce("a", "desk");
  it_.pool_.OnDown({BackendServerId("a"), 1}, it_.now_);
  const ServerQuery query{ServiceId("desk"), EngineStage::kNone, {}};
  CHECK(it_.pool_.Choose(query, it_.now_, it_.random_).has_value());
  // But no prompt is read for an engine that takes no connection.
  CHECK(it_.pool_.Usable(query, it_.now_).empty());
}

TEST(ServerPool, HostThatReachesNoOtherDataCentreSeemsCutOff) {
  it_.Announce("a", "desk");
  CHECK_FALSE(it_.pool_.SeemsCutOff());
  it_.Announce("b", "desk", EngineStage::kNone, "there");
  it_.Announce("c", "models", EngineStage::kDecode, "elsewhere");
  it_.pool_.OnDown({BackendServerId("b"), 1}, it_.now_);
  CHECK_FALSE(it_.pool_.SeemsCutOff());
  it_.pool_.OnDown({BackendServerId("c"), 1}, it_.now_);
  CHECK(it_.pool_.SeemsCutOff());
  it_.pool_.OnUp({BackendServerId("b"), 1}, it_.now_);
  CHECK_FALSE(it_.pool_.SeemsCutOff());
}

// A host that is cut off itself must not take servers from the others.
TEST(ServerPool, WordOfAnotherHostOnlyMakesAServerDoubted) {
  it_.Announce("a", "desk");
  it_.Announce("b", "desk");
  const ServerQuery query{ServiceId("desk"), EngineStage::kNone, {}};
  const ServerStart told{BackendServerId("a"), 1};
  CHECK(it_.pool_.OnReportedDown(told, it_.now_).has_value());
  CHECK_FALSE(it_.pool_.OnReportedDown(told, it_.now_).has_value());
  CHECK(it_.pool_.Down().empty());
  CHECK_EQUAL(1U, it_.pool_.Usable(query, it_.now_).size());
  it_.now_ += ServerPool::kDoubtTime;
  CHECK_EQUAL(2U, it_.pool_.Usable(query, it_.now_).size());
}

TEST(ServerPool, WordOfAnEarlierStartIsDropped) {
  it_.Announce("a", "desk");
  const ServerStart earlier{BackendServerId("a"), 0};
  CHECK_FALSE(it_.pool_.OnReportedDown(earlier, it_.now_).has_value());
}

TEST_GROUP(EventSplitter) {
  EventSplitter events_;
};

TEST(EventSplitter, GivesWholeEventsHoweverTheyAreCut) {
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
  ForwardFixture it_;

  ModelDemand Demand(std::uint32_t prompt, std::uint32_t output) {
    ModelDemand demand;
    demand.service = ServiceId("models");
    demand.prompt_tokens = prompt;
    demand.output_tokens = output;
    demand.target = it_.now_ + std::chrono::milliseconds(500);
    return demand;
  }
  ModelPlacer::Answer Place(std::uint32_t prompt, std::uint32_t output,
                            std::uint32_t rank = 0) {
    ModelDemand demand = Demand(prompt, output);
    demand.rank = rank;
    const EngineTraits traits = *it_.table_->list().services[1].engine;
    return it_.placer_.Place(demand, 0, traits, {}, it_.now_, it_.random_);
  }
};

TEST(ModelPlacer, PeakIsReachedAtTheEndOfAStream) {
  // Alone: 10 held and 5 to come.
  CHECK_EQUAL(15U, ModelPlacer::PeakTokens({}, {{}, 10, 5}));
  // The first ends after 5 steps with 15 and 25 held, the second goes to 40.
  CHECK_EQUAL(40U, ModelPlacer::PeakTokens({{{}, 20, 20}}, {{}, 10, 5}));
  // Both at their ends at once.
  CHECK_EQUAL(70U, ModelPlacer::PeakTokens({{{}, 20, 20}}, {{}, 10, 20}));
}

TEST(ModelPlacer, StreamsFitIntoMemoryToTheirExpectedEnds) {
  it_.AnnounceEngines();
  int placed = 0;
  while (Place(5000, 4000).placement.has_value()) {
    const auto answer = Place(5000, 4000);
    it_.book_.SetStream(static_cast<BookKey>(++placed),
                        {answer.placement->decode.id, 5000, 4000}, it_.now_);
  }
  // Streams of 9,000 tokens on each of two engines of 75,000, of which a part
  // is kept for outputs that are longer than expected.
  const int streams_an_engine =
      static_cast<int>(75'000 * ModelPlacer::kMemoryShare / 9'000);
  CHECK_EQUAL(2 * streams_an_engine, placed);
}

TEST(ModelPlacer, OthersThatWaitAndAreMoreUrgentGoFirst) {
  it_.AnnounceEngines();
  it_.book_.SetStream(1, {BackendServerId("d1"), 50'000, 6000}, it_.now_);
  it_.book_.SetStream(2, {BackendServerId("d2"), 74'000, 10}, it_.now_);
  CHECK(Place(5000, 4000, 2).placement.has_value());
  HostLoad other;
  other.number = 1;
  other.waiting = {
      {ServiceId("models"), 0, 5000, 4000, std::chrono::milliseconds(300)}};
  it_.book_.OnHostLoad(HostId("b"), other, it_.now_);
  CHECK_FALSE(Place(5000, 4000, 2).placement.has_value());
  CHECK(Place(5000, 4000, 0).refusal == PlacementRefusal::kMustWait);
}

TEST(ModelPlacer, WaitingForAnotherServiceIsNotInTheWay) {
  it_.AnnounceEngines();
  WaitingLoad load;
  load.service = ServiceId("other-models");
  load.prompt_tokens = 70'000;
  load.output_tokens = 5000;
  it_.book_.SetWaiting(1, load, it_.now_, it_.now_);
  CHECK(Place(5000, 4000, 3).placement.has_value());
}

TEST(ModelPlacer, WordOfAHostThatIsSilentIsForgotten) {
  it_.AnnounceEngines();
  HostLoad other;
  other.number = 1;
  other.streams = {{BackendServerId("d1"), 74'000, 10},
                   {BackendServerId("d2"), 74'000, 10}};
  it_.book_.OnHostLoad(HostId("b"), other, it_.now_);
  CHECK_FALSE(Place(5000, 4000).placement.has_value());
  it_.now_ += EngineBook::kHostLife;
  it_.book_.Expire(it_.now_);
  CHECK(Place(5000, 4000).placement.has_value());
}

TEST(ModelPlacer, PrefillGoesWhereLeastIsWaiting) {
  it_.AnnounceEngines();
  it_.Announce("p2", "models", EngineStage::kPrefill, "there");
  CHECK(Place(5000, 4000).placement->prefill->id.value() == "p1");
  it_.book_.SetPrefill(1, {BackendServerId("p1"), 9000}, it_.now_);
  CHECK(Place(5000, 4000).placement->prefill->id.value() == "p2");
}

TEST_GROUP(EngineBook) {
  EngineBook book_;
  TimePoint now_{std::chrono::seconds(1)};
};

// Engines keep what they have read: a prompt read again costs almost nothing
// there.
TEST(ModelPlacer, PromptGoesBackToTheEngineThatHasReadItUnlessThatIsBusy) {
  it_.Announce("p1", "models", EngineStage::kPrefill);
  it_.Announce("p2", "models", EngineStage::kPrefill, "there");
  ModelDemand demand = Demand(5000, 4000);
  demand.read_by = BackendServerId("p2");
  const auto chosen = [&] {
    return it_.placer_.ChoosePrefill(demand, {}, it_.now_, it_.random_)
        ->id.value();
  };
  CHECK(chosen() == "p2");
  it_.book_.SetPrefill(1, {BackendServerId("p2"), 9000}, it_.now_);
  CHECK(chosen() == "p1");
}

TEST(EngineBook, WaitingRequestsAreServedInTimeFirstThenByRank) {
  const auto wait = [&](BookKey key, std::uint32_t rank, int target_ms) {
    book_.SetWaiting(key, {ServiceId("models"), rank, 1, 1, {}},
                     now_ + std::chrono::milliseconds(target_ms), now_);
  };
  wait(1, 0, -5);
  wait(2, 2, 100);
  wait(3, 0, 300);
  wait(4, 0, 200);
  std::vector<BookKey> order;
  for (const EngineBook::Waiting& it :
       book_.WaitingInOrder(ServiceId("models"), now_))
    order.push_back(it.key);
  CHECK((order == std::vector<BookKey>{4, 3, 2, 1}));
}

TEST(EngineBook, LateMessagesOfAHostChangeNothing) {
  HostLoad newer;
  newer.number = 5;
  HostLoad older;
  older.number = 4;
  older.streams = {{BackendServerId("d1"), 10, 10}};
  book_.OnHostLoad(HostId("b"), newer, now_);
  book_.OnHostLoad(HostId("b"), older, now_);
  CHECK_EQUAL(0U, book_.stream_count());
}

TEST_GROUP(OutputEstimator){};

TEST(OutputEstimator, LearnsTheUsualLength) {
  OutputEstimator outputs;
  RequestFacts facts;
  facts.max_output_tokens = 8000;
  CHECK_EQUAL(4000U, outputs.Estimate(facts));
  for (int i = 0; i < 50; ++i)
    outputs.OnOutput(1000);
  DOUBLES_EQUAL(1000, outputs.Estimate(facts), 2);
  facts.output_estimate = 4000;
  DOUBLES_EQUAL(2000, outputs.Estimate(facts), 4);
}

}  // namespace briarlead
