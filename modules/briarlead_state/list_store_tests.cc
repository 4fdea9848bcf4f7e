#include "briarlead_state/list_store.h"

#include <CppUTest/TestHarness.h>

namespace briarlead {
namespace {

ApplyLists Plans(std::uint64_t base,
                 const std::string& plans,
                 const char* operator_name = "asha") {
  return {base, std::nullopt, plans, operator_name, "", 77};
}

}  // namespace

TEST_GROUP(ListStore) {
  ListStore store_;

  ApplyVerdict Verdict(const ApplyLists& change) {
    return store_.Apply(change).verdict;
  }
};

TEST(ListStore, AppliesOneListOrBothAndUpdatesTheirRevisions) {
  CHECK_TRUE(Verdict({0, "c1", "p1", "asha", "", 1}) ==
             ApplyVerdict::kAccepted);
  CHECK_TRUE(Verdict(Plans(1, "p2")) == ApplyVerdict::kAccepted);
  const ListsInForce expected{2, 1, 2, "c1", "p2"};
  CHECK_TRUE(store_.in_force() == expected);
  CHECK_TRUE(Verdict({2, std::nullopt, std::nullopt, "asha", "", 1}) ==
             ApplyVerdict::kInvalid);
}

TEST(ListStore, ConflictNamesTheAcceptedChange) {
  store_.Apply(Plans(0, "a", "asha"));
  store_.Apply(Plans(1, "b", "asha"));
  const ApplyListsResult result = store_.Apply(Plans(0, "c", "ravi"));
  CHECK_TRUE(result.verdict == ApplyVerdict::kConflict);
  const AcceptedChange accepted{1, "asha", 77};
  CHECK_TRUE(result.change == accepted);
  LONGS_EQUAL(2, result.current_revision);
  STRCMP_EQUAL("b", store_.in_force().plans.c_str());
}

TEST(ListStore, SameContentsFromTwoOperatorsAreTwoChanges) {
  store_.Apply(Plans(0, "a", "asha"));
  CHECK_TRUE(Verdict(Plans(0, "a", "ravi")) == ApplyVerdict::kConflict);
}

TEST(ListStore, ResendAfterManyChangesAndARestartGetsTheFirstAnswer) {
  const ApplyListsResult first = store_.Apply(Plans(0, "first"));
  for (std::uint64_t i = 1; i < 700; ++i)
    store_.Apply(Plans(i, std::to_string(i)));
  ListStore restarted;
  CHECK_TRUE(restarted.RestoreSnapshot(store_.EncodeSnapshot()).has_value());
  const ApplyListsResult again = restarted.Apply(Plans(0, "first"));
  CHECK_TRUE(again.verdict == ApplyVerdict::kAccepted);
  CHECK_TRUE(again.change == first.change);
  LONGS_EQUAL(700, again.current_revision);
  STRCMP_EQUAL("699", restarted.in_force().plans.c_str());
}

TEST(ListStore, ChangeThatIsNotRetainedIsNeverAppliedAgain) {
  store_ = ListStore(2);
  for (std::uint64_t i = 0; i < 3; ++i)
    store_.Apply(Plans(i, std::to_string(i)));
  LONGS_EQUAL(2, store_.retained());
  CHECK_TRUE(Verdict(Plans(0, "0")) == ApplyVerdict::kTooOld);
  CHECK_TRUE(Verdict(Plans(1, "1")) == ApplyVerdict::kAccepted);
  LONGS_EQUAL(3, store_.in_force().revision);
}

TEST(ListStore, BaseAboveTheCurrentRevisionIsAConflict) {
  CHECK_TRUE(Verdict(Plans(5, "x")) == ApplyVerdict::kConflict);
  LONGS_EQUAL(0, store_.in_force().revision);
}

}  // namespace briarlead
