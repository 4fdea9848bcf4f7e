#ifndef BRIARLEAD_STATE_FAKE_CONTROL_GROUP_H_
#define BRIARLEAD_STATE_FAKE_CONTROL_GROUP_H_

// Test support: a group of control processes that share an in-memory list
// instead of a replicated log.

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "briarlead_core/random_source.h"
#include "briarlead_state/control_service.h"

namespace briarlead {

/// The Proposer of one control process. Accepts proposals while the process
/// believes that it is the leader.
class FakeNodeProposer {
 public:
  Result<std::uint64_t> Propose(std::string payload, TimePoint /*now*/) {
    if (!believes_it_leads)
      return Fail(ErrorCode::kUnavailable, "not the leader");
    pending.push_back(std::move(payload));
    return next_index++;
  }

  bool believes_it_leads = false;
  std::uint64_t term = 0;
  std::uint64_t next_index = 0;
  std::vector<std::string> pending;  ///< Proposed, not committed.
};

/// One control process.
struct FakeControlNode : FakeNodeProposer {
  StateMachine machine;
  std::unique_ptr<ControlService<FakeNodeProposer>> service;
  bool alive = true;
  std::string snapshot;  ///< The contents of its disk.
};

/// A group of control processes. Only the leader of the newest term commits
/// entries. A replaced leader may not know yet that it was replaced.
class FakeControlGroup {
 public:
  FakeControlGroup(RandomSource& random, std::size_t size) : random_(random) {
    for (std::size_t i = 0; i < size; ++i) {
      nodes.push_back(std::make_unique<FakeControlNode>());
      nodes.back()->snapshot = nodes.back()->machine.EncodeSnapshot();
      StartService(i);
    }
  }

  /// Commits some of the leader's proposals and lets the nodes apply committed
  /// entries; with `faults`, only some of the nodes do.
  void Step(TimePoint now, bool faults) {
    FakeControlNode& node = *nodes[leader];
    if (node.alive && node.believes_it_leads && node.term == term)
      Commit(node, random_.Below(node.pending.size() + 1));
    for (const auto& replica : nodes) {
      if (replica->alive && (!faults || random_.Chance(0.5)))
        CatchUp(*replica, now);
      if (replica->alive)
        replica->service->Tick(now);
    }
  }

  /// Makes a randomly chosen node the leader. Some of the old leader's
  /// proposals are committed first, without an answer; the others are lost.
  /// With `old_leader_unaware`, the old leader isn't told and keeps proposing
  /// entries that are never committed.
  void ChangeLeader(TimePoint now, bool old_leader_unaware) {
    FakeControlNode& old = *nodes[leader];
    if (old.believes_it_leads && old.term == term)
      Commit(old, random_.Below(old.pending.size() + 1));
    if (!old_leader_unaware)
      Depose(leader);
    const std::size_t next = random_.Below(nodes.size());
    if (!nodes[next]->alive)
      return;
    if (nodes[next]->believes_it_leads)
      Depose(next);
    leader = next;
    ++term;
    BecomeLeader(now);
  }

  /// Ends the process of node `index`, which loses everything but its snapshot.
  void Kill(std::size_t index) {
    nodes[index]->alive = false;
    nodes[index]->believes_it_leads = false;
    nodes[index]->pending.clear();
  }

  /// Restarts the process of node `index` from its snapshot.
  void Restart(std::size_t index) {
    FakeControlNode& node = *nodes[index];
    node.alive = true;
    node.machine = StateMachine();
    restored_exactly &= node.machine.RestoreSnapshot(node.snapshot) &&
                        node.machine.EncodeSnapshot() == node.snapshot;
    StartService(index);
  }

  /// Tells node `index` that it is no longer the leader.
  void Depose(std::size_t index) {
    nodes[index]->believes_it_leads = false;
    nodes[index]->pending.clear();
    nodes[index]->service->OnLeadershipLost(HostId());
  }

  /// Applies the committed entries that `node` has not applied yet.
  void CatchUp(FakeControlNode& node, TimePoint now) {
    while (node.machine.applied_index() < log.size()) {
      const std::uint64_t index = node.machine.applied_index() + 1;
      const Entry& entry = log[index - 1];
      const StateOutcome outcome = node.machine.Apply(index, entry.payload);
      node.service->OnApplied(index, entry.term, outcome, now);
    }
  }

  struct Entry {
    std::uint64_t term = 0;
    std::string payload;
  };

  std::vector<std::unique_ptr<FakeControlNode>> nodes;
  std::vector<Entry> log;
  std::size_t leader = 0;
  std::uint64_t term = 0;
  /// Whether every restored snapshot encoded to the same bytes again.
  bool restored_exactly = true;

 private:
  void StartService(std::size_t index) {
    FakeControlNode& node = *nodes[index];
    node.service = std::make_unique<ControlService<FakeNodeProposer>>(
        node, node.machine,
        ControlServiceOptions{.self = HostId("c" + std::to_string(index)),
                              .data_centres = {},
                              .check = {}});
  }

  void Commit(FakeControlNode& node, std::size_t count) {
    for (std::size_t i = 0; i < count; ++i)
      log.push_back({node.term, std::move(node.pending[i])});
    node.pending.erase(node.pending.begin(),
                       node.pending.begin() + static_cast<long>(count));
  }

  /// Makes node `leader` the leader of `term`.
  void BecomeLeader(TimePoint now) {
    FakeControlNode& node = *nodes[leader];
    node.believes_it_leads = true;
    node.term = term;
    node.next_index = log.size() + 1;
    CatchUp(node, now);
    node.service->OnLeadership(term, now);
  }

  RandomSource& random_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_STATE_FAKE_CONTROL_GROUP_H_
