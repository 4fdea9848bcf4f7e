#include "briarlead_core/findings.h"

#include <CppUTest/TestHarness.h>

namespace briarlead {

TEST_GROUP(Findings){};

TEST(Findings, FormatsEveryFindingWithItsPlaceInOrder) {
  Findings findings;
  CHECK_TRUE(findings.empty());
  findings.Add("plans.json", "plans[0].weight", "must be a number");
  findings.Add("plans.json", "plans[1]", "unknown key \"colour\"");
  STRCMP_EQUAL(
      "plans.json: plans[0].weight: must be a number\n"
      "plans.json: plans[1]: unknown key \"colour\"\n",
      findings.Format().c_str());
}

TEST(Findings, FormatOmitsAnEmptyPlace) {
  Findings findings;
  findings.Add("plans.json", "", "too large");
  STRCMP_EQUAL("plans.json: too large\n", findings.Format().c_str());
}

TEST(Findings, AppendKeepsFindingsOfBoth) {
  Findings first;
  first.Add("a", "x", "one");
  Findings second;
  second.Add("b", "y", "two");
  first.Append(second);
  LONGS_EQUAL(2, first.items().size());
}

}  // namespace briarlead
