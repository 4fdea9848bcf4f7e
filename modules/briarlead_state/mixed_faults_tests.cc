#include <cstdio>
#include <cstdlib>
#include <deque>
#include <optional>

#include "briarlead_state/fake_entry_host.h"

// Included last, since it redefines operator new.
#include <CppUTest/TestHarness.h>

namespace briarlead {
namespace {

constexpr std::uint64_t kSeeds = 1000;
constexpr Duration kStep = std::chrono::milliseconds(10);
constexpr TimePoint kFaultsEnd(std::chrono::seconds(12));
constexpr TimePoint kEnd(std::chrono::seconds(30));
constexpr int kKeys = 24;
constexpr int kAttemptsPerKey = 6;
constexpr PeerId kFirstOperatorPeer = 1'000'000;

/// An operator who changes the plans. It resends a change whose answer was
/// lost, and now and then one that was accepted long before.
struct FakeOperator {
  PeerId peer = 0;
  std::optional<ApplyLists> current;
  TimePoint next_send;
  std::uint64_t changes = 0;
  std::vector<std::pair<ApplyLists, std::uint64_t>> accepted;
};

/// A simulation of entry hosts, control processes and operators that injects
/// faults until kFaultsEnd and checks the invariants until kEnd.
class MixedFaults {
 public:
  explicit MixedFaults(std::uint64_t seed) : simulation_(seed) {
    for (std::size_t i = 0; i < 4; ++i)
      hosts_.push_back(std::make_unique<FakeEntryHost>(simulation_, i + 1));
    for (std::size_t i = 0; i < 3; ++i)
      operators_.push_back({.peer = kFirstOperatorPeer + i});
    last_served_.resize(hosts_.size());
    simulation_.group.ChangeLeader(simulation_.now, false);
    for (int i = 0; i < kKeys; ++i) {
      const TimePoint start =
          TimePoint(simulation_.random.Between({}, std::chrono::seconds(10)));
      const std::string key = "key" + std::to_string(i);
      simulation_.events.Schedule(
          start, [this, key] { Attempt(key, kAttemptsPerKey); });
    }
  }

  const TestOracle& Run() {
    while (simulation_.now < kEnd) {
      simulation_.now += kStep;
      simulation_.inject_faults = simulation_.now < kFaultsEnd;
      if (simulation_.inject_faults) {
        InjectFaults();
      } else {
        Heal();
      }
      simulation_.events.RunUntil(simulation_.now);
      simulation_.group.Step(simulation_.now, simulation_.inject_faults);
      for (const auto& it : hosts_)
        it->Tick();
      for (FakeOperator& it : operators_)
        TickOperator(it);
      DeliverAnswers();
      CheckLists();
      CheckRouteTexts();
    }
    CheckFinalState();
    return simulation_.oracle;
  }

 private:
  /// Makes the call with idempotency key `key`, and retries it until it has run
  /// or no attempts are left.
  void Attempt(const std::string& key, int attempts_left) {
    if (attempts_left == 0)
      return;
    const auto retry = [this, key, attempts_left](Duration wait) {
      simulation_.events.Schedule(
          simulation_.now + wait,
          [this, key, attempts_left] { Attempt(key, attempts_left - 1); });
    };
    const auto done = std::make_shared<bool>(false);
    const auto on_answer = [done, retry](const AnswerCaller& answer) {
      if (std::exchange(*done, true) || answer.verdict == CallVerdict::kRan)
        return;
      retry(std::chrono::milliseconds(700));
    };
    RandomHost().Call({key, simulation_.now, on_answer});
    if (simulation_.random.Chance(0.1))
      RandomHost().Call({key, simulation_.now, {}});
    simulation_.events.Schedule(
        simulation_.now + std::chrono::milliseconds(1500), [done, retry] {
          if (!std::exchange(*done, true))
            retry({});
        });
  }

