#include "briarlead_state/state_machine.h"

#include <CppUTest/TestHarness.h>

namespace briarlead {

TEST_GROUP(StateMachine){};

TEST(StateMachine, AppliesAListChange) {
  StateMachine machine;
  const StateCommand command{{1, 0}, ApplyLists{0, "c", "p", "op", "", 5}};
  const StateOutcome outcome = machine.Apply(1, EncodeStateCommand(command));
  const auto* result = std::get_if<ApplyListsResult>(&outcome);
  CHECK_TRUE(result != nullptr);
  CHECK_TRUE(result->verdict == ApplyVerdict::kAccepted);
  LONGS_EQUAL(1, machine.lists().in_force().revision);
}

}  // namespace briarlead
