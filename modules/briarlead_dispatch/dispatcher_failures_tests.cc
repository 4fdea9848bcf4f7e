#include "briarlead_dispatch/dispatcher_test_fixture.h"

namespace briarlead {

TEST_GROUP_BASE(DispatcherFailures, DispatcherFixture){};

TEST(DispatcherFailures, CallerGoneReleasesEverythingAtEachStage) {
  AddEngines(1, 1);
  for (const PlacementStage stage :
       {PlacementStage::kQueued, PlacementStage::kPrefill,
        PlacementStage::kTransfer, PlacementStage::kDecode}) {
    Dispatcher dispatcher = MakeDispatcher();
    dispatcher.OnServersChanged(now_);
    const PlacementRequest request = MakeRequest("visits", Rank::kPatient);
    PlacementGrant other;
    if (stage == PlacementStage::kQueued) {
      other = Start(dispatcher, MakeRequest("visits", Rank::kPatient));
      BringToDecode(dispatcher, other);
      dispatcher.Enqueue(request, now_);
    } else {
      const PlacementGrant grant = Start(dispatcher, request);
      if (stage == PlacementStage::kTransfer)
        dispatcher.OnPrefillDone(grant.request, grant.attempt, 1000, now_);
      if (stage == PlacementStage::kDecode)
        BringToDecode(dispatcher, grant);
    }
    DiscardCommands(dispatcher);
    dispatcher.OnCallerGone(request.request, now_);
    const std::size_t cancels = CancelTargets(dispatcher.TakeCommands()).size();
    const std::size_t expected = stage == PlacementStage::kQueued   ? 0
                                 : stage == PlacementStage::kDecode ? 1
                                                                    : 2;
    CHECK_EQUAL(expected, cancels);
    CHECK_EQUAL(0, dispatcher.Summary(now_).queued_patient);
    if (stage == PlacementStage::kQueued)
      dispatcher.OnFinished(other.request, other.attempt, 50, now_);
    CHECK_EQUAL(1, dispatcher.Summary(now_).free_decode_slots);
  }
}

TEST(DispatcherFailures, DeadHostReleasesItsRequestsOnly) {
  AddEngines(1, 2);
  Dispatcher dispatcher = MakeDispatcher();
  dispatcher.OnServersChanged(now_);
  PlacementRequest other = MakeRequest("visits", Rank::kPatient);
  other.request.host = HostId("entry-2");
  BringToDecode(dispatcher, Start(dispatcher, other));
  Start(dispatcher, MakeRequest("visits", Rank::kPatient));
  dispatcher.OnHostDead(HostId("entry-1"), 0, now_);
  CHECK_EQUAL(0, CancelTargets(dispatcher.TakeCommands()).size());
  dispatcher.OnHostDead(HostId("entry-1"), 1, now_);
  CHECK_EQUAL(2, CancelTargets(dispatcher.TakeCommands()).size());
  CHECK_EQUAL(1, dispatcher.Summary(now_).free_decode_slots);
}

TEST(DispatcherFailures, DecodeFailureResumesOnAnotherEngine) {
  AddEngines(2, 1);
  Dispatcher dispatcher = MakeDispatcher();
  dispatcher.OnServersChanged(now_);
  PlacementRequest request = MakeRequest("visits", Rank::kPatient);
  const PlacementGrant first = Start(dispatcher, request);
  BringToDecode(dispatcher, first);
  dispatcher.OnProgress(first.request, first.attempt, 30, now_);
  blackboard_.servers.Find(first.decode_server)->state =
      BackendServerState::kSilent;
  dispatcher.OnServersChanged(now_);
  dispatcher.OnAttemptFailed(first.request, first.attempt, FailedStage::kDecode,
                             first.decode_server, now_);
  const auto grants = Grants(dispatcher.TakeCommands());
  CHECK_EQUAL(1, grants.size());
  CHECK_EQUAL(first.attempt + 1, grants[0].attempt);
  CHECK_FALSE(grants[0].decode_server == first.decode_server);
  // The entry host reports the delivered tokens: the existing grant is repeated
  // and no new one is issued.
  request.delivered_tokens = 30;
  request.last_attempt = first.attempt;
  dispatcher.Enqueue(request, now_);
  const auto again = Grants(dispatcher.TakeCommands());
  CHECK_EQUAL(1, again.size());
  CHECK_EQUAL(grants[0].attempt, again[0].attempt);
  CHECK_EQUAL(0, dispatcher.Summary(now_).free_decode_slots);
}

TEST(DispatcherFailures, IgnoresLateEventsOfAnAbandonedAttempt) {
  AddEngines(1, 1);
  Dispatcher dispatcher = MakeDispatcher();
  dispatcher.OnServersChanged(now_);
  const PlacementGrant first =
      Start(dispatcher, MakeRequest("visits", Rank::kPatient));
  dispatcher.OnAttemptFailed(first.request, first.attempt,
                             FailedStage::kPrefill, first.prefill_server, now_);
  const auto second = Grants(dispatcher.TakeCommands());
  CHECK_EQUAL(1, second.size());
  dispatcher.OnPrefillDone(first.request, first.attempt, 1000, now_);
  dispatcher.OnFirstToken(first.request, first.attempt, now_);
  dispatcher.OnFinished(first.request, first.attempt, 10, now_);
  dispatcher.OnAttemptFailed(first.request, first.attempt, FailedStage::kDecode,
                             first.decode_server, now_);
  CHECK_EQUAL(0, dispatcher.TakeCommands().size());
  CHECK_EQUAL(0, dispatcher.Summary(now_).free_decode_slots);
  dispatcher.OnFinished(first.request, second[0].attempt, 10, now_);
  CHECK_EQUAL(1, dispatcher.Summary(now_).free_decode_slots);
}

TEST(DispatcherFailures, LeavingEngineGetsNoNewWorkAndKeepsItsStreams) {
  AddEngines(2, 1);
  Dispatcher dispatcher = MakeDispatcher();
  dispatcher.OnServersChanged(now_);
  const PlacementGrant first =
      Start(dispatcher, MakeRequest("visits", Rank::kPatient));
  BringToDecode(dispatcher, first);
  blackboard_.servers.Find(first.decode_server)->state =
      BackendServerState::kLeaving;
  dispatcher.OnServersChanged(now_);
  CHECK_EQUAL(0, CancelTargets(dispatcher.TakeCommands()).size());
  const PlacementGrant second =
      Start(dispatcher, MakeRequest("visits", Rank::kPatient));
  CHECK_FALSE(second.decode_server == first.decode_server);
  BringToDecode(dispatcher, second);
  dispatcher.OnFinished(first.request, first.attempt, 10, now_);
  dispatcher.Enqueue(MakeRequest("visits", Rank::kPatient), now_);
  CHECK_EQUAL(0, Grants(dispatcher.TakeCommands()).size());
}

TEST(DispatcherFailures, GivesUpAStalledPrefill) {
  AddEngines(1, 1);
  Dispatcher dispatcher = MakeDispatcher();
  dispatcher.OnServersChanged(now_);
  const PlacementGrant first =
      Start(dispatcher, MakeRequest("visits", Rank::kPatient));
  const auto commands = RunUntil(dispatcher, now_ + seconds(2));
  CHECK_TRUE(CancelTargets(commands).size() >= 2);
  CHECK_TRUE(!Grants(commands).empty());
  CHECK_TRUE(Grants(commands)[0].attempt > first.attempt);
}

TEST(DispatcherFailures, GivesUpAStalledTransferWithinTheTarget) {
  AddEngines(1, 2);
  Dispatcher dispatcher = MakeDispatcher();
  dispatcher.OnServersChanged(now_);
  const PlacementGrant first =
      Start(dispatcher, MakeRequest("fitters", Rank::kUrgent));
  now_ += milliseconds(50);
  dispatcher.OnPrefillDone(first.request, first.attempt, 24'000'000, now_);
  DiscardCommands(dispatcher);
  const auto commands = RunUntil(dispatcher, now_ + milliseconds(500));
  CHECK_EQUAL(2, CancelTargets(commands).size());
  CHECK_EQUAL(1, Grants(commands).size());
}

TEST(DispatcherFailures, NewOwnerTakesOverReRegisteredRequests) {
  AddEngines(1, 2);
  Dispatcher dispatcher = MakeDispatcher();
  dispatcher.OnServersChanged(now_);
  InFlightPlacement running;
  running.placement = MakeRequest("visits", Rank::kPatient);
  running.placement.delivered_tokens = 12;
  running.stage = PlacementStage::kDecode;
  running.attempt = 3;
  running.prefill_server = BackendServerId("prefill-1");
  running.decode_server = BackendServerId("decode-1");
  dispatcher.OnReRegister(running, now_);
  InFlightPlacement queued;
  queued.placement = MakeRequest("visits", Rank::kPatient);
  queued.placement.last_attempt = 2;
  dispatcher.OnReRegister(queued, now_);
  const auto grants = Grants(dispatcher.TakeCommands());
  CHECK_EQUAL(1, grants.size());
  CHECK_TRUE(grants[0].request == queued.placement.request);
  CHECK_EQUAL(3, grants[0].attempt);
  CHECK_EQUAL(0, dispatcher.Summary(now_).free_decode_slots);
  dispatcher.OnFinished(running.placement.request, 3, 40, now_);
  CHECK_EQUAL(1, dispatcher.Summary(now_).free_decode_slots);
}

TEST(DispatcherFailures, CancelsOrphanedWorkAfterTheGracePeriod) {
  AddEngines(1, 2);
  Dispatcher dispatcher = MakeDispatcher();
  dispatcher.OnServersChanged(now_);
  const PlacementGrant claimed =
      Start(dispatcher, MakeRequest("visits", Rank::kPatient));
  BringToDecode(dispatcher, claimed);
  const BackendServerId server("decode-1");
  const HeldAttempt orphan = {{HostId("entry-9"), 4, 7}, 2};
  const std::vector<HeldAttempt> held = {{claimed.request, claimed.attempt},
                                         orphan};
  dispatcher.OnEngineReport(server, held, now_);
  now_ += options_.orphan_grace - milliseconds(1);
  dispatcher.OnEngineReport(server, held, now_);
  CHECK_EQUAL(0, dispatcher.TakeCommands().size());
  now_ += milliseconds(1);
  dispatcher.OnEngineReport(server, held, now_);
  const auto commands = dispatcher.TakeCommands();
  CHECK_EQUAL(1, commands.size());
  CHECK_TRUE(std::get<CancelOnEngine>(commands[0]).request == orphan.request);
}

TEST(DispatcherFailures, RequeuesAttemptsThatTheirEngineNoLongerReports) {
  AddEngines(1, 2);
  Dispatcher dispatcher = MakeDispatcher();
  dispatcher.OnServersChanged(now_);
  const PlacementGrant lost =
      Start(dispatcher, MakeRequest("visits", Rank::kPatient));
  BringToDecode(dispatcher, lost);
  DiscardCommands(dispatcher);
  dispatcher.OnEngineReport(lost.decode_server, {}, now_);
  CHECK_EQUAL(0, dispatcher.TakeCommands().size());
  now_ += options_.orphan_grace;
  dispatcher.OnEngineReport(lost.decode_server, {}, now_);
  const auto grants = Grants(dispatcher.TakeCommands());
  CHECK_EQUAL(1, grants.size());
  CHECK_EQUAL(lost.attempt + 1, grants[0].attempt);
}

TEST(DispatcherFailures, RefusesItsQueueWhenItsEnginesAreEjected) {
  AddEngines(1, 1);
  Dispatcher dispatcher = MakeDispatcher();
  dispatcher.OnServersChanged(now_);
  PlacementGrant grant =
      Start(dispatcher, MakeRequest("visits", Rank::kPatient));
  dispatcher.Enqueue(MakeRequest("visits", Rank::kPatient), now_);
  std::vector<PlacementRefusal> refusals;
  for (int i = 0; i < 3 && refusals.empty(); ++i) {
    dispatcher.OnAttemptFailed(grant.request, grant.attempt,
                               FailedStage::kTransfer,
                               BackendServerId("decode-1"), now_);
    const auto commands = dispatcher.TakeCommands();
    refusals = Refusals(commands);
    if (!Grants(commands).empty())
      grant = Grants(commands)[0];
  }
  CHECK_EQUAL(2, refusals.size());
  CHECK_EQUAL(0, dispatcher.Summary(now_).decode_slots);
}

}  // namespace briarlead