  FakeEntryHost& RandomHost() {
    return *hosts_[simulation_.random.Below(hosts_.size())];
  }
  TimePoint RandomFaultEnd() {
    return simulation_.now +
           simulation_.random.Between({}, std::chrono::seconds(2));
  }

  void InjectFaults() {
    RandomSource& random = simulation_.random;
    FakeControlGroup& group = simulation_.group;
    if (random.Chance(0.01))
      RandomHost().Freeze(RandomFaultEnd());
    if (random.Chance(0.01))
      RandomHost().Partition(RandomFaultEnd());
    if (random.Chance(0.004))
      RandomHost().Restart();
    if (random.Chance(0.01)) {
      const FakeEntryHost& host = RandomHost();
      static_cast<void>(group.nodes[group.leader]->service->Propose(
          ReportHostDead{host.id(),
                         host.incarnation() - (random.Chance(0.8) ? 1 : 0)},
          simulation_.now));
    }
    if (random.Chance(0.03))
      ProposeRoutes();
    if (random.Chance(0.012))
      group.ChangeLeader(simulation_.now, random.Chance(0.5));
    const std::size_t node = random.Below(group.nodes.size());
    if (random.Chance(0.004))
      group.Kill(node);
    if (!group.nodes[node]->alive && random.Chance(0.05))
      group.Restart(node);
    if (group.nodes[node]->alive && random.Chance(0.01))
      group.nodes[node]->snapshot = group.nodes[node]->machine.EncodeSnapshot();
    const bool is_stale_leader =
        node != group.leader && group.nodes[node]->believes_it_leads;
    if (is_stale_leader && random.Chance(0.02))
      group.Depose(node);
  }

  /// Proposes a list of routes. Some versions are skipped, proposed out of
  /// order, or proposed twice with different texts.
  void ProposeRoutes() {
    const std::uint64_t version =
        ++routes_proposed_ / 2 + simulation_.random.Below(6);
    const std::string text =
        std::to_string(version) + "/" + std::to_string(routes_proposed_);
    FakeControlGroup& group = simulation_.group;
    static_cast<void>(group.nodes[group.leader]->service->Propose(
        ReplaceRoutes{version, text}, simulation_.now));
  }

  /// Restarts ended processes and leaves a single leader.
  void Heal() {
    FakeControlGroup& group = simulation_.group;
    for (std::size_t i = 0; i < group.nodes.size(); ++i) {
      if (!group.nodes[i]->alive)
        group.Restart(i);
      if (i != group.leader && group.nodes[i]->believes_it_leads)
        group.Depose(i);
    }
    while (!group.nodes[group.leader]->believes_it_leads)
      group.ChangeLeader(simulation_.now, false);
  }

  void TickOperator(FakeOperator& sender) {
    if (simulation_.now < sender.next_send ||
        simulation_.now > kEnd - std::chrono::seconds(2))
      return;
    sender.next_send = simulation_.now + std::chrono::milliseconds(400);
    if (!sender.accepted.empty() && simulation_.random.Chance(0.2)) {
      SendChange(
          sender,
          sender.accepted[simulation_.random.Below(sender.accepted.size())]
              .first);
      return;
    }
    if (!sender.current) {
      const StateMachine& machine =
          simulation_.group.nodes[simulation_.random.Below(3)]->machine;
      const std::string plans =
          std::to_string(sender.peer) + "/" + std::to_string(++sender.changes);
      sender.current = ApplyLists{
          machine.lists().in_force().revision, std::nullopt, plans,
          std::to_string(sender.peer),         "",           1,
      };
    }
    SendChange(sender, *sender.current);
  }

  void SendChange(const FakeOperator& sender, const ApplyLists& change) {
    const std::size_t node = simulation_.group.leader;
    simulation_.Send([this, node, change, peer = sender.peer] {
      if (!simulation_.group.nodes[node]->alive)
        return;
      const std::uint64_t number = ++last_number_;
      sent_changes_[number] = change;
      simulation_.group.nodes[node]->service->OnRequest(peer, {number, change},
                                                        simulation_.now);
    });
  }

