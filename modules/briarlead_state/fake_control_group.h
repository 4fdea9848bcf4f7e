#ifndef BRIARLEAD_STATE_FAKE_CONTROL_GROUP_H_
#define BRIARLEAD_STATE_FAKE_CONTROL_GROUP_H_

// For tests only: a list in the place of the replicated log, and control
// processes that apply it.

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "briarlead_core/random_source.h"
#include "briarlead_state/control_service.h"

namespace briarlead {

/// What one control process proposes while it believes that it leads.
class FakeProposals {
 public:
  Result<std::uint64_t> Propose(std::string payload, TimePoint /*now*/) {
    if (!believes_to_lead)
      return Fail(ErrorCode::kUnavailable, "not the leader");
    pending.push_back(std::move(payload));
    return next_index++;
  }

  bool believes_to_lead = false;
  std::uint64_t term = 0;
  std::uint64_t next_index = 0;
  std::vector<std::string> pending;  ///< Proposed, not committed.
};

/// One control process over the fake log.
struct FakeControlNode : FakeProposals {
  StateMachine machine;
  std::unique_ptr<ControlService<FakeProposals>> service;
  bool alive = true;
  std::string snapshot;  ///< What its disk keeps.
};

/// Several control processes. Entries are committed by the leader of the
/// newest term only; a leader that was replaced may not know it yet.
class FakeControlGroup {
 public:
  FakeControlGroup(RandomSource& random, std::size_t size) : random_(random) {
    for (std::size_t it = 0; it < size; ++it) {
      nodes.push_back(std::make_unique<FakeControlNode>());
      nodes.back()->snapshot = nodes.back()->machine.EncodeSnapshot();
      StartService(it);
    }
  }

  /// Commits a part of what the leader proposed, and lets nodes catch up.
  void Step(TimePoint now, bool faults) {
    FakeControlNode& node = *nodes[leader];
    if (node.alive && node.believes_to_lead && node.term == term)
      Commit(node, random_.Below(node.pending.size() + 1));
    for (const auto& it : nodes) {
      if (it->alive && (!faults || random_.Chance(0.5)))
        CatchUp(*it, now);
      if (it->alive)
        it->service->Tick(now);
    }
  }

  /// Makes another node the leader. A part of what the old one proposed is
  /// committed, unanswered so far; the rest is lost. With `silent`, the old
  /// leader does not learn of it and goes on proposing in vain.
  void ChangeLeader(TimePoint now, bool silent) {
    FakeControlNode& old = *nodes[leader];
    if (old.believes_to_lead && old.term == term)
      Commit(old, random_.Below(old.pending.size() + 1));
    if (!silent)
      Depose(leader);
    const std::size_t next = random_.Below(nodes.size());
    if (!nodes[next]->alive)
      return;
    if (nodes[next]->believes_to_lead)
      Depose(next);
    leader = next;
    ++term;
    Lead(now);
  }

  /// The process of `index` stops and loses all but its snapshot.
  void Kill(std::size_t index) {
    nodes[index]->alive = false;
    nodes[index]->believes_to_lead = false;
    nodes[index]->pending.clear();
  }

  void Restart(std::size_t index) {
    FakeControlNode& node = *nodes[index];
    node.alive = true;
    node.machine = StateMachine();
    restored_exactly &= node.machine.RestoreSnapshot(node.snapshot) &&
                        node.machine.EncodeSnapshot() == node.snapshot;
    StartService(index);
  }

  void Depose(std::size_t index) {
    nodes[index]->believes_to_lead = false;
    nodes[index]->pending.clear();
    nodes[index]->service->OnLeadershipLost(HostId());
  }

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
  bool restored_exactly = true;

 private:
  void StartService(std::size_t index) {
    FakeControlNode& node = *nodes[index];
    node.service = std::make_unique<ControlService<FakeProposals>>(
        node, node.machine,
        ControlServiceOptions{.self = HostId("c" + std::to_string(index)),
                              .data_centres = {},
                              .check = {}});
  }

  void Commit(FakeControlNode& node, std::size_t count) {
    for (std::size_t it = 0; it < count; ++it)
      log.push_back({node.term, std::move(node.pending[it])});
    node.pending.erase(node.pending.begin(),
                       node.pending.begin() + static_cast<long>(count));
  }

  void Lead(TimePoint now) {
    FakeControlNode& node = *nodes[leader];
    node.believes_to_lead = true;
    node.term = term;
    node.next_index = log.size() + 1;
    CatchUp(node, now);
    node.service->OnLeadership(term, now);
  }

  RandomSource& random_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_STATE_FAKE_CONTROL_GROUP_H_
