#include "briarlead_net/replay_window.h"

#include <CppUTest/TestHarness.h>

namespace briarlead {

TEST_GROUP(ReplayWindow) {
  ReplayWindow window_;
  HostId host_{"howrah-1"};
};

TEST(ReplayWindow, AcceptsEachSequenceNumberOnceInAnyOrder) {
  for (const std::uint64_t sequence : {1, 3, 2, 64, 10})
    CHECK_TRUE(window_.Admit(host_, 1, sequence));
  for (const std::uint64_t sequence : {1, 3, 2, 64, 10})
    CHECK_FALSE(window_.Admit(host_, 1, sequence));
}

TEST(ReplayWindow, RejectsSequenceNumbersBelowTheWindow) {
  CHECK_TRUE(window_.Admit(host_, 1, 100));
  CHECK_FALSE(window_.Admit(host_, 1, 36));
  CHECK_TRUE(window_.Admit(host_, 1, 37));
}

TEST(ReplayWindow, NewIncarnationResetsTheWindowAndEarlierOneIsRejected) {
  CHECK_TRUE(window_.Admit(host_, 1, 100));
  CHECK_TRUE(window_.Admit(host_, 2, 1));
  CHECK_FALSE(window_.Admit(host_, 1, 101));
}

}  // namespace briarlead
