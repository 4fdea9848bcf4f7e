#include "briarlead_consensus/test_cluster.h"

#include <fmt/format.h>

#include <cstdlib>
#include <string>

#include <CppUTest/TestHarness.h>

namespace briarlead::consensus {

namespace {

constexpr std::uint64_t kSeeds = 1000;
constexpr Duration kFaultDuration = std::chrono::seconds(10);
constexpr Duration kConvergenceLimit = std::chrono::seconds(30);
constexpr Duration kProposalInterval = std::chrono::milliseconds(25);
constexpr Duration kFaultIntervalMin = std::chrono::milliseconds(100);
constexpr Duration kFaultIntervalMax = std::chrono::milliseconds(800);
constexpr Duration kMembershipInterval = std::chrono::milliseconds(200);

/// Event counts over all seeds. They show that the test exercised the cluster.
struct Totals {
  std::size_t acknowledged = 0;
  std::size_t reads = 0;
  std::size_t installs = 0;
  std::size_t lost_disks = 0;
};

/// Generates load and injects faults, both drawn from the cluster's random
/// numbers, so that a seed repeats the same run.
class FaultInjector {
 public:
  FaultInjector(TestCluster& cluster, Totals& totals)
      : cluster_(cluster), totals_(totals) {
    cluster_.settings.trailing_entries = 5;
    cluster_.settings.snapshot_chunk_bytes = 7;
    cluster_.settings.max_appends_in_flight = 3;
    cluster_.settings.max_append_entries = 4;
    cluster_.faults.loss = 0.1 * cluster_.random().Unit();
    cluster_.faults.duplication = 0.1 * cluster_.random().Unit();
    cluster_.faults.delay_max =
        std::chrono::milliseconds(2 + cluster_.random().Below(60));
    cluster_.sync_max =
        std::chrono::milliseconds(1 + cluster_.random().Below(100));
    Repeat(kProposalInterval, [this] { GenerateLoad(); });
    Repeat(kMembershipInterval,
           [this] { cluster_.ProposeMembershipChanges(); });
    Repeat(cluster_.random().Between(kFaultIntervalMin, kFaultIntervalMax),
           [this] { InjectFault(); });
  }

  /// Ends the faults and the load; membership changes continue.
  void Stop() {
    stopped_ = true;
    cluster_.HealAll();
  }

 private:
  void Repeat(Duration interval, const std::function<void()>& action) {
    const Duration wait =
        cluster_.random().Between(interval / 2, interval * 3 / 2);
    cluster_.After(wait, [this, interval, action] {
      action();
      Repeat(interval, action);
    });
  }

  std::size_t AnyNode() {
    return cluster_.random().Below(cluster_.nodes().size());
  }

  void GenerateLoad() {
    if (stopped_)
      return;
    for (std::size_t it = 0; it < cluster_.nodes().size(); ++it) {
      cluster_.Propose(it);
      if (cluster_.random().Chance(0.3))
        cluster_.RequestRead(it);
    }
    if (cluster_.random().Chance(0.05))
      cluster_.Compact(AnyNode());
  }

  void InjectFault() {
    if (stopped_)
      return;
    const std::size_t n = AnyNode();
    TestCluster::Node& node = cluster_.nodes()[n];
    RandomSource& random = cluster_.random();
    switch (random.Below(10)) {
      case 0:
      case 1:
        if (!node.replica)
          return;
        cluster_.Crash(n, random.Chance(0.5));
        MaybeLoseDisk(n);
        if (!node.replica && random.Chance(0.3))
          cluster_.Restart(n);
        break;
      case 2:
      case 3:
        RestartAnyDown();
        break;
      case 4:
        if (node.replica && !node.frozen)
          FreezeFor(n, random.Between(std::chrono::milliseconds(10),
                                      std::chrono::seconds(3)));
        break;
      case 5:
        cluster_.CutLink(n, AnyNode());
        break;
      case 6:
        cluster_.Isolate(random.Chance(0.5) ? n : LeaderOr(n));
        break;
      case 7:
      case 8:
        cluster_.HealNetwork();
        break;
      case 9:
        TransferLeadershipTo(AnyNode());
        break;
    }
  }

