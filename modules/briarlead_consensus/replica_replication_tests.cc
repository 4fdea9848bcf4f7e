#include "briarlead_consensus/replica_fixture.h"

namespace briarlead::consensus {

TEST_GROUP_BASE(ReplicaReplication, ReplicaFixture){};

TEST(ReplicaReplication, ElectsOneLeaderAndReplicates) {
  WaitForLeader();
  ProposeAndWait(20);
  WaitUntilConverged();
}

TEST(ReplicaReplication, FollowerRefusesProposalsAndNamesTheLeader) {
  const std::size_t leader = WaitForLeader();
  cluster_.Run(seconds(1));
  cluster_.CallReplica(Other(leader), [&](Replica& replica, TimePoint now) {
    CHECK_TRUE(replica.Propose("x", now).error().code ==
               ErrorCode::kUnavailable);
    CHECK_TRUE(replica.leader_hint() == At(leader).identity().replica);
  });
}

TEST(ReplicaReplication, RejectsOversizedAndTooManyProposals) {
  cluster_.settings.max_payload_bytes = 10;
  cluster_.settings.max_uncommitted_bytes = 25;
  const std::size_t leader = WaitForLeader();
  cluster_.CallReplica(leader, [&](Replica& replica, TimePoint now) {
    CHECK_TRUE(replica.Propose("12345678901", now).error().code ==
               ErrorCode::kTooLarge);
    CHECK_TRUE(replica.Propose("1234567890", now));
    CHECK_TRUE(replica.Propose("1234567890", now));
    CHECK_TRUE(replica.Propose("1234567890", now).error().code ==
               ErrorCode::kUnavailable);
  });
}

TEST(ReplicaReplication, ProposalsTakenTogetherShareOneSync) {
  const std::size_t leader = WaitForLeader();
  cluster_.Run(seconds(1));
  constexpr std::size_t proposals = 100;
  std::size_t persists = 0;
  cluster_.CallReplica(leader, [&](Replica& replica, TimePoint now) {
    for (std::size_t it = 0; it < proposals; ++it)
      CHECK_TRUE(replica.Propose("x", now));
    for (const Command& it : replica.TakeCommands()) {
      const auto* persist = std::get_if<Persist>(&it);
      if (persist == nullptr)
        continue;
      ++persists;
      LONGS_EQUAL(proposals, persist->entries.size());
    }
  });
  LONGS_EQUAL(1, persists);
}

TEST(ReplicaReplication, SlowDiskOfTheLeaderDelaysNoAcknowledgement) {
  const std::size_t leader = WaitForLeader();
  cluster_.Run(seconds(1));
  cluster_.nodes()[leader].sync_slowness = 10000;
  CHECK_TRUE(cluster_.Propose(leader));
  cluster_.Run(milliseconds(50));
  LONGS_EQUAL(At(leader).last_index(), At(leader).applied_index());
}

TEST(ReplicaReplication, LaggingFollowerCatchesUpFromASnapshotInBoundedChunks) {
  cluster_.settings.trailing_entries = 3;
  cluster_.settings.snapshot_chunk_bytes = 4;
  const std::size_t leader = WaitForLeader();
  const std::size_t lagging = Other(leader);
  cluster_.Crash(lagging);
  ProposeAndWait(50);
  CHECK_TRUE(cluster_.Compact(leader));
  std::size_t largest = 0;
  cluster_.filter = [&](const Message& it) {
    if (const auto* chunk = std::get_if<SnapshotChunk>(&it.body))
      largest = std::max(largest, chunk->data.size());
    return true;
  };
  cluster_.Restart(lagging);
  WaitUntilConverged();
  LONGS_EQUAL(1, cluster_.installs());
  LONGS_EQUAL(4, largest);
}

TEST(ReplicaReplication, SnapshotIsInstalledThoughTheLeaderTakesNewerOnes) {
  cluster_.settings.trailing_entries = 0;
  cluster_.settings.snapshot_chunk_bytes = 1;
  const std::size_t leader = WaitForLeader();
  const std::size_t lagging = Other(leader);
  cluster_.Crash(lagging);
  ProposeAndWait(10);
  CHECK_TRUE(cluster_.Compact(leader));
  cluster_.Restart(lagging);
  for (int it = 0; it < 100; ++it) {
    cluster_.Propose(leader);
    cluster_.Run(milliseconds(20));
    cluster_.Compact(leader);
  }
  CHECK_TRUE(cluster_.installs() > 0);
}

TEST(ReplicaReplication, NonContiguousEntriesAreDropped) {
  const std::size_t leader = WaitForLeader();
  cluster_.Run(seconds(1));
  Replica& follower = At(Other(leader));
  const LogIndex last = follower.last_index();
  AppendRequest request;
  request.prev_index = last;
  request.prev_term = follower.term();
  request.entries = {{last + 2, follower.term(), EntryKind::kNoOp, {}, {}}};
  cluster_.CallReplica(Other(leader), [&](Replica& replica, TimePoint now) {
    replica.OnMessage(
        {replica.identity().cluster, At(leader).identity().replica,
         replica.identity().replica, replica.term(), request},
        now);
  });
  LONGS_EQUAL(last, follower.last_index());
}

TEST(ReplicaReplication, SnapshotsOfTwoLeadersAreNotMixed) {
  const Identity identity{ClusterId("c"), {HostId("a"), 1}};
  RecoveredState state;
  state.identity = identity;
  const TimePoint now;
  Replica replica({}, state, RandomSource(1), now);
  const auto receive = [&](Term term, std::uint64_t offset, const char* data) {
    const SnapshotChunk chunk{5, 1, {}, 8, offset, data, now};
    replica.OnMessage(
        {identity.cluster, {HostId("b"), term}, identity.replica, term, chunk},
        now);
  };
  receive(2, 0, "aaaa");
  receive(3, 0, "bbbb");
  receive(3, 4, "bbbb");
  std::string installed;
  for (const Command& it : replica.TakeCommands()) {
    if (const auto* install = std::get_if<InstallSnapshot>(&it))
      installed = install->snapshot->data;
  }
  STRCMP_EQUAL("bbbbbbbb", installed.c_str());
}

TEST(ReplicaReplication, RestartsFromSnapshotAndLog) {
  WaitForLeader();
  ProposeAndWait(30);
  for (std::size_t it = 0; it < 3; ++it)
    cluster_.Compact(it);
  ProposeAndWait(10);
  for (std::size_t it = 0; it < 3; ++it) {
    cluster_.Crash(it);
    cluster_.Restart(it);
  }
  WaitForLeader();
  WaitUntilConverged();
  CHECK_TRUE(cluster_.installs() >= 2);
}

TEST(ReplicaReplication, AppendsInFlightAreBounded) {
  cluster_.settings.max_append_entries = 1;
  const std::size_t leader = WaitForLeader();
  cluster_.Run(seconds(1));
  cluster_.CutLink(Other(leader), leader);
  std::set<LogIndex> sent;
  const HostId slow = cluster_.nodes()[Other(leader)].host;
  cluster_.filter = [&](const Message& it) {
    const auto* append = std::get_if<AppendRequest>(&it.body);
    if (it.to.host == slow && append != nullptr && !append->entries.empty())
      sent.insert(append->entries.front().index);
    return true;
  };
  ProposeAndWait(100);
  LONGS_EQUAL(cluster_.settings.max_appends_in_flight, sent.size());
}

TEST(ReplicaReplication, DeadFollowerCostsNoMoreThanHeartbeats) {
  cluster_.settings.trailing_entries = 10;
  cluster_.settings.max_append_entries = 10;
  cluster_.settings.max_appends_in_flight = 2;
  const std::size_t leader = WaitForLeader();
  const std::size_t dead = Other(leader);
  cluster_.Crash(dead);
  cluster_.CallReplica(leader, [&](Replica& replica, TimePoint now) {
    for (int it = 0; it < 100; ++it)
      CHECK_TRUE(replica.Propose(std::string(10000, 'x'), now));
  });
  cluster_.Run(seconds(1));
  std::size_t bytes = 0;
  std::size_t chunks = 0;
  cluster_.filter = [&](const Message& it) {
    if (it.to.host == cluster_.nodes()[dead].host)
      bytes += EncodeMessage(it).size();
    chunks += std::holds_alternative<SnapshotChunk>(it.body) ? 1 : 0;
    return true;
  };
  cluster_.Run(seconds(10));
  CHECK_TRUE(bytes < 15000);
  CHECK_TRUE(cluster_.Compact(leader));
  cluster_.Run(seconds(10));
  LONGS_EQUAL(1, chunks);
  cluster_.Restart(dead);
  WaitUntilConverged();
}

// Rejections must skip conflicting terms; going back entry by entry would take
// hundreds of round trips.
TEST(ReplicaReplication, LongLogConflictIsResolvedWithFewRejections) {
  const std::size_t leader = WaitForLeader();
  cluster_.Isolate(leader);
  for (int it = 0; it < 500; ++it)
    CHECK_TRUE(cluster_.Propose(leader));
  const std::size_t next = WaitForLeaderOtherThan(leader);
  ProposeAndWait(500);
  // The next leader does not know where the logs diverge.
  cluster_.Crash(next);
  cluster_.Restart(next);
  WaitForLeader();
  std::size_t refusals = 0;
  cluster_.filter = [&](const Message& it) {
    const auto* response = std::get_if<AppendResponse>(&it.body);
    refusals += response != nullptr && !response->accepted ? 1 : 0;
    return true;
  };
  cluster_.HealNetwork();
  WaitUntilConverged();
  CHECK_TRUE(refusals <= 3);
}

}  // namespace briarlead::consensus
