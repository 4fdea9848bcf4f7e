#include "briarlead_consensus/replica_fixture.h"

namespace briarlead::consensus {

TEST_GROUP_BASE(ReplicaElection, ReplicaFixture){};

TEST(ReplicaElection, IsolatedLeaderGivesUpByItsOwnClock) {
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

TEST(ReplicaElection, LeaderThatHearsNobodyMakesWayThoughItIsHeard) {
  const std::size_t leader = ElectLeader();
  for (std::size_t it = 0; it < 3; ++it)
    cluster_.Cut(it, leader);
  NewLeader(leader);
  Acknowledge(5);
}

TEST(ReplicaElection, CutOffFollowerComesBackWithoutAnElection) {
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

TEST(ReplicaElection, FollowerThatLosesOnlyTheLeaderDisruptsNothing) {
  const std::size_t leader = ElectLeader();
  const Term term = At(leader).term();
  cluster_.Cut(leader, Other(leader));
  cluster_.Cut(Other(leader), leader);
  for (int it = 0; it < 100; ++it) {
    cluster_.Run(milliseconds(100));
    CHECK_TRUE(LeaseHeld());
  }
  cluster_.HealNetwork();
  cluster_.Run(seconds(2));
  LONGS_EQUAL(term, At(leader).term());
}

TEST(ReplicaElection, VoterKeepsItsPromiseAgainstAnElectionForced) {
  const std::size_t leader = ElectLeader();
  cluster_.Run(seconds(1));
  const std::size_t voter = Other(leader);
  const Term term = At(voter).term();
  cluster_.Drive(voter, [&](Replica& replica, TimePoint now) {
    replica.OnMessage(ForcedElection(voter, leader), now);
  });
  LONGS_EQUAL(term, At(voter).term());
}

TEST(ReplicaElection, VoteIsWrittenBeforeItIsSentAndGivenOnce) {
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

TEST(ReplicaElection, RefusesPreVoteOfAShorterLogAndIgnoresOtherClusters) {
  const Identity identity{ClusterId("c"), {HostId("a"), 1}};
  const ReplicaId other{HostId("b"), 2};
  const MemoryStore store(identity, {{identity.replica, other}, {}});
  TimePoint now;
  Replica replica({}, store.durable(), RandomSource(1), now);
  (void)replica.TakeCommands();
  now += milliseconds(500);
  Message message{identity.cluster, other, identity.replica, 9,
                  VoteRequest{true, false, 0, 0}};
  replica.OnMessage(message, now);
  bool answered = false;
  for (const Command& it : replica.TakeCommands()) {
    const auto* send = std::get_if<SendMessage>(&it);
    const auto* vote =
        send ? std::get_if<VoteResponse>(&send->message.body) : nullptr;
    answered |= vote != nullptr;
    CHECK_FALSE(vote != nullptr && vote->granted);
  }
  CHECK_TRUE(answered);
  message.cluster = ClusterId("d");
  message.body = VoteRequest{false, false, 100, 8};
  replica.OnMessage(message, now);
  CHECK_TRUE(replica.term() < 9);
}

TEST(ReplicaElection, OwnVoteCountsOnlyOnceItIsSynced) {
  const Identity identity{ClusterId("c"), {HostId("a"), 1}};
  TimePoint now;
  const MemoryStore store(identity, {{identity.replica}, {}});
  Replica replica({}, store.durable(), RandomSource(1), now);
  now += seconds(1) - milliseconds(1);
  replica.OnMessage({identity.cluster,
                     {HostId("b"), 2},
                     identity.replica,
                     replica.term() + 1,
                     VoteRequest{}},
                    now);
  (void)replica.TakeCommands();
  now = std::max(now, replica.NextWake());
  replica.Tick(now);
  CHECK_TRUE(replica.role() == Role::kCandidate);
  replica.OnPersisted(1, now);
  CHECK_TRUE(replica.role() == Role::kCandidate);
  (void)replica.TakeCommands();
  replica.OnPersisted(2, now);
  CHECK_TRUE(replica.role() == Role::kLeader);
}

TEST(ReplicaElection, FrozenLeaderThawsWithoutLease) {
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

TEST(ReplicaElection, TransferHandsOverBeforeAnyTimeout) {
  TestCluster cluster(1, 5);
  cluster.Run(seconds(3));
  const std::size_t leader = cluster.Leader();
  const std::size_t target = Other(leader);
  cluster.Drive(leader, [&](Replica& replica, TimePoint now) {
    const ReplicaId id = cluster.nodes()[target].replica->identity().replica;
    CHECK_TRUE(replica.TransferLeadership(id, now));
    CHECK_TRUE(replica.Propose("x", now).has_error());
  });
  cluster.Run(milliseconds(100));
  LONGS_EQUAL(target, cluster.Leader());
  CHECK_TRUE(cluster.Propose(target));
  STRCMP_EQUAL("", cluster.violation().c_str());
}

TEST(ReplicaElection, LeaderThatHandedOverHasNoLeaseThoughItHearsNobody) {
  const std::size_t leader = ElectLeader();
  cluster_.Run(seconds(1));
  const std::size_t target = Other(leader);
  cluster_.Drive(leader, [&](Replica& replica, TimePoint now) {
    CHECK_TRUE(replica.TransferLeadership(At(target).identity().replica, now));
  });
  for (std::size_t it = 0; it < 3; ++it)
    cluster_.Cut(it, leader);
  cluster_.Run(milliseconds(100));
  CHECK_TRUE(At(leader).role() == Role::kLeader);
  CHECK_TRUE(At(target).HasLease(cluster_.LocalTime(cluster_.nodes()[target])));
}

TEST(ReplicaElection, LeaseEndsInTimeOnTheSlowestClockAllowed) {
  constexpr double drift = 0.3;
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    TestCluster cluster(seed, 3);
    cluster.settings.max_clock_drift = drift;
    for (std::size_t it = 0; it < 3; ++it)
      cluster.nodes()[it].clock_rate = it == 0 ? 1 - drift : 1 + drift;
    cluster.Run(seconds(3));
    const std::size_t leader = cluster.Leader();
    cluster.Drive(leader, [&](Replica& replica, TimePoint now) {
      (void)replica.TransferLeadership(
          cluster.nodes()[0].replica->identity().replica, now);
    });
    cluster.Run(seconds(1));
    LONGS_EQUAL(0, cluster.Leader());
    cluster.Isolate(0);
    cluster.Run(seconds(3));
    STRCMP_EQUAL("", cluster.violation().c_str());
    CHECK_TRUE(cluster.Leader() != 0);
  }
}

TEST(ReplicaElection, RestartedVoterStillKeepsItsPromise) {
  const std::size_t leader = ElectLeader();
  cluster_.Run(seconds(1));
  const std::size_t voter = Other(leader);
  cluster_.Crash(voter);
  cluster_.Restart(voter);
  const Term term = At(voter).term();
  cluster_.Drive(voter, [&](Replica& replica, TimePoint now) {
    replica.OnMessage(ForcedElection(voter, leader), now);
  });
  LONGS_EQUAL(term, At(voter).term());
}

TEST(ReplicaElection, TransferToADeadReplicaIsGivenUp) {
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

}  // namespace briarlead::consensus
