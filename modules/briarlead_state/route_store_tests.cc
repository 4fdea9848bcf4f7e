#include "briarlead_state/route_store.h"

#include <CppUTest/TestHarness.h>

#include "briarlead_state/state_machine.h"

namespace briarlead {

TEST_GROUP(RouteStore) {
  RouteStore store_;
};

TEST(RouteStore, HighestVersionIsInForce) {
  CHECK((store_.Replace({3, "three"}) == ReplaceRoutesResult{3, true}));
  CHECK((store_.Replace({7, "seven"}) == ReplaceRoutesResult{7, true}));
  CHECK((store_.Replace({5, "five"}) == ReplaceRoutesResult{7, false}));
  CHECK_EQUAL(7U, store_.version());
  CHECK(store_.text() == "seven");
}

TEST(RouteStore, OtherTextUnderTheVersionInForceChangesNothing) {
  store_.Replace({3, "three"});
  CHECK((store_.Replace({3, "other"}) == ReplaceRoutesResult{3, false}));
  CHECK(store_.text() == "three");
}

TEST(RouteStore, SnapshotRestoresTheTextExactly) {
  StateMachine machine;
  StateCommand command;
  command.body = ReplaceRoutes{9, "{ \"a\":  1 }\n"};
  machine.Apply(1, EncodeStateCommand(command));
  StateMachine restored;
  CHECK(restored.RestoreSnapshot(machine.EncodeSnapshot()).has_value());
  CHECK_EQUAL(9U, restored.routes().version());
  CHECK(restored.routes().text() == machine.routes().text());
}

}  // namespace briarlead
