#include "briarlead_consensus/test_cluster.h"

#include <algorithm>
#include <set>

#include <CppUTest/TestHarness.h>

namespace briarlead::consensus {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kLimit = seconds(5);
constexpr Duration kRepairLimit = seconds(20);

}  // namespace

TEST_GROUP(Replica) {
  TestCluster cluster_{1, 3};

  void teardown() override {
    STRCMP_EQUAL("", cluster_.violation().c_str());
  }

  Replica& At(std::size_t n) {
    return *cluster_.nodes()[n].replica;
  }

  bool LeaseHeld() {
    const std::size_t n = cluster_.Leader();
    return n < cluster_.nodes().size() &&
           At(n).HasLease(cluster_.LocalTime(cluster_.nodes()[n]));
  }

  std::size_t ElectLeader() {
    CHECK_TRUE(cluster_.RunUntil([&] { return LeaseHeld(); }, kLimit));
    return cluster_.Leader();
  }

  std::size_t NewLeader(std::size_t old) {
    CHECK_TRUE(cluster_.RunUntil(
        [&] { return cluster_.Leader() != old && LeaseHeld(); }, kLimit));
    return cluster_.Leader();
  }

  void Acknowledge(std::size_t n) {
    const std::size_t wanted = cluster_.acknowledged() + n;
    for (std::size_t it = 0; it < n; ++it)
      CHECK_TRUE(cluster_.Propose(cluster_.Leader()));
    CHECK_TRUE(cluster_.RunUntil(
        [&] { return cluster_.acknowledged() >= wanted; }, kLimit));
  }

  void Converge() {
    CHECK_TRUE(cluster_.RunUntil([&] { return cluster_.Converged(); }, kLimit));
  }

  /// Runs with the keepers at work until all repairs are done.
  void Repair() {
    const bool repaired = cluster_.RunUntil(
        [&] {
          cluster_.Keep();
          return cluster_.Converged() && cluster_.RepairsAreDone();
        },
        kRepairLimit);
    CHECK_TRUE(repaired);
  }

  std::size_t Other(std::size_t n) const {
    return n == 0 ? 1 : 0;
  }
};

TEST(Replica, ElectsOneLeaderAndReplicates) {
  ElectLeader();
  Acknowledge(20);
  Converge();
}

TEST(Replica, FollowerRefusesProposalsAndNamesTheLeader) {
  const std::size_t leader = ElectLeader();
  cluster_.Run(seconds(1));
  cluster_.Drive(Other(leader), [&](Replica& replica, TimePoint now) {
    CHECK_TRUE(replica.Propose("x", now).error().code ==
               ErrorCode::kUnavailable);
    CHECK_TRUE(replica.leader_hint() == At(leader).identity().replica);
  });
}

TEST(Replica, RefusesOversizedAndTooManyProposals) {
  cluster_.settings.max_payload_bytes = 10;
  cluster_.settings.max_uncommitted_bytes = 25;
  const std::size_t leader = ElectLeader();
  cluster_.Drive(leader, [&](Replica& replica, TimePoint now) {
    CHECK_TRUE(replica.Propose("12345678901", now).error().code ==
               ErrorCode::kTooLarge);
    CHECK_TRUE(replica.Propose("1234567890", now));
    CHECK_TRUE(replica.Propose("1234567890", now));
    CHECK_TRUE(replica.Propose("1234567890", now).error().code ==
               ErrorCode::kUnavailable);
  });
}

