#include "briarlead_dispatch/dispatcher_test_fixture.h"

namespace briarlead {

TEST_GROUP_BASE(Dispatcher, DispatcherFixture){};

TEST(Dispatcher, GrantsAtOnceWhenEnginesAreFree) {
  AddEngines(1, 2);
  Dispatcher dispatcher = MakeDispatcher();
  dispatcher.OnServersChanged(now_);
  const PlacementRequest request = MakeRequest("visits", Rank::kPatient);
  const PlacementGrant grant = Start(dispatcher, request);
  CHECK_TRUE(grant.request == request.request);
  CHECK_EQUAL(1, grant.attempt);
  CHECK_TRUE(grant.prefill_server == BackendServerId("prefill-1"));
  CHECK_TRUE(grant.decode_server == BackendServerId("decode-1"));
}

TEST(Dispatcher, RefusesInTheSameEventWithoutEngines) {
  Dispatcher dispatcher = MakeDispatcher();
  dispatcher.OnServersChanged(now_);
  dispatcher.Enqueue(MakeRequest("visits", Rank::kUrgent), now_);
  const auto refusals = Refusals(dispatcher.TakeCommands());
  CHECK_EQUAL(1, refusals.size());
  CHECK_TRUE(refusals[0].retry_after >= seconds(1));
}

TEST(Dispatcher, RefusesInTheSameEventWhenTheForecastIsPastTheTarget) {
  AddEngines(1, 2);
  Dispatcher dispatcher = MakeDispatcher();
  dispatcher.OnServersChanged(now_);
  std::size_t refused = 0;
  for (int i = 0; i < 50; ++i) {
    dispatcher.Enqueue(MakeRequest("visits", Rank::kUrgent), now_);
    refused += Refusals(dispatcher.TakeCommands()).size();
  }
  CHECK_TRUE(refused > 0);
  const ShardSummary summary = dispatcher.Summary(now_);
  CHECK_EQUAL(50, refused + summary.queued_urgent + 2);
  // Every queued request gets a response within the time limit.
  const auto later = RunUntil(dispatcher, now_ + seconds(10));
  CHECK_EQUAL(0, dispatcher.Summary(now_).queued_urgent);
  CHECK_TRUE(Refusals(later).size() >= summary.queued_urgent);
}

TEST(Dispatcher, UrgentOverloadLeavesPatientWorkItsMinimumShare) {
  AddEngines(1, 8);
  Dispatcher dispatcher = MakeDispatcher();
  dispatcher.OnServersChanged(now_);
  // More urgent requests than slots, and one patient request after them.
  std::vector<PlacementGrant> running;
  for (int i = 0; i < 12; ++i)
    dispatcher.Enqueue(MakeRequest("fitters", Rank::kUrgent), now_);
  dispatcher.Enqueue(MakeRequest("visits", Rank::kPatient), now_);
  running = Grants(dispatcher.TakeCommands());
  CHECK_EQUAL(8, running.size());
  // The first slot that becomes free goes to the patient request.
  BringToDecode(dispatcher, running[0]);
  DiscardCommands(dispatcher);
  for (const PlacementGrant& it : running)
    dispatcher.OnPrefillDone(it.request, it.attempt, 1000, now_);
  DiscardCommands(dispatcher);
  dispatcher.OnFinished(running[0].request, running[0].attempt, 20, now_);
  const auto grants = Grants(dispatcher.TakeCommands());
  CHECK_TRUE(!grants.empty());
  CHECK_EQUAL(13, grants[0].request.sequence);
}

TEST(Dispatcher, FloodOfOneCustomerDoesNotDelayAnother) {
  AddEngines(1, 2);
  Dispatcher dispatcher = MakeDispatcher();
  dispatcher.OnServersChanged(now_);
  for (int i = 0; i < 20; ++i)
    dispatcher.Enqueue(MakeRequest("flooder", Rank::kPatient), now_);
  const auto running = Grants(dispatcher.TakeCommands());
  PlacementRequest other = MakeRequest("quiet", Rank::kPatient);
  other.prompt_tokens = 500;  // Longer than the flooder's prompts.
  dispatcher.Enqueue(other, now_);
  const auto refusals = Refusals(dispatcher.TakeCommands());
  CHECK_EQUAL(0, refusals.size());
  // The quiet customer's request starts next, although others arrived before
  // it.
  now_ += milliseconds(50);
  dispatcher.OnPrefillDone(running[0].request, running[0].attempt, 1000, now_);
  const auto grants = Grants(dispatcher.TakeCommands());
  CHECK_EQUAL(1, grants.size());
  CHECK_TRUE(grants[0].request == other.request);
}

TEST(Dispatcher, UrgentRequestPausesAStreamThatResumesFirst) {
  AddEngines(1, 2);
  options_.max_urgent_reserve = 0.0;
  Dispatcher dispatcher = MakeDispatcher();
  dispatcher.OnServersChanged(now_);
  // Many completed requests accumulate the credit needed to pause a stream.
  for (int i = 0; i < 40; ++i) {
    PlacementRequest request = MakeRequest("visits", Rank::kPatient);
    request.prompt_tokens = 4'000;
    const PlacementGrant grant = Start(dispatcher, request);
    BringToDecode(dispatcher, grant);
    now_ += seconds(2);
    dispatcher.OnFinished(grant.request, grant.attempt, 40, now_);
  }
  std::vector<PlacementGrant> streams;
  for (int i = 0; i < 2; ++i) {
    PlacementRequest request = MakeRequest("visits", Rank::kPatient);
    request.max_output_tokens = 4'000;
    streams.push_back(Start(dispatcher, request));
    BringToDecode(dispatcher, streams.back());
  }
  now_ += seconds(3);
  const PlacementRequest urgent = MakeRequest("fitters", Rank::kUrgent);
  dispatcher.Enqueue(urgent, now_);
  auto commands = dispatcher.TakeCommands();
  for (DispatchCommand& it : RunUntil(dispatcher, now_ + milliseconds(800)))
    commands.push_back(std::move(it));
  const auto grants = Grants(commands);
  CHECK_EQUAL(1, grants.size());
  CHECK_TRUE(grants[0].request == urgent.request);
  CHECK_EQUAL(1, CancelTargets(commands).size());
  // The paused stream starts next, before new work.
  dispatcher.Enqueue(MakeRequest("visits", Rank::kPatient), now_);
  DiscardCommands(dispatcher);
  dispatcher.OnFinished(urgent.request, grants[0].attempt, 20, now_);
  const auto resumed = Grants(dispatcher.TakeCommands());
  CHECK_TRUE(!resumed.empty());
  CHECK_EQUAL(2, resumed[0].attempt);
}

TEST(Dispatcher, CustomersTakeTurnsByRequestCost) {
  AddEngines(1, 1);
  Dispatcher dispatcher = MakeDispatcher();
  dispatcher.OnServersChanged(now_);
  for (int i = 0; i < 6; ++i) {
    PlacementRequest request =
        MakeRequest(i < 3 ? "first" : "second", Rank::kPatient);
    request.max_output_tokens = 4'000;
    request.first_token_target = std::chrono::hours(1);
    dispatcher.Enqueue(request, now_);
  }
  std::vector<std::uint64_t> order;
  for (int i = 0; i < 6; ++i) {
    const auto grants = Grants(dispatcher.TakeCommands());
    CHECK_EQUAL(1, grants.size());
    order.push_back(grants[0].request.sequence);
    BringToDecode(dispatcher, grants[0]);
    dispatcher.OnFinished(grants[0].request, grants[0].attempt, 2'000, now_);
  }
  const std::vector<std::uint64_t> expected = {1, 4, 2, 5, 3, 6};
  CHECK_TRUE(order == expected);
}

}  // namespace briarlead
