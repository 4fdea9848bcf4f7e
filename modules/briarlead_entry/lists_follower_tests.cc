#include "briarlead_entry/lists_follower.h"

#include <CppUTest/TestHarness.h>

#include <string>

namespace briarlead {

TEST_GROUP(ListsFollower) {
  TimePoint start_{std::chrono::seconds(10)};
  ListsFollower follower_{start_};

  ListsInForce MakeLists(std::uint64_t revision) {
    ListsInForce lists;
    lists.revision = revision;
    lists.customers = R"({"customers":[]})";
    lists.plans = R"({"plans":[]})";
    return lists;
  }
};

TEST(ListsFollower, TheRevisionNeverDecreases) {
  CHECK_TRUE(follower_.OnLists(MakeLists(5)));
  CHECK_FALSE(follower_.OnLists(MakeLists(4)));
  CHECK_FALSE(follower_.OnLists(MakeLists(5)));
  LONGS_EQUAL(5, follower_.revision());
  CHECK_TRUE(follower_.OnLists(MakeLists(6)));
  LONGS_EQUAL(6, follower_.lists().revision());
}

TEST(ListsFollower, AfterAStartWaitsForTheLeaderToConfirm) {
  CHECK_FALSE(follower_.Ready(start_ + std::chrono::hours(1)));
  follower_.OnLists(MakeLists(5));
  CHECK_FALSE(follower_.Ready(start_));
  follower_.OnLeaderRevision(6);
  CHECK_FALSE(follower_.Ready(start_));
  follower_.OnLists(MakeLists(6));
  follower_.OnLeaderRevision(6);
  CHECK_TRUE(follower_.Ready(start_));
}

TEST(ListsFollower, WithoutALeaderServesTheListsOfPeersAfterAWait) {
  follower_.OnLists(MakeLists(5));
  CHECK_FALSE(follower_.Ready(start_ + std::chrono::milliseconds(1999)));
  CHECK_TRUE(follower_.Ready(start_ + ListsFollower::kPeerWait));
}

TEST(ListsFollower, ListsThatCannotBeParsedAreIgnored) {
  follower_.OnLists(MakeLists(5));
  ListsInForce invalid = MakeLists(6);
  invalid.plans = "{";
  CHECK_FALSE(follower_.OnLists(invalid));
  LONGS_EQUAL(5, follower_.revision());
}

}  // namespace briarlead