TEST(Replica, ProposalsTakenTogetherShareOneSync) {
  const std::size_t leader = ElectLeader();
  cluster_.Run(seconds(1));
  constexpr std::size_t proposals = 100;
  std::size_t persists = 0;
  cluster_.Drive(leader, [&](Replica& replica, TimePoint now) {
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

TEST(Replica, SlowDiskOfTheLeaderDelaysNoAcknowledgement) {
  const std::size_t leader = ElectLeader();
  cluster_.Run(seconds(1));
  cluster_.nodes()[leader].sync_slowness = 10000;
  CHECK_TRUE(cluster_.Propose(leader));
  cluster_.Run(milliseconds(50));
  LONGS_EQUAL(1, cluster_.acknowledged());
}

TEST(Replica, IsolatedLeaderGivesUpByItsOwnClock) {
  const std::size_t leader = ElectLeader();
  cluster_.Isolate(leader);
  cluster_.Run(cluster_.settings.election_timeout_max + milliseconds(150));
  CHECK_TRUE(At(leader).role() != Role::kLeader);
  const std::size_t next = NewLeader(leader);
  CHECK_TRUE(next != leader);
  Acknowledge(5);
  cluster_.HealNetwork();
  Converge();
}

TEST(Replica, LeaderThatHearsNobodyMakesWayThoughItIsHeard) {
  const std::size_t leader = ElectLeader();
  for (std::size_t it = 0; it < 3; ++it)
    cluster_.Cut(it, leader);
  NewLeader(leader);
  Acknowledge(5);
}

TEST(Replica, CutOffFollowerComesBackWithoutAnElection) {
  const std::size_t leader = ElectLeader();
  const Term term = At(leader).term();
  cluster_.Isolate(Other(leader));
  cluster_.Run(seconds(10));
  LONGS_EQUAL(term, At(Other(leader)).term());
  cluster_.HealNetwork();
  cluster_.Run(seconds(2));
  LONGS_EQUAL(term, At(leader).term());
  LONGS_EQUAL(leader, cluster_.Leader());
}

TEST(Replica, FollowerThatLosesOnlyTheLeaderDisruptsNothing) {
  const std::size_t leader = ElectLeader();
  const Term term = At(leader).term();
  cluster_.Cut(leader, Other(leader));
  cluster_.Cut(Other(leader), leader);
  for (int it = 0; it < 100; ++it) {
    cluster_.Run(milliseconds(100));
    CHECK_TRUE(LeaseHeld());
  }
  LONGS_EQUAL(term, At(leader).term());
}

TEST(Replica, VoterKeepsItsPromiseAgainstAnElectionForced) {
  const std::size_t leader = ElectLeader();
  cluster_.Run(seconds(1));
  // An election without pre-vote, as from a peer that lost its timer.
  const std::size_t voter = Other(leader);
  Message message{
      At(voter).identity().cluster, At(3 - leader - voter).identity().replica,
      At(voter).identity().replica, At(voter).term() + 1,
      VoteRequest{false, false, At(leader).last_index(), At(leader).term()}};
  const Term term = At(voter).term();
  cluster_.Drive(voter, [&](Replica& replica, TimePoint now) {
    replica.OnMessage(message, now);
  });
  LONGS_EQUAL(term, At(voter).term());
}

TEST(Replica, VoteIsWrittenBeforeItIsSentAndGivenOnce) {
  const Identity identity{ClusterId("c"), {HostId("a"), 1}};
  const ReplicaId other{HostId("b"), 2};
  RecoveredState state;
  state.identity = identity;
  state.hard_state.term = 4;
  TimePoint now;
  Replica replica({}, state, RandomSource(1), now);
  now += seconds(1);
  Message message{identity.cluster, other, identity.replica, 4, VoteRequest{}};
  replica.OnMessage(message, now);
  const std::vector<Command> commands = replica.TakeCommands();
  const auto* persist = std::get_if<Persist>(&commands.front());
  CHECK_TRUE(persist != nullptr && persist->hard_state.voted_for == other);
  replica.OnPersisted(persist->token, now);
  message.from = {HostId("c"), 3};
  replica.OnMessage(message, now);
  std::vector<bool> votes;
  for (const Command& it : replica.TakeCommands()) {
    if (const auto* send = std::get_if<SendMessage>(&it))
      votes.push_back(std::get<VoteResponse>(send->message.body).granted);
  }
  CHECK_TRUE(votes == std::vector<bool>({true, false}));
}

TEST(Replica, FrozenLeaderThawsWithoutLease) {
  const std::size_t leader = ElectLeader();
  cluster_.Freeze(leader);
  NewLeader(leader);
  Acknowledge(5);
  cluster_.Run(std::chrono::minutes(2));
  TestCluster::Node& node = cluster_.nodes()[leader];
  CHECK_FALSE(node.replica->HasLease(cluster_.LocalTime(node)));
  // Whatever it is asked first, the time that went by is noticed before.
  node.frozen = false;
  CHECK_FALSE(cluster_.Propose(leader));
  CHECK_TRUE(node.replica->role() != Role::kLeader);
  cluster_.Thaw(leader);
  Converge();
}

TEST(Replica, TransferHandsOverBeforeAnyTimeout) {
  const std::size_t leader = ElectLeader();
  cluster_.Run(seconds(1));
  const std::size_t target = Other(leader);
  cluster_.Drive(leader, [&](Replica& replica, TimePoint now) {
    CHECK_TRUE(replica.TransferLeadership(At(target).identity().replica, now));
  });
  cluster_.Run(milliseconds(100));
  LONGS_EQUAL(target, cluster_.Leader());
  Acknowledge(1);
}

TEST(Replica, TransferToADeadReplicaIsGivenUp) {
  const std::size_t leader = ElectLeader();
  const ReplicaId target = At(Other(leader)).identity().replica;
  cluster_.Crash(Other(leader));
  Acknowledge(1);
  cluster_.Drive(leader, [&](Replica& replica, TimePoint now) {
    CHECK_TRUE(replica.TransferLeadership(target, now));
    CHECK_TRUE(replica.Propose("x", now).has_error());
  });
  cluster_.Run(cluster_.settings.transfer_timeout * 2);
  LONGS_EQUAL(leader, cluster_.Leader());
  Acknowledge(1);
}

TEST(Replica, LaggingFollowerIsBroughtBackBySnapshotInBoundedChunks) {
  cluster_.settings.entries_behind_snapshot = 3;
  cluster_.settings.snapshot_chunk_bytes = 4;
  const std::size_t leader = ElectLeader();
  const std::size_t lagging = Other(leader);
  cluster_.Crash(lagging);
  Acknowledge(50);
  CHECK_TRUE(cluster_.Compact(leader));
  std::size_t largest = 0;
  cluster_.filter = [&](const Message& it) {
    if (const auto* chunk = std::get_if<SnapshotChunk>(&it.body))
      largest = std::max(largest, chunk->data.size());
    return true;
  };
  cluster_.Restart(lagging);
  Converge();
  LONGS_EQUAL(1, cluster_.installs());
  LONGS_EQUAL(4, largest);
}

TEST(Replica, RestartsFromSnapshotAndLog) {
  ElectLeader();
  Acknowledge(30);
  for (std::size_t it = 0; it < 3; ++it)
    cluster_.Compact(it);
  Acknowledge(10);
  for (std::size_t it = 0; it < 3; ++it) {
    cluster_.Crash(it);
    cluster_.Restart(it);
  }
  ElectLeader();
  Converge();
  CHECK_TRUE(cluster_.installs() >= 2);
}

TEST(Replica, AppendsInFlightAreBounded) {
  cluster_.settings.max_append_entries = 1;
  const std::size_t leader = ElectLeader();
  cluster_.Run(seconds(1));
  cluster_.Cut(Other(leader), leader);
  std::set<LogIndex> sent;
  const HostId slow = cluster_.nodes()[Other(leader)].host;
  cluster_.filter = [&](const Message& it) {
    const auto* append = std::get_if<AppendRequest>(&it.body);
    if (it.to.host == slow && append != nullptr && !append->entries.empty())
      sent.insert(append->entries.front().index);
    return true;
  };
  Acknowledge(100);
  LONGS_EQUAL(cluster_.settings.max_appends_in_flight, sent.size());
}

TEST(Replica, DeadFollowerCostsNoMoreThanHeartbeats) {
  cluster_.settings.entries_behind_snapshot = 10;
  const std::size_t leader = ElectLeader();
  const std::size_t dead = Other(leader);
  cluster_.Crash(dead);
  cluster_.Drive(leader, [&](Replica& replica, TimePoint now) {
    for (int it = 0; it < 100; ++it)
      CHECK_TRUE(replica.Propose(std::string(10000, 'x'), now));
  });
  cluster_.Run(seconds(1));
  std::size_t bytes = 0;
  cluster_.filter = [&](const Message& it) {
    if (it.to.host == cluster_.nodes()[dead].host)
      bytes += EncodeMessage(it).size();
    return true;
  };
  cluster_.Run(seconds(10));
  CHECK_TRUE(bytes < 15000);
  CHECK_TRUE(cluster_.Compact(leader));
  bytes = 0;
  cluster_.Run(seconds(10));
  CHECK_TRUE(bytes < 15000);
  cluster_.Restart(dead);
  Converge();
}

TEST(Replica, LongConflictIsBackedUpOverInFewSteps) {
  const std::size_t leader = ElectLeader();
  cluster_.Isolate(leader);
  for (int it = 0; it < 500; ++it)
    CHECK_TRUE(cluster_.Propose(leader));
  NewLeader(leader);
  Acknowledge(5);
  std::size_t refusals = 0;
  cluster_.filter = [&](const Message& it) {
    const auto* response = std::get_if<AppendResponse>(&it.body);
    refusals += response != nullptr && !response->accepted ? 1 : 0;
    return true;
  };
  cluster_.HealNetwork();
  Converge();
  CHECK_TRUE(refusals <= 3);
}

TEST(Replica, OneHostStartsAClusterThatTheOthersJoin) {
  TestCluster cluster(7, 3, 1);
  const bool grown = cluster.RunUntil(
      [&] {
        cluster.Keep();
        return cluster.Converged();
      },
      kRepairLimit);
  CHECK_TRUE(grown);
  STRCMP_EQUAL("", cluster.violation().c_str());
}

TEST(Replica, SecondHostIsLostRightAfterTheRepairOfTheFirst) {
  const std::size_t leader = ElectLeader();
  Acknowledge(50);
  const std::size_t first = Other(leader);
  cluster_.Crash(first);
  Acknowledge(5);
  cluster_.LoseDisk(first);
  cluster_.Restart(first);
  Repair();
  const std::size_t acknowledged = cluster_.acknowledged();
  const std::size_t second = 3 - leader - first;
  cluster_.Crash(second);
  cluster_.LoseDisk(second);
  cluster_.Crash(leader);
  cluster_.Restart(leader);
  ElectLeader();
  Acknowledge(5);
  cluster_.Restart(second);
  Repair();
  CHECK_TRUE(cluster_.acknowledged() >= acknowledged);
}

TEST(Replica, EmptyDiskNeverVotesUnderTheOldName) {
  ElectLeader();
  cluster_.Run(seconds(1));
  const ReplicaId old = At(0).identity().replica;
  cluster_.Crash(0);
  cluster_.LoseDisk(0);
  cluster_.Restart(0);
  cluster_.Run(seconds(1));
  Message message{At(0).identity().cluster, At(1).identity().replica, old, 50,
                  VoteRequest{false, true, 100, 49}};
  cluster_.Drive(0, [&](Replica& replica, TimePoint now) {
    replica.OnMessage(message, now);
    CHECK_TRUE(replica.term() < 50);
    CHECK_TRUE(replica.TakeCommands().empty());
  });
}

TEST(Replica, MembersChangeOneAtATimeAndOnlyWhenSafe) {
  const std::size_t leader = ElectLeader();
  cluster_.Run(seconds(1));
  using Kind = MembershipChange::Kind;
  const ReplicaId fresh{HostId("host9"), 99};
  cluster_.Drive(leader, [&](Replica& replica, TimePoint now) {
    const auto propose = [&](Kind kind, const ReplicaId& id) {
      return replica.ProposeMembershipChange({kind, id}, now);
    };
    CHECK_TRUE(
        propose(Kind::kRemove, replica.identity().replica).error().code ==
        ErrorCode::kInvalidArgument);
    CHECK_TRUE(propose(Kind::kAddLearner, fresh));
    CHECK_TRUE(propose(Kind::kAddLearner, ReplicaId{HostId("host8"), 98})
                   .error()
                   .code == ErrorCode::kConflict);
  });
  cluster_.Run(seconds(1));
  cluster_.Drive(leader, [&](Replica& replica, TimePoint now) {
    CHECK_TRUE(replica.ProposeMembershipChange({Kind::kPromote, fresh}, now)
                   .error()
                   .code == ErrorCode::kConflict);
    CHECK_TRUE(replica.members().IsLearner(fresh));
    CHECK_TRUE(replica.ProposeMembershipChange({Kind::kRemove, fresh}, now));
  });
}

TEST(Replica, RunningReplicaIsNotReplacedByItsHostsOther) {
  const std::size_t leader = ElectLeader();
  cluster_.Run(seconds(1));
  const ReplicaId twin{cluster_.nodes()[Other(leader)].host, 77};
  TestCluster::Node& node = cluster_.nodes()[leader];
  const TimePoint now = cluster_.LocalTime(node);
  node.keeper.OnJoinRequested(twin, now);
  CHECK_FALSE(node.keeper.NextChange(At(leader), now).has_value());
  cluster_.Crash(Other(leader));
  cluster_.Run(seconds(4));
  const TimePoint later = cluster_.LocalTime(node);
  CHECK_TRUE(node.keeper.NextChange(At(leader), later).has_value());
}

}  // namespace briarlead::consensus
