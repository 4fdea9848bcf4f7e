#include "briarlead_entry/lists_follower.h"

#include <CppUTest/TestHarness.h>

#include <string>

namespace briarlead {

TEST_GROUP(ListsFollower) {
  TimePoint start_{std::chrono::seconds(10)};
  ListsFollower follower_{start_};

  ListsInForce Texts(std::uint64_t revision) {
    ListsInForce texts;
    texts.revision = revision;
    texts.customers = R"({"customers":[]})";
    texts.plans = R"({"plans":[]})";
    return texts;
  }
};

TEST(ListsFollower, NeverGoesBack) {
  CHECK_TRUE(follower_.OnLists(Texts(5)));
  CHECK_FALSE(follower_.OnLists(Texts(4)));
  CHECK_FALSE(follower_.OnLists(Texts(5)));
  LONGS_EQUAL(5, follower_.revision());
  CHECK_TRUE(follower_.OnLists(Texts(6)));
  LONGS_EQUAL(6, follower_.lists().revision());
}

TEST(ListsFollower, AStartedHostWaitsForTheLeaderOrItsPeers) {
  CHECK_FALSE(follower_.Ready(start_ + std::chrono::hours(1)));
  follower_.OnLists(Texts(5));
  CHECK_FALSE(follower_.Ready(start_));
  follower_.OnLeaderRevision(6);
  CHECK_FALSE(follower_.Ready(start_));
  follower_.OnLists(Texts(6));
  follower_.OnLeaderRevision(6);
  CHECK_TRUE(follower_.Ready(start_));
}

TEST(ListsFollower, WithoutALeaderItServesOnWhatPeersGaveIt) {
  follower_.OnLists(Texts(5));
  CHECK_FALSE(follower_.Ready(start_ + std::chrono::milliseconds(1999)));
  CHECK_TRUE(follower_.Ready(start_ + ListsFollower::kPeerWait));
}

TEST(ListsFollower, ListsThatCannotBeReadChangeNothing) {
  follower_.OnLists(Texts(5));
  ListsInForce bad = Texts(6);
  bad.plans = "{";
  CHECK_FALSE(follower_.OnLists(bad));
  LONGS_EQUAL(5, follower_.revision());
}

}  // namespace briarlead