  void RestartAnyDown() {
    for (std::size_t it = 0; it < cluster_.nodes().size(); ++it) {
      if (cluster_.nodes()[it].replica)
        continue;
      cluster_.Restart(it);
      return;
    }
  }

  /// Returns the leader, or `n` if there is none.
  std::size_t LeaderOr(std::size_t n) const {
    const std::size_t leader = cluster_.Leader();
    return leader < cluster_.nodes().size() ? leader : n;
  }

  /// Loses the disk of the crashed node `n` at random, but only after every
  /// replica with a lost disk has been replaced.
  void MaybeLoseDisk(std::size_t n) {
    if (!cluster_.RepairsDone() || !cluster_.random().Chance(0.7))
      return;
    cluster_.LoseDisk(n);
    ++totals_.lost_disks;
    cluster_.Restart(n);
  }

  void FreezeFor(std::size_t n, Duration duration) {
    cluster_.Freeze(n);
    const std::uint64_t epoch = cluster_.nodes()[n].epoch;
    cluster_.After(duration, [this, n, epoch] {
      const TestCluster::Node& node = cluster_.nodes()[n];
      if (node.epoch == epoch && node.frozen)
        cluster_.Thaw(n);
    });
  }

  void TransferLeadershipTo(std::size_t target) {
    const ReplicaId id =
        cluster_.nodes()[target].store->durable().identity.replica;
    const std::size_t leader = cluster_.Leader();
    if (leader == cluster_.nodes().size())
      return;
    cluster_.CallReplica(leader, [&](Replica& replica, TimePoint now) {
      (void)replica.TransferLeadership(id, now);
    });
  }

  TestCluster& cluster_;
  Totals& totals_;
  bool stopped_ = false;
};

/// Runs one seed; returns the violation, or an empty string if there is none.
std::string RunSeed(std::uint64_t seed, Totals& totals) {
  TestCluster cluster(seed, 3 + seed % 3);
  FaultInjector injector(cluster, totals);
  cluster.Run(kFaultDuration);
  injector.Stop();
  const bool converged =
      cluster.RunUntil([&] { return cluster.Converged(); }, kConvergenceLimit);
  totals.acknowledged += cluster.acknowledged();
  totals.reads += cluster.confirmed_reads();
  totals.installs += cluster.installs();
  if (!cluster.violation().empty())
    return cluster.violation();
  return converged ? "" : "no agreement after the faults ended";
}

std::string ReplayCommand(std::uint64_t seed) {
  return fmt::format(
      "BRIARLEAD_SEED={} build/release/bin/briarlead_consensus_tests "
      "-sg MixedFaults",
      seed);
}

}  // namespace

TEST_GROUP(MixedFaults){};

TEST(MixedFaults, InvariantsHoldOverSeeds) {
  Totals totals;
  std::uint64_t first = 0;
  std::uint64_t end = kSeeds;
  if (const char* seed = std::getenv("BRIARLEAD_SEED")) {
    first = std::strtoull(seed, nullptr, 10);
    end = first + 1;
  }
  for (std::uint64_t seed = first; seed < end; ++seed) {
    const std::string violation = RunSeed(seed, totals);
    if (!violation.empty()) {
      FAIL(fmt::format("seed {}: {}\nreplay: {}", seed, violation,
                       ReplayCommand(seed))
               .c_str());
    }
  }
  UT_PRINT(fmt::format("{} seeds: {} acknowledged entries, {} reads, {} "
                       "snapshots installed, {} disks lost",
                       end - first, totals.acknowledged, totals.reads,
                       totals.installs, totals.lost_disks)
               .c_str());
  CHECK_TRUE(totals.acknowledged > 0);
}

}  // namespace briarlead::consensus