  void DeliverAnswers() {
    for (const auto& node : simulation_.group.nodes) {
      for (const SendControlAnswer& it : node->service->TakeCommands()) {
        if (!node->alive)
          continue;
        simulation_.Send([this, it] { Deliver(it); });
      }
    }
  }

  void Deliver(const SendControlAnswer& answer) {
    for (const auto& it : hosts_) {
      if (it->peer() == answer.peer)
        it->OnControlAnswer(answer.answer);
    }
    const auto* result = std::get_if<ApplyListsResult>(&answer.answer.body);
    if (answer.peer < kFirstOperatorPeer || result == nullptr)
      return;
    FakeOperator& sender = operators_[answer.peer - kFirstOperatorPeer];
    const ApplyLists& change = sent_changes_[answer.answer.number];
    if (sender.current == change)
      sender.current.reset();
    if (result->verdict == ApplyVerdict::kAccepted)
      RecordAcceptance(sender, change, result->change.revision);
    for (const auto& [accepted, revision] : sender.accepted) {
      simulation_.oracle.Require(
          accepted != change || result->verdict == ApplyVerdict::kAccepted,
          "accepted change later answered as not accepted");
    }
  }

  void RecordAcceptance(FakeOperator& sender,
                        const ApplyLists& change,
                        std::uint64_t revision) {
    const auto [acknowledged, is_new] =
        acknowledged_.emplace(revision, *change.plans);
    simulation_.oracle.Require(acknowledged->second == *change.plans,
                               "two changes accepted with the same revision");
    simulation_.oracle.Require(revision == change.base_revision + 1,
                               "change accepted with another base revision");
    if (is_new)
      sender.accepted.emplace_back(change, revision);
  }

  /// Checks that a revision has the same contents wherever it is in force, and
  /// that the revision in force on a process never decreases.
  void CheckLists() {
    for (const auto& it : simulation_.group.nodes)
      CheckRevision(it->machine.lists().in_force());
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
      const ListsInForce& lists = hosts_[i]->lists();
      CheckRevision(lists);
      auto& [incarnation, revision] = last_served_[i];
      const bool same_process = incarnation == hosts_[i]->incarnation();
      simulation_.oracle.Require(!same_process || lists.revision >= revision,
                                 "host reverted to an older revision");
      incarnation = hosts_[i]->incarnation();
      revision = lists.revision;
    }
  }

  /// Checks that each version of the routes has the same text on all replicas.
  void CheckRouteTexts() {
    for (const auto& it : simulation_.group.nodes) {
      const RouteStore& routes = it->machine.routes();
      const auto [seen, is_new] =
          routes_seen_.emplace(routes.version(), routes.text());
      simulation_.oracle.Require(seen->second == routes.text(),
                                 "one version of the routes has two texts");
    }
  }

  /// Checks that the highest version in the log is in force, with the first
  /// text that the log holds for it.
  void CheckFinalRoutes(const StateMachine& reference) {
    ReplaceRoutes expected;
    std::size_t replacements = 0;
    for (const auto& it : simulation_.group.log) {
      const Result<StateCommand> command = DecodeStateCommand(it.payload);
      const auto* body = std::get_if<ReplaceRoutes>(&command.value().body);
      if (body == nullptr || body->version <= expected.version)
        continue;
      expected = *body;
      ++replacements;
    }
    simulation_.oracle.Require(
        reference.routes().version() == expected.version &&
            reference.routes().text() == expected.text,
        "routes in force are not the newest in the log");
    simulation_.oracle.Require(replacements > 3,
                               "too few versions of the routes for the checks");
  }

  void CheckRevision(const ListsInForce& lists) {
    const auto [it, is_new] =
        plans_by_revision_.emplace(lists.revision, lists.plans);
    simulation_.oracle.Require(it->second == lists.plans,
                               "one revision has two contents");
  }

