#ifndef BRIARLEAD_CONSENSUS_REPLICA_FIXTURE_H_
#define BRIARLEAD_CONSENSUS_REPLICA_FIXTURE_H_

#include "briarlead_consensus/test_cluster.h"

#include <algorithm>
#include <set>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace briarlead::consensus {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr Duration kWaitLimit = seconds(5);
inline constexpr Duration kRepairWaitLimit = seconds(20);

/// A cluster of three replicas without faults. Fails the test at any violation.
struct ReplicaFixture : public Utest {
  TestCluster cluster_{1, 3};

  void teardown() override { STRCMP_EQUAL("", cluster_.violation().c_str()); }

  /// Returns the replica of node `n`, which must be up.
  Replica& At(std::size_t n) { return *cluster_.nodes()[n].replica; }

  /// Returns whether the current leader holds its lease.
  bool LeaseHeld() {
    const std::size_t n = cluster_.Leader();
    return n < cluster_.nodes().size() &&
           At(n).HasLease(cluster_.LocalTime(cluster_.nodes()[n]));
  }

  /// Runs until a leader holds its lease; returns the leader.
  std::size_t WaitForLeader() {
    CHECK_TRUE(cluster_.RunUntil([&] { return LeaseHeld(); }, kWaitLimit));
    return cluster_.Leader();
  }

  /// Runs until another node than `old` leads and holds its lease; returns it.
  std::size_t WaitForLeaderOtherThan(std::size_t old) {
    CHECK_TRUE(cluster_.RunUntil(
        [&] { return cluster_.Leader() != old && LeaseHeld(); }, kWaitLimit));
    return cluster_.Leader();
  }

  /// Proposes `n` entries and runs until as many are acknowledged.
  void ProposeAndWait(std::size_t n) {
    const std::size_t wanted = cluster_.acknowledged() + n;
    for (std::size_t it = 0; it < n; ++it)
      CHECK_TRUE(cluster_.Propose(cluster_.Leader()));
    CHECK_TRUE(cluster_.RunUntil(
        [&] { return cluster_.acknowledged() >= wanted; }, kWaitLimit));
  }

  void WaitUntilConverged() {
    CHECK_TRUE(
        cluster_.RunUntil([&] { return cluster_.Converged(); }, kWaitLimit));
  }

  /// Runs with membership changes until every lost replica is replaced.
  void WaitUntilRepaired() {
    const bool repaired = cluster_.RunUntil(
        [&] {
          cluster_.ProposeMembershipChanges();
          return cluster_.Converged() && cluster_.RepairsDone();
        },
        kRepairWaitLimit);
    CHECK_TRUE(repaired);
  }

  /// Returns a vote request to `voter` from the replica that is neither `voter`
  /// nor `leader`, for the next term and without a preceding pre-vote.
  Message VoteRequestWithoutPreVote(std::size_t voter, std::size_t leader) {
    return {
        At(voter).identity().cluster, At(3 - leader - voter).identity().replica,
        At(voter).identity().replica, At(voter).term() + 1,
        VoteRequest{false, false, At(leader).last_index(), At(leader).term()}};
  }

  /// Returns a node other than `n`.
  std::size_t Other(std::size_t n) const { return n == 0 ? 1 : 0; }
};

}  // namespace briarlead::consensus

#endif  // BRIARLEAD_CONSENSUS_REPLICA_FIXTURE_H_
