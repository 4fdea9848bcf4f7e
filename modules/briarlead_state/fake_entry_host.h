#ifndef BRIARLEAD_STATE_FAKE_ENTRY_HOST_H_
#define BRIARLEAD_STATE_FAKE_ENTRY_HOST_H_

// For tests only: what is true in a run with faults, and entry hosts with the
// real ClaimCoordinator over a lossy network.

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

/// Things that happen later, in order of time.
class FakeSchedule {
 public:
  void At(TimePoint time, std::function<void()> action) {
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

/// What really happened, against which every answer is held.
struct FakeTruth {
  struct Run {
    RequestId attempt;
    TimePoint at;
  };
  std::map<std::string, std::vector<Run>> runs;  ///< By idempotency key.
  std::set<RequestId> told_not_run;
  std::map<RequestId, int> answers;
  std::map<CallVerdict, int> verdicts;
  std::vector<std::string> faults;

  void Require(bool holds, const std::string& what) {
    if (!holds)
      faults.push_back(what);
  }
};

/// One attempt of a caller at one host.
struct FakeAttempt {
  std::string key;
  TimePoint started;
  std::function<void(const AnswerCaller&)> on_answer;
};

/// Everything that the hosts of one run share.
struct FakeWorld {
  explicit FakeWorld(std::uint64_t seed) : random(seed), group(random, 3) {}

  /// Runs `action` after a network delay, perhaps never or twice.
  void Send(const std::function<void()>& action) {
    if (faults && random.Chance(0.08))
      return;
    schedule.At(now + Delay(), action);
    if (faults && random.Chance(0.05))
      schedule.At(now + 20 * Delay(), action);
  }
  Duration Delay() {
    return random.Between(std::chrono::milliseconds(1),
                          std::chrono::milliseconds(40));
  }

  RandomSource random;
  FakeSchedule schedule;
  FakeControlGroup group;
  FakeTruth truth;
  TimePoint now;
  bool faults = true;
};

/// An entry host: its keeper, its connections and its deaths.
class FakeEntryHost {
 public:
  FakeEntryHost(FakeWorld& world, std::size_t index)
      : world_(world), index_(index) {
    Start();
  }

  /// The process dies and starts anew; its callers get no answer.
  void Restart() {
    ++incarnation_;
    Start();
  }

  /// Stands still until `until`, then goes on as if nothing had happened.
  void Freeze(TimePoint until) { frozen_until_ = until; }
  /// Reaches no control process until `until`.
  void Cut(TimePoint until) { cut_until_ = until; }

  [[nodiscard]] HostId id() const {
    return HostId("e" + std::to_string(index_));
  }
  [[nodiscard]] std::uint64_t incarnation() const { return incarnation_; }
  [[nodiscard]] const ListsInForce& lists() const { return lists_; }
  [[nodiscard]] std::size_t calls_kept() const { return keeper_->size(); }
  [[nodiscard]] PeerId peer() const { return index_ * 1000 + incarnation_; }

  void Call(const FakeAttempt& attempt) {
    Deliver([this, attempt] {
      const RequestId id{this->id(), incarnation_, ++sequence_};
      attempts_[id] = attempt;
      keeper_->Start({id, ClaimKey{CustomerId("coop"), attempt.key},
                      ContentDigest{1, 1}, std::chrono::milliseconds(600)},
                     world_.now);
    });
  }

  void OnControlAnswer(const ControlAnswer& answer) {
    Deliver([this, answer] {
      if (const auto* begin = std::get_if<BeginResult>(&answer.body)) {
        keeper_->OnBeginResult(*begin, world_.now);
      } else if (const auto* end = std::get_if<FinishResult>(&answer.body)) {
        keeper_->OnFinishResult(*end);
      } else if (const auto* lists = std::get_if<ListsInForce>(&answer.body)) {
        if (lists->revision > lists_.revision)
          lists_ = *lists;
      } else if (const auto it = questions_.find(answer.number);
                 it != questions_.end()) {
        keeper_->OnControlUnavailable(it->second, world_.now);
      }
    });
  }

  void Tick() {
    if (world_.now < frozen_until_)
      return;
    keeper_->Tick(world_.now);
    Drain();
    if (world_.random.Chance(0.03))
      Ask({0, ListsHeartbeat{id(), DataCentreId("dc"), incarnation_,
                             lists_.revision}});
  }

 private:
  void Start() {
    keeper_ = std::make_unique<ClaimCoordinator>(ClaimCoordinatorLimits{
        .begin_window = std::chrono::milliseconds(500),
        .proposal_retry_interval = std::chrono::milliseconds(120),
        .late_window = std::chrono::seconds(3),
        .finish_window = std::chrono::seconds(5)});
    lists_ = {};

    attempts_.clear();
  }

  /// Runs `event` on this incarnation, after a freeze if there is one.
  void Deliver(const std::function<void()>& event) {
    const std::uint64_t incarnation = incarnation_;
    const auto run = [this, event, incarnation] {
      if (incarnation != incarnation_)
        return;
      event();
      Drain();
    };
    if (world_.now < frozen_until_) {
      world_.schedule.At(frozen_until_, run);
    } else {
      run();
    }
  }

  void Drain() {
    for (const ClaimCommand& it : keeper_->TakeCommands()) {
      const std::uint64_t incarnation = incarnation_;
      // Death between any two steps.
      if (world_.faults && world_.random.Chance(0.004)) {
        Restart();
        return;
      }
      std::visit([this](const auto& command) { Do(command); }, it);
      if (incarnation != incarnation_)
        return;
    }
  }

  void Do(const ProposeBegin& command) {
    const std::uint64_t number = ++last_question_;
    questions_[number] = command.begin.attempt;
    Ask({number, command.begin});
  }
  void Do(const ProposeFinish& command) { Ask({0, command.finish}); }

  void Ask(const ControlRequest& request) {
    if (world_.now < cut_until_)
      return;
    FakeControlGroup& group = world_.group;
    const std::size_t node = world_.random.Chance(0.7)
                                 ? group.leader
                                 : world_.random.Below(group.nodes.size());
    world_.Send([this, node, request, peer = peer()] {
      if (world_.group.nodes[node]->alive)
        world_.group.nodes[node]->service->OnRequest(peer, request, world_.now);
    });
  }

  void Do(const SendCall& command) {
    const RequestId id = command.id;
    const std::string key = attempts_[id].key;
    const double fate = world_.random.Unit();
    if (fate < 0.15) {
      // Some of them waited in a queue for longer than the call's timeout.
      Later([this, id] { keeper_->OnCallNotSent(id, world_.now); },
            std::chrono::milliseconds(fate < 0.05 ? 900 : 0));
      return;
    }
    if (fate < 0.2) {
      Later([this, id] { keeper_->OnCallFailed(id, world_.now); });
      return;
    }
    // From here the bytes have left: the host's death changes nothing.
    world_.schedule.At(world_.now + world_.Delay(), [this, id, key] {
      world_.truth.runs[key].push_back({id, world_.now});
    });
    if (fate < 0.3) {
      Later([this, id] { keeper_->OnCallFailed(id, world_.now); });
      return;
    }
    const Duration work = fate < 0.5 ? std::chrono::milliseconds(900)
                                     : std::chrono::milliseconds(50);
    const auto answer = [this, id, key] {
      keeper_->OnCallAnswered(id, {201, "text/plain", key, true}, world_.now);
    };
    Later(answer, work);
    if (fate < 0.4)
      Later(answer, 2 * work);
  }

  void Later(const std::function<void()>& event, Duration wait = {}) {
    const Duration back = std::chrono::milliseconds(41);
    const std::uint64_t incarnation = incarnation_;
    world_.schedule.At(world_.now + back + wait, [this, event, incarnation] {
      if (incarnation == incarnation_)
        Deliver(event);
    });
  }

  void Do(const AnswerCaller& command) {
    const FakeAttempt attempt = attempts_[command.id];
    FakeTruth& truth = world_.truth;
    ++truth.verdicts[command.verdict];
    truth.Require(++truth.answers[command.id] == 1, "two answers");
    const auto& runs = truth.runs[attempt.key];
    if (command.verdict == CallVerdict::kRan) {
      truth.Require(runs.size() == 1 && command.answer.body == attempt.key,
                    "answer of another run");
    }
    if (command.verdict == CallVerdict::kNotRun) {
      truth.Require(runs.empty() || runs[0].at >= attempt.started,
                    "told not run, but it had run");
    }
    if (command.verdict == CallVerdict::kNotRun ||
        command.verdict == CallVerdict::kAttemptNotRun) {
      truth.told_not_run.insert(command.id);
    }
    if (attempt.on_answer && !world_.random.Chance(0.05))
      attempt.on_answer(command);
  }

  FakeWorld& world_;
  std::size_t index_;
  std::uint64_t incarnation_ = 1;
  std::uint64_t sequence_ = 0;
  std::uint64_t last_question_ = 0;
  TimePoint frozen_until_;
  TimePoint cut_until_;
  std::unique_ptr<ClaimCoordinator> keeper_;
  ListsInForce lists_;
  std::map<RequestId, FakeAttempt> attempts_;
  std::map<std::uint64_t, AttemptToken> questions_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_STATE_FAKE_ENTRY_HOST_H_