  /// Checks the outcome after the last step, against a replay of the log.
  void CheckFinalState() {
    TestOracle& oracle = simulation_.oracle;
    for (const auto& [key, runs] : oracle.runs) {
      oracle.Require(runs.size() <= 1, "call ran twice: " + key);
      for (const TestOracle::Run& it : runs)
        oracle.Require(!oracle.reported_not_run.contains(it.attempt),
                       "attempt reported as not run did run: " + key);
    }
    StateMachine reference;
    std::map<std::uint64_t, std::string> replayed;
    for (std::size_t i = 0; i < simulation_.group.log.size(); ++i) {
      reference.Apply(i + 1, simulation_.group.log[i].payload);
      const ListsInForce& lists = reference.lists().in_force();
      replayed.emplace(lists.revision, lists.plans);
    }
    CheckFinalRoutes(reference);
    for (const auto& [revision, plans] : acknowledged_)
      oracle.Require(replayed[revision] == plans, "accepted change lost");
    for (const auto& it : simulation_.group.nodes) {
      oracle.Require(it->machine.EncodeSnapshot() == reference.EncodeSnapshot(),
                     "replicas differ");
    }
    for (const auto& it : hosts_) {
      oracle.Require(it->lists() == reference.lists().in_force(),
                     "host lacks the newest lists");
      oracle.Require(it->open_calls() == 0,
                     "claim coordinator still holds an ended call");
    }
    oracle.Require(simulation_.group.restored_exactly,
                   "restored snapshot differs");
    oracle.Require(acknowledged_.size() > 5,
                   "too few accepted changes for the checks");
  }

  Simulation simulation_;
  std::vector<std::unique_ptr<FakeEntryHost>> hosts_;
  std::vector<FakeOperator> operators_;
  std::uint64_t last_number_ = 0;
  std::map<std::uint64_t, ApplyLists> sent_changes_;
  std::map<std::uint64_t, std::string> acknowledged_;
  std::map<std::uint64_t, std::string> plans_by_revision_;
  std::uint64_t routes_proposed_ = 0;
  std::map<std::uint64_t, std::string> routes_seen_;
  /// Incarnation and lists revision of each entry host, as of the last step.
  std::vector<std::pair<std::uint64_t, std::uint64_t>> last_served_;
};

}  // namespace

TEST_GROUP(MixedFaults){};

/// Runs kSeeds simulations; with BRIARLEAD_FAULT_SEED=N only that of seed N.
TEST(MixedFaults, AllGuaranteesHold) {
  const char* only_seed = std::getenv("BRIARLEAD_FAULT_SEED");
  const std::uint64_t first =
      only_seed ? std::strtoull(only_seed, nullptr, 10) : 0;
  const std::uint64_t last = only_seed ? first + 1 : kSeeds;
  std::map<CallVerdict, int> verdicts;
  std::uint64_t failed = 0;
  for (std::uint64_t seed = first; seed < last; ++seed) {
    MixedFaults run(seed);
    const TestOracle& oracle = run.Run();
    for (const auto& [verdict, count] : oracle.verdicts)
      verdicts[verdict] += count;
    if (oracle.violations.empty())
      continue;
    ++failed;
    for (const std::string& it : oracle.violations)
      std::printf("seed %lu: %s\n", seed, it.c_str());
    std::printf(
        "replay: BRIARLEAD_FAULT_SEED=%lu briarlead_state_tests -g "
        "MixedFaults\n",
        seed);
  }
  for (const auto& [verdict, count] : verdicts)
    std::printf("%s %d\n", std::string(ToString(verdict)).c_str(), count);
  LONGS_EQUAL(0, failed);
  if (only_seed == nullptr) {
    // Every verdict must have occurred often enough for the run to be
    // meaningful.
    for (const CallVerdict it :
         {CallVerdict::kRan, CallVerdict::kUnknown, CallVerdict::kStillRunning,
          CallVerdict::kNotRun, CallVerdict::kAttemptNotRun})
      CHECK_TRUE(verdicts[it] > 500);
  }
}

}  // namespace briarlead
