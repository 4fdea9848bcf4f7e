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

/// Network faults of a TestCluster. Probabilities are per message.
struct NetworkFaults {
  double loss = 0;
  double duplication = 0;
  Duration delay_min = std::chrono::milliseconds(1);
  Duration delay_max = std::chrono::milliseconds(2);
};

/// Simulates a few replicas in virtual time, with faults of the network, the
/// disks and the clocks. Every step checks Raft's invariants, and the first
/// violation is recorded as text.
class TestCluster {
 public:
  /// A host with at most one running replica.
  struct Node {
    HostId host;
    std::shared_ptr<MemoryStore> store;
    std::unique_ptr<Replica> replica;  ///< Null while the node is down.
    MembershipManager manager{{}};
    std::uint64_t epoch = 0;  ///< Incremented by each start and crash.
    bool frozen = false;
    /// Input that arrived while the node was frozen.
    std::vector<std::function<void()>> deferred_input;
    double clock_rate = 1;
    int sync_slowness = 1;  ///< Multiplies the duration of each sync.
    Duration clock_offset{};
    TimePoint scheduled_tick;  ///< Local time of the next scheduled Tick().
    LogIndex applied = 0;
    LogIndex committed = 0;
    std::uint64_t state = 0;  ///< State machine: a hash of the applied entries.
    /// Pending read barriers and the index that each must see.
    std::map<ReadToken, LogIndex> reads;
  };

  /// Creates `hosts` nodes, of which the first `initial_voters` are the
  /// cluster's initial voters.
  TestCluster(std::uint64_t seed,
              std::size_t hosts,
              std::size_t initial_voters);
  TestCluster(std::uint64_t seed, std::size_t hosts)
      : TestCluster(seed, hosts, hosts) {}

  /// Runs for `duration` of simulated real time; stops at a violation.
  void Run(Duration duration);
  /// Runs until `done` returns true, for at most `limit`. Returns whether
  /// `done` was reached without a violation.
  bool RunUntil(const std::function<bool()>& done, Duration limit);
  /// Schedules `action` to run after `delay`.
  void After(Duration delay, std::function<void()> action);

  /// Stops the replica. A write in progress becomes durable only with
  /// `sync_reached_disk`.
  void Crash(std::size_t node, bool sync_reached_disk = false);
  void Restart(std::size_t node);
  /// Suspends the replica, as a stopped process; its input is deferred.
  void Freeze(std::size_t node);
  /// Resumes a frozen replica and delivers its deferred input.
  void Thaw(std::size_t node);
  /// Replaces the disk by an empty one with a new identity. The node must be
  /// down.
  void LoseDisk(std::size_t node);
  /// Drops all messages from `from` to `to`, but not those in the other
  /// direction.
  void CutLink(std::size_t from, std::size_t to) {
    cut_links_.insert({from, to});
  }
  /// Cuts all links to and from `node`.
  void Isolate(std::size_t node);
  void HealNetwork() { cut_links_.clear(); }
  /// Ends all cuts, losses and freezes, and restarts every node that is down.
  void HealAll();

  /// Proposes a new payload on `node`; returns whether it was accepted.
  bool Propose(std::size_t node);
  /// Starts a read barrier on `node`.
  void RequestRead(std::size_t node);
  /// Takes a snapshot on `node`; returns whether it was accepted.
  bool Compact(std::size_t node);
  /// Proposes the next change of each leader's MembershipManager.
  void ProposeMembershipChanges();
  /// Calls `action` with the replica of `node` and its local time, then
  /// executes the replica's commands. Does nothing while the node is down or
  /// frozen.
  void CallReplica(std::size_t node,
                   const std::function<void(Replica&, TimePoint)>& action);

  /// Returns the leader of the highest term; nodes().size() if there is none.
  [[nodiscard]] std::size_t Leader() const;
  /// Returns whether every node is up, a voter, and has applied all entries.
  [[nodiscard]] bool Converged() const;
  /// Returns whether in every replica's log the voters are one replica per host
  /// and none of them has lost its disk.
  [[nodiscard]] bool RepairsDone() const;
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
  bool any_host = false;       ///< Use MembershipManager::ForAnyHost().
  std::size_t min_voters = 3;  ///< For MembershipManager::ForAnyHost().
  /// Called with each message before it is sent; returns false to drop it.
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
    std::uint64_t state = 0;  ///< State machine's state after this entry.
  };

  void StartReplica(std::size_t node);
  /// Executes the replica's commands until there are none, checks the
  /// invariants and schedules the next Tick().
  void RunCommands(std::size_t node);
  void Execute(std::size_t node, Command& command);
  /// Delivers the message after a random delay, unless a network fault drops
  /// it.
  void Transmit(std::size_t from, const Message& message);
  /// Writes `persist`; it is synced after a random time.
  void Write(std::size_t node, Persist persist);
  void OnApply(Node& node, const Apply& apply);
  void CheckInvariants(Node& node);
  /// Checks the log matching property: logs that have an entry of one index and
  /// term are equal up to it.
  void CheckLogs(const Persist& persist);
  /// Records the first violation.
  void ReportViolation(const std::string& what);
  /// Runs `input` on the node now or, if the node is frozen, when it thaws.
  /// Drops it when the node restarts before that.
  void Deliver(std::size_t node, std::function<void()> input);

  std::vector<Node> nodes_;
  RandomSource random_;
  Duration now_{};
  std::uint64_t next_order_ = 0;
  std::priority_queue<Event> events_;
  std::set<std::pair<std::size_t, std::size_t>> cut_links_;
  std::map<ReplicaId, std::shared_ptr<MemoryStore>> stores_;
  std::set<ReplicaId> lost_replicas_;
  std::vector<AppliedEntry> history_;  ///< Entry 1 is at position 0.
  std::map<Term, ReplicaId> leader_by_term_;
  /// Previous entry's term and the payload of each entry, by index and term.
  std::map<std::pair<LogIndex, Term>, std::pair<Term, std::string>>
      log_entries_;
  /// Payloads of proposals that are not applied yet, by index and term.
  std::map<std::pair<LogIndex, Term>, std::string> pending_proposals_;
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
