#ifndef BRIARLEAD_STATE_FAKE_ENTRY_HOST_H_
#define BRIARLEAD_STATE_FAKE_ENTRY_HOST_H_

// Test support for simulations with faults: entry hosts that run the real
// ClaimCoordinator over a lossy network, and a test oracle that records what
// happened and which invariants were violated.

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "briarlead_claims/claim_coordinator.h"
#include "briarlead_core/random_source.h"
#include "briarlead_state/fake_control_group.h"

namespace briarlead {

/// Actions that are scheduled for a time of the simulation.
class FakeEventQueue {
 public:
  void Schedule(TimePoint time, std::function<void()> action) {
    actions_.emplace(time, std::move(action));
  }
  void RunUntil(TimePoint now) {
    while (!actions_.empty() && actions_.begin()->first <= now) {
      const auto action = std::move(actions_.begin()->second);
      actions_.erase(actions_.begin());
      action();
    }
  }

 private:
  std::multimap<TimePoint, std::function<void()>> actions_;
};

/// Test oracle: records what really happened in the simulation, to check the
/// answers of the system against it.
struct TestOracle {
  /// One execution of a call on a backend server.
  struct Run {
    RequestId attempt;
    TimePoint at;
  };
  std::map<std::string, std::vector<Run>> runs;  ///< By idempotency key.
  std::set<RequestId> reported_not_run;
  std::map<RequestId, int> answers;
  std::map<CallVerdict, int> verdicts;
  std::vector<std::string> violations;

  /// Records `what` as a violation unless `holds`.
  void Require(bool holds, const std::string& what) {
    if (!holds)
      violations.push_back(what);
  }
};

/// One attempt of a caller to have its call run, through one entry host.
struct CallerAttempt {
  std::string key;
  TimePoint started;
  std::function<void(const AnswerCaller&)> on_answer;
};

/// The state that all processes of one simulation share.
struct Simulation {
  explicit Simulation(std::uint64_t seed) : random(seed), group(random, 3) {}

  /// Runs `action` after a network delay. With faults, it may be lost or run
  /// twice.
  void Send(const std::function<void()>& action) {
    if (inject_faults && random.Chance(0.08))
      return;
    events.Schedule(now + Delay(), action);
    if (inject_faults && random.Chance(0.05))
      events.Schedule(now + 20 * Delay(), action);
  }
  Duration Delay() {
    return random.Between(std::chrono::milliseconds(1),
                          std::chrono::milliseconds(40));
  }

  RandomSource random;
  FakeEventQueue events;
  FakeControlGroup group;
  TestOracle oracle;
  TimePoint now;
  bool inject_faults = true;
};

/// An entry host with its ClaimCoordinator. It can be restarted, frozen, and
/// partitioned from the control processes.
class FakeEntryHost {
 public:
  FakeEntryHost(Simulation& simulation, std::size_t index)
      : simulation_(simulation), index_(index) {
    Start();
  }

  /// Ends the process and starts it again; its callers get no answer.
  void Restart() {
    ++incarnation_;
    Start();
  }

  /// Suspends the process until `until`; afterwards it handles the events that
  /// arrived meanwhile.
  void Freeze(TimePoint until) { frozen_until_ = until; }
  /// Drops all requests of this host to control processes until `until`.
  void Partition(TimePoint until) { partitioned_until_ = until; }

  [[nodiscard]] HostId id() const {
    return HostId("e" + std::to_string(index_));
  }
  [[nodiscard]] std::uint64_t incarnation() const { return incarnation_; }
  [[nodiscard]] const ListsInForce& lists() const { return lists_; }
  [[nodiscard]] std::size_t open_calls() const { return coordinator_->size(); }
  [[nodiscard]] PeerId peer() const { return index_ * 1000 + incarnation_; }

  void Call(const CallerAttempt& attempt) {
    Deliver([this, attempt] {
      const RequestId id{this->id(), incarnation_, ++sequence_};
      attempts_[id] = attempt;
      coordinator_->Start({id, ClaimKey{CustomerId("coop"), attempt.key},
                           ContentDigest{1, 1}, std::chrono::milliseconds(600)},
                          simulation_.now);
    });
  }

  void OnControlAnswer(const ControlAnswer& answer) {
    Deliver([this, answer] {
      if (const auto* begin = std::get_if<BeginResult>(&answer.body)) {
        coordinator_->OnBeginResult(*begin, simulation_.now);
      } else if (const auto* end = std::get_if<FinishResult>(&answer.body)) {
        coordinator_->OnFinishResult(*end);
      } else if (const auto* lists = std::get_if<ListsInForce>(&answer.body)) {
        if (lists->revision > lists_.revision)
          lists_ = *lists;
      } else if (const auto it = begin_attempts_.find(answer.number);
                 it != begin_attempts_.end()) {
        coordinator_->OnControlUnavailable(it->second, simulation_.now);
      }
    });
  }

  void Tick() {
    if (simulation_.now < frozen_until_)
      return;
    coordinator_->Tick(simulation_.now);
    ExecuteCommands();
    if (simulation_.random.Chance(0.03))
      SendRequest({0, ListsHeartbeat{id(), DataCentreId("dc"), incarnation_,
                                     lists_.revision}});
  }

 private:
  void Start() {
    coordinator_ = std::make_unique<ClaimCoordinator>(ClaimCoordinatorLimits{
        .begin_window = std::chrono::milliseconds(500),
        .proposal_retry_interval = std::chrono::milliseconds(120),
        .late_window = std::chrono::seconds(3),
        .finish_window = std::chrono::seconds(5)});
    lists_ = {};
    attempts_.clear();
  }

