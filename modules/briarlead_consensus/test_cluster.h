#ifndef BRIARLEAD_CONSENSUS_TEST_CLUSTER_H_
#define BRIARLEAD_CONSENSUS_TEST_CLUSTER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "briarlead_consensus/briarlead_consensus.h"
#include "briarlead_consensus/memory_store.h"

namespace briarlead::consensus {

/// Faults of the network of a TestCluster.
struct NetworkFaults {
  double loss = 0;
  double duplication = 0;
  Duration delay_min = std::chrono::milliseconds(1);
  Duration delay_max = std::chrono::milliseconds(2);
};

/// A few replicas in virtual time over a network, disks and clocks with faults.
/// Every step checks the invariants; the first violation is kept as text.
class TestCluster {
 public:
  struct Node {
    HostId host;
    std::shared_ptr<MemoryStore> store;
    std::unique_ptr<Replica> replica;  ///< Null while it is down.
    MembershipManager keeper{{}};
    std::uint64_t epoch = 0;  ///< Changes with each start and stop.
    bool frozen = false;
    std::vector<std::function<void()>> waiting;  ///< Input while frozen.
    double clock_rate = 1;
    int sync_slowness = 1;  ///< Factor on the time that a sync takes.
    Duration clock_offset{};
    TimePoint wake;  ///< Local time of the Tick() that is scheduled.
    LogIndex applied = 0;
    LogIndex committed = 0;
    std::uint64_t state = 0;  ///< The state machine: a hash of its input.
    std::map<ReadToken, LogIndex> reads;
  };

  /// Of `hosts`, the first `first_voters` start the cluster.
  TestCluster(std::uint64_t seed, std::size_t hosts, std::size_t first_voters);
  TestCluster(std::uint64_t seed, std::size_t hosts)
      : TestCluster(seed, hosts, hosts) {}

  /// Runs for `duration` of real time; stops at a violation.
  void Run(Duration duration);
  /// Runs until `done` or for `limit`; returns whether it was done.
  bool RunUntil(const std::function<bool()>& done, Duration limit);
  /// Calls `action` after `delay`.
  void After(Duration delay, std::function<void()> action);

  void Crash(std::size_t node, bool sync_reached_disk = false);
  void Restart(std::size_t node);
  void Freeze(std::size_t node);
  void Thaw(std::size_t node);
  /// Replaces the disk by an empty one under a new identity. Must be down.
  void LoseDisk(std::size_t node);
  void Cut(std::size_t from, std::size_t to) { cuts_.insert({from, to}); }
  void Isolate(std::size_t node);
  void HealNetwork() { cuts_.clear(); }
  void HealAll();

  /// Proposes a new payload on `node`; returns whether it took it.
  bool Propose(std::size_t node);
  void AskRead(std::size_t node);
  bool Compact(std::size_t node);
  /// Lets each leader's MembershipManager propose its next change.
  void Keep();
  /// Runs `action` on the replica of `node`, then does what it asks for.
  void Drive(std::size_t node,
             const std::function<void(Replica&, TimePoint)>& action);

  /// Returns the leader of the highest term; nodes().size() when none.
  [[nodiscard]] std::size_t Leader() const;
  [[nodiscard]] bool Converged() const;
  /// Returns whether every replica's log names as voters one replica a host,
  /// none with a lost disk.
  [[nodiscard]] bool RepairsAreDone() const;
  [[nodiscard]] TimePoint LocalTime(const Node& node) const;

  std::vector<Node>& nodes() { return nodes_; }
  RandomSource& random() { return random_; }
  [[nodiscard]] Duration now() const { return now_; }
  [[nodiscard]] const std::string& violation() const { return violation_; }
  [[nodiscard]] std::size_t acknowledged() const { return acknowledged_; }
  [[nodiscard]] LogIndex history_size() const { return history_.size(); }
  [[nodiscard]] std::size_t confirmed_reads() const { return confirmed_reads_; }
  [[nodiscard]] std::size_t installs() const { return installs_; }
  [[nodiscard]] std::uint64_t bytes_sent() const { return bytes_sent_; }

  NetworkFaults faults;
  ReplicaSettings settings;
  Duration sync_min{200};
  Duration sync_max{2000};
  bool count_bytes = false;
  bool any_host = false;  ///< Keepers admit replicas on any host.
  /// Sees each message before it is sent; returns false to drop it.
  std::function<bool(const Message&)> filter;

 private:
  struct Event {
    Duration at;
    std::uint64_t order;
    std::function<void()> action;
    friend bool operator<(const Event& one, const Event& other) {
      return std::tie(other.at, other.order) < std::tie(one.at, one.order);
    }
  };
  struct AppliedEntry {
    Term term = 0;
    std::string payload;
    std::uint64_t state = 0;  ///< Of the state machine after it.
  };

  void StartReplica(std::size_t node);
  void Settle(std::size_t node);
  void Do(std::size_t node, Command& command);
  void Transmit(std::size_t from, const Message& message);
  void Write(std::size_t node, Persist persist);
  void OnApply(Node& node, const Apply& apply);
  void CheckInvariants(Node& node);
  void CheckLogs(const Persist& persist);
  void Violate(const std::string& what);
  /// Runs `input` on the node now, or at its thaw; not in a later epoch.
  void Input(std::size_t node, std::function<void()> input);

  std::vector<Node> nodes_;
  RandomSource random_;
  Duration now_{};
  std::uint64_t next_order_ = 0;
  std::priority_queue<Event> events_;
  std::set<std::pair<std::size_t, std::size_t>> cuts_;
  std::map<ReplicaId, std::shared_ptr<MemoryStore>> stores_;
  std::set<ReplicaId> lost_;
  std::vector<AppliedEntry> history_;
  std::map<Term, ReplicaId> leaders_;
  std::map<std::pair<LogIndex, Term>, std::pair<Term, std::string>>
      log_entries_;
  std::map<std::pair<LogIndex, Term>, std::string> pending_;
  std::uint64_t next_payload_ = 0;
  std::uint64_t next_incarnation_ = 1;
  std::size_t acknowledged_ = 0;
  std::size_t confirmed_reads_ = 0;
  std::size_t installs_ = 0;
  std::uint64_t bytes_sent_ = 0;
  std::string violation_;
};

}  // namespace briarlead::consensus

#endif  // BRIARLEAD_CONSENSUS_TEST_CLUSTER_H_
