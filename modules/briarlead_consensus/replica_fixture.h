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

inline constexpr Duration kLimit = seconds(5);
inline constexpr Duration kRepairLimit = seconds(20);

/// Three replicas without faults; fails the test on any violation.
struct ReplicaFixture : public Utest {
  TestCluster cluster_{1, 3};

  void teardown() override { STRCMP_EQUAL("", cluster_.violation().c_str()); }

  Replica& At(std::size_t n) { return *cluster_.nodes()[n].replica; }

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

  /// Returns the third replica's request for a vote without pre-vote.
  Message ForcedElection(std::size_t voter, std::size_t leader) {
    return {
        At(voter).identity().cluster, At(3 - leader - voter).identity().replica,
        At(voter).identity().replica, At(voter).term() + 1,
        VoteRequest{false, false, At(leader).last_index(), At(leader).term()}};
  }

  std::size_t Other(std::size_t n) const { return n == 0 ? 1 : 0; }
};

}  // namespace briarlead::consensus

#endif  // BRIARLEAD_CONSENSUS_REPLICA_FIXTURE_H_
