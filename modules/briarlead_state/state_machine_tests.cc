#include "briarlead_state/state_machine.h"

#include "briarlead_core/random_source.h"

// Included last, since it redefines operator new.
#include <CppUTest/TestHarness.h>

namespace briarlead {
namespace {

BeginClaim Begin(const std::string& key, std::uint64_t sequence) {
  return {{CustomerId("coop"), key}, {1, 1}, {HostId("e"), 1, sequence}, 1000};
}

}  // namespace

TEST_GROUP(StateMachine) {
  StateMachine machine_;
  std::uint64_t index_ = 0;

  StateOutcome Apply(LeaderTime time, StateCommandBody body) {
    return machine_.Apply(++index_,
                          EncodeStateCommand({time, std::move(body)}));
  }
  /// Applies commands of several kinds, so that the state has lists, claims and
  /// orders.
  void FillState() {
    Apply({1, 0}, ApplyLists{0, "c", "p", "asha", "", 5});
    Apply({1, 5}, Begin("a", 1));
    Apply({1, 6}, Begin("b", 2));
    Apply({1, 7}, FinishClaim{Begin("a", 1).key,
                              {1, 1},
                              {HostId("e"), 1, 1},
                              RunOutcome::kRan,
                              {200, "t", "done", true}});
    Apply({1, 8}, BecomeOrderIssuer{HostId("c1"), 1});
    const EngineOrder order{OrderKind::kLoad, BackendServerId("s"),
                            ModelId("m"), "", false};
    Apply({1, 9}, IssueOrder{1, 1, order});
    Apply({1, 9}, IssueOrder{1, 2, order});
  }
};

TEST(StateMachine, ClockAddsUpOnlyDifferencesWithinATerm) {
  Apply({1, 1000}, AdvanceClock{});
  Apply({1, 1500}, AdvanceClock{});
  LONGS_EQUAL(500, machine_.now_ms());
  // The next leader's clock is a year ahead, which must not expire anything.
  Apply({2, 31'536'000'000}, AdvanceClock{});
  LONGS_EQUAL(500, machine_.now_ms());
  Apply({2, 31'536'000'040}, AdvanceClock{});
  Apply({2, 31'536'000'010}, AdvanceClock{});
  LONGS_EQUAL(540, machine_.now_ms());
}

TEST(StateMachine, EntryThatWasAppliedBeforeChangesNothing) {
  FillState();
  const std::string before = machine_.EncodeSnapshot();
  const StateOutcome outcome =
      machine_.Apply(index_, EncodeStateCommand({{1, 20}, Begin("late", 9)}));
  CHECK_TRUE(std::holds_alternative<CommandRejected>(outcome));
  CHECK_TRUE(machine_.EncodeSnapshot() == before);
}

TEST(StateMachine, UndecodableEntryOnlyAdvancesTheAppliedIndex) {
  FillState();
  const std::uint64_t revision = machine_.lists().in_force().revision;
  const StateOutcome outcome = machine_.Apply(++index_, "not a command");
  CHECK_TRUE(std::holds_alternative<CommandRejected>(outcome));
  LONGS_EQUAL(index_, machine_.applied_index());
  LONGS_EQUAL(revision, machine_.lists().in_force().revision);
}

TEST(StateMachine, RestoredReplicaBehavesTheSame) {
  FillState();
  StateMachine copy;
  CHECK_TRUE(copy.RestoreSnapshot(machine_.EncodeSnapshot()).has_value());
  const std::string command = EncodeStateCommand({{1, 50}, Begin("a", 7)});
  CHECK_TRUE(copy.Apply(index_ + 1, command) ==
             machine_.Apply(index_ + 1, command));
  CHECK_TRUE(copy.EncodeSnapshot() == machine_.EncodeSnapshot());
}

TEST(StateMachine, MutatedSnapshotIsRejectedAndChangesNothing) {
  FillState();
  const std::string good = machine_.EncodeSnapshot();
  RandomSource random(5);
  for (int i = 0; i < 5000; ++i) {
    std::string bad = good;
    bad[random.Below(bad.size())] ^= static_cast<char>(1 + random.Below(255));
    if (random.Chance(0.2))
      bad.resize(random.Below(bad.size()));
    CHECK_FALSE(machine_.RestoreSnapshot(bad).has_value());
  }
  CHECK_TRUE(machine_.EncodeSnapshot() == good);
}

TEST(StateMachine, MutatedPartsOfASnapshotAreRejectedOrDecodedExactly) {
  FillState();
  // The parts have no checksum of their own, but each validates what it
  // decodes.
  const std::string lists = machine_.lists().EncodeSnapshot();
  const std::string orders = machine_.orders().EncodeSnapshot();
  RandomSource random(6);
  for (int i = 0; i < 5000; ++i) {
    std::string bad = lists;
    bad[random.Below(bad.size())] = static_cast<char>(random.Below(256));
    ListStore store;
    if (store.RestoreSnapshot(bad))
      CHECK_TRUE(store.EncodeSnapshot() == bad);
    bad = orders;
    bad[random.Below(bad.size())] = static_cast<char>(random.Below(256));
    OrderTable table;
    if (table.RestoreSnapshot(bad))
      CHECK_TRUE(table.EncodeSnapshot() == bad);
  }
}

}  // namespace briarlead