  /// Runs `event` on the current incarnation, after the end of a freeze. The
  /// event is lost when the process restarts before.
  void Deliver(const std::function<void()>& event) {
    const std::uint64_t incarnation = incarnation_;
    const auto run = [this, event, incarnation] {
      if (incarnation != incarnation_)
        return;
      event();
      ExecuteCommands();
    };
    if (simulation_.now < frozen_until_) {
      simulation_.events.Schedule(frozen_until_, run);
    } else {
      run();
    }
  }

  /// Executes the pending commands of the coordinator.
  void ExecuteCommands() {
    for (const ClaimCommand& it : coordinator_->TakeCommands()) {
      const std::uint64_t incarnation = incarnation_;
      // The process may end between any two commands.
      if (simulation_.inject_faults && simulation_.random.Chance(0.004)) {
        Restart();
        return;
      }
      std::visit([this](const auto& command) { Execute(command); }, it);
      if (incarnation != incarnation_)
        return;
    }
  }

  void Execute(const ProposeBegin& command) {
    const std::uint64_t number = ++last_request_number_;
    begin_attempts_[number] = command.begin.attempt;
    SendRequest({number, command.begin});
  }
  void Execute(const ProposeFinish& command) {
    SendRequest({0, command.finish});
  }

  void SendRequest(const ControlRequest& request) {
    if (simulation_.now < partitioned_until_)
      return;
    FakeControlGroup& group = simulation_.group;
    const std::size_t node = simulation_.random.Chance(0.7)
                                 ? group.leader
                                 : simulation_.random.Below(group.nodes.size());
    simulation_.Send([this, node, request, peer = peer()] {
      if (simulation_.group.nodes[node]->alive)
        simulation_.group.nodes[node]->service->OnRequest(peer, request,
                                                          simulation_.now);
    });
  }

  void Execute(const SendCall& command) {
    const RequestId id = command.id;
    const std::string key = attempts_[id].key;
    const double draw = simulation_.random.Unit();
    if (draw < 0.15) {
      // Some of these calls waited in a queue for longer than the call's
      // timeout.
      DeliverLater(
          [this, id] { coordinator_->OnCallNotSent(id, simulation_.now); },
          std::chrono::milliseconds(draw < 0.05 ? 900 : 0));
      return;
    }
    if (draw < 0.2) {
      DeliverLater(
          [this, id] { coordinator_->OnCallFailed(id, simulation_.now); });
      return;
    }
    // The request has been sent, so the call runs even if this host restarts.
    simulation_.events.Schedule(
        simulation_.now + simulation_.Delay(), [this, id, key] {
          simulation_.oracle.runs[key].push_back({id, simulation_.now});
        });
    if (draw < 0.3) {
      DeliverLater(
          [this, id] { coordinator_->OnCallFailed(id, simulation_.now); });
      return;
    }
    const Duration work = draw < 0.5 ? std::chrono::milliseconds(900)
                                     : std::chrono::milliseconds(50);
    const auto answer = [this, id, key] {
      coordinator_->OnCallAnswered(id, {201, "text/plain", key, true},
                                   simulation_.now);
    };
    DeliverLater(answer, work);
    if (draw < 0.4)
      DeliverLater(answer, 2 * work);
  }

  /// Delivers `event` after the network delay of an answer and `wait`.
  void DeliverLater(const std::function<void()>& event, Duration wait = {}) {
    const Duration network_delay = std::chrono::milliseconds(41);
    const std::uint64_t incarnation = incarnation_;
    simulation_.events.Schedule(simulation_.now + network_delay + wait,
                                [this, event, incarnation] {
                                  if (incarnation == incarnation_)
                                    Deliver(event);
                                });
  }

  void Execute(const AnswerCaller& command) {
    const CallerAttempt attempt = attempts_[command.id];
    TestOracle& oracle = simulation_.oracle;
    ++oracle.verdicts[command.verdict];
    oracle.Require(++oracle.answers[command.id] == 1, "attempt answered twice");
    const auto& runs = oracle.runs[attempt.key];
    if (command.verdict == CallVerdict::kRan) {
      oracle.Require(runs.size() == 1 && command.answer.body == attempt.key,
                     "answer is not that of the only run");
    }
    if (command.verdict == CallVerdict::kNotRun) {
      oracle.Require(runs.empty() || runs[0].at >= attempt.started,
                     "reported as not run after it had run");
    }
    if (command.verdict == CallVerdict::kNotRun ||
        command.verdict == CallVerdict::kAttemptNotRun) {
      oracle.reported_not_run.insert(command.id);
    }
    if (attempt.on_answer && !simulation_.random.Chance(0.05))
      attempt.on_answer(command);
  }

  Simulation& simulation_;
  std::size_t index_;
  std::uint64_t incarnation_ = 1;
  std::uint64_t sequence_ = 0;
  std::uint64_t last_request_number_ = 0;
  TimePoint frozen_until_;
  TimePoint partitioned_until_;
  std::unique_ptr<ClaimCoordinator> coordinator_;
  ListsInForce lists_;
  std::map<RequestId, CallerAttempt> attempts_;
  /// Attempts that were sent to a control process, by request number.
  std::map<std::uint64_t, AttemptToken> begin_attempts_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_STATE_FAKE_ENTRY_HOST_H_
