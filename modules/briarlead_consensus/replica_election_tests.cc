#include "briarlead_consensus/replica_fixture.h"

namespace briarlead::consensus {

TEST_GROUP_BASE(ReplicaElection, ReplicaFixture){};

TEST(ReplicaElection, IsolatedLeaderStepsDownOnItsOwn) {
  const std::size_t leader = WaitForLeader();
  cluster_.Isolate(leader);
  cluster_.Run(cluster_.settings.election_timeout_max + milliseconds(150));
  CHECK_TRUE(At(leader).role() != Role::kLeader);
  const std::size_t next = WaitForLeaderOtherThan(leader);
  CHECK_TRUE(next != leader);
  ProposeAndWait(5);
  cluster_.HealNetwork();
  WaitUntilConverged();
}

// The leader's heartbeats still arrive, so the followers alone would not start
// an election.
TEST(ReplicaElection, LeaderThatReceivesNoResponsesStepsDown) {
  const std::size_t leader = WaitForLeader();
  for (std::size_t it = 0; it < 3; ++it)
    cluster_.CutLink(it, leader);
  WaitForLeaderOtherThan(leader);
  ProposeAndWait(5);
}

TEST(ReplicaElection, IsolatedFollowerReturnsWithoutAnElection) {
  const std::size_t leader = WaitForLeader();
  const Term term = At(leader).term();
  cluster_.Isolate(Other(leader));
  cluster_.Run(seconds(10));
  LONGS_EQUAL(term, At(Other(leader)).term());
  cluster_.HealNetwork();
  cluster_.Run(seconds(2));
  LONGS_EQUAL(term, At(leader).term());
  LONGS_EQUAL(leader, cluster_.Leader());
}

TEST(ReplicaElection, FollowerCutOffFromOnlyTheLeaderDisruptsNothing) {
  const std::size_t leader = WaitForLeader();
  const Term term = At(leader).term();
  cluster_.CutLink(leader, Other(leader));
  cluster_.CutLink(Other(leader), leader);
  for (int it = 0; it < 100; ++it) {
    cluster_.Run(milliseconds(100));
    CHECK_TRUE(LeaseHeld());
  }
  cluster_.HealNetwork();
  cluster_.Run(seconds(2));
  LONGS_EQUAL(term, At(leader).term());
}

// The leader's lease relies on this.
TEST(ReplicaElection, VoterThatHearsALeaderIgnoresVoteRequests) {
  const std::size_t leader = WaitForLeader();
  cluster_.Run(seconds(1));
  const std::size_t voter = Other(leader);
  const Term term = At(voter).term();
  cluster_.CallReplica(voter, [&](Replica& replica, TimePoint now) {
    replica.OnMessage(VoteRequestWithoutPreVote(voter, leader), now);
  });
  LONGS_EQUAL(term, At(voter).term());
}

TEST(ReplicaElection, VoteIsSyncedBeforeItIsSentAndGivenOncePerTerm) {
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

TEST(ReplicaElection, RejectsPreVoteOfAShorterLogAndIgnoresOtherClusters) {
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

TEST(ReplicaElection, FrozenLeaderHasNoLeaseWhenItThaws) {
  const std::size_t leader = WaitForLeader();
  cluster_.Freeze(leader);
  WaitForLeaderOtherThan(leader);
  ProposeAndWait(5);
  cluster_.Run(std::chrono::minutes(2));
  TestCluster::Node& node = cluster_.nodes()[leader];
  CHECK_FALSE(node.replica->HasLease(cluster_.LocalTime(node)));
  // Even the first call after the freeze must handle expired timeouts first.
  node.frozen = false;
  CHECK_FALSE(cluster_.Propose(leader));
  CHECK_TRUE(node.replica->role() != Role::kLeader);
  cluster_.Thaw(leader);
  WaitUntilConverged();
}

TEST(ReplicaElection, TransferCompletesBeforeAnyElectionTimeout) {
  TestCluster cluster(1, 5);
  cluster.Run(seconds(3));
  const std::size_t leader = cluster.Leader();
  const std::size_t target = Other(leader);
  cluster.CallReplica(leader, [&](Replica& replica, TimePoint now) {
    const ReplicaId id = cluster.nodes()[target].replica->identity().replica;
    CHECK_TRUE(replica.TransferLeadership(id, now));
    CHECK_TRUE(replica.Propose("x", now).has_error());
  });
  cluster.Run(milliseconds(100));
  LONGS_EQUAL(target, cluster.Leader());
  CHECK_TRUE(cluster.Propose(target));
  STRCMP_EQUAL("", cluster.violation().c_str());
}

// The former leader doesn't learn of the new term. Both would have a lease if
// the former leader kept its own.
TEST(ReplicaElection, LeaderThatHandedOverHasNoLeaseWhileItReceivesNothing) {
  const std::size_t leader = WaitForLeader();
  cluster_.Run(seconds(1));
  const std::size_t target = Other(leader);
  cluster_.CallReplica(leader, [&](Replica& replica, TimePoint now) {
    CHECK_TRUE(replica.TransferLeadership(At(target).identity().replica, now));
  });
  for (std::size_t it = 0; it < 3; ++it)
    cluster_.CutLink(it, leader);
  cluster_.Run(milliseconds(100));
  CHECK_TRUE(At(leader).role() == Role::kLeader);
  CHECK_TRUE(At(target).HasLease(cluster_.LocalTime(cluster_.nodes()[target])));
}

TEST(ReplicaElection, LeaseEndsInTimeOnTheSlowestAllowedClock) {
  constexpr double drift = 0.3;
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    TestCluster cluster(seed, 3);
    cluster.settings.max_clock_drift = drift;
    for (std::size_t it = 0; it < 3; ++it)
      cluster.nodes()[it].clock_rate = it == 0 ? 1 - drift : 1 + drift;
    cluster.Run(seconds(3));
    const std::size_t leader = cluster.Leader();
    cluster.CallReplica(leader, [&](Replica& replica, TimePoint now) {
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

// The leader's lease may rely on responses that were sent before the restart.
TEST(ReplicaElection, RestartedVoterIgnoresVoteRequestsAtFirst) {
  const std::size_t leader = WaitForLeader();
  cluster_.Run(seconds(1));
  const std::size_t voter = Other(leader);
  cluster_.Crash(voter);
  cluster_.Restart(voter);
  const Term term = At(voter).term();
  cluster_.CallReplica(voter, [&](Replica& replica, TimePoint now) {
    replica.OnMessage(VoteRequestWithoutPreVote(voter, leader), now);
  });
  LONGS_EQUAL(term, At(voter).term());
}

TEST(ReplicaElection, TransferToADeadReplicaIsAbandoned) {
  const std::size_t leader = WaitForLeader();
  const ReplicaId target = At(Other(leader)).identity().replica;
  cluster_.Crash(Other(leader));
  ProposeAndWait(1);
  cluster_.CallReplica(leader, [&](Replica& replica, TimePoint now) {
    CHECK_TRUE(replica.TransferLeadership(target, now));
    CHECK_TRUE(replica.Propose("x", now).has_error());
  });
  cluster_.Run(cluster_.settings.transfer_timeout * 2);
  LONGS_EQUAL(leader, cluster_.Leader());
  ProposeAndWait(1);
}

}  // namespace briarlead::consensus
