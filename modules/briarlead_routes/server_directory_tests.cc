#include "briarlead_routes/server_directory.h"

#include <CppUTest/TestHarness.h>

namespace briarlead {

TEST_GROUP(ServerDirectory) {
  ServerDirectory directory_;
  TimePoint now_{std::chrono::seconds(1000)};

  static ServerRecord Record(const char* id, std::uint64_t born,
                             std::uint64_t sequence) {
    ServerRecord record;
    record.id = BackendServerId(id);
    record.service = ServiceId("desk");
    record.address = {std::string("10.0.0.") + id, 80};
    record.data_centre = DataCentreId("dc");
    record.born_ms = born;
    record.sequence = sequence;
    return record;
  }
  ServerState StateOf(const char* id) {
    return directory_.Find(BackendServerId(id))->record.state;
  }
};

TEST(ServerDirectory, ChangeOfOnlyTheSequenceIsNoChange) {
  CHECK(directory_.Merge(Record("1", 5, 1), now_));
  CHECK_FALSE(directory_.Merge(Record("1", 5, 2), now_));
  CHECK_EQUAL(1U, directory_.revision());
}

TEST(ServerDirectory, StartInTheFutureIsToldFromClocksThatDiffer) {
  const std::uint64_t now_ms = 1'780'000'000'000;
  CHECK_FALSE(StartsInTheFuture(Record("1", now_ms + 5'000, 1), now_ms));
  CHECK_TRUE(StartsInTheFuture(Record("1", now_ms + 7'200'000, 1), now_ms));
  CHECK_TRUE(StartsInTheFuture(Record("1", ~std::uint64_t{0}, 1), now_ms));
}

TEST(ServerDirectory, LeavingServerNeverBecomesReadyAgain) {
  ServerRecord leaving = Record("1", 5, 7);
  leaving.state = ServerState::kLeaving;
  directory_.Merge(Record("1", 5, 6), now_);
  CHECK(directory_.Merge(leaving, now_));
  CHECK_FALSE(directory_.Merge(Record("1", 5, 6), now_));
  CHECK_FALSE(directory_.Merge(Record("1", 5, 8), now_));
  CHECK(StateOf("1") == ServerState::kLeaving);
}

TEST(ServerDirectory, EarlierIncarnationIsIgnored) {
  directory_.Merge(Record("1", 5, 1), now_);
  ServerRecord earlier = Record("1", 4, 99);
  earlier.state = ServerState::kLeaving;
  CHECK_FALSE(directory_.Merge(earlier, now_));
  CHECK(StateOf("1") == ServerState::kReady);
}

TEST(ServerDirectory, NewIncarnationIsReadyAgain) {
  directory_.Merge(Record("1", 5, 9), now_);
  CHECK(directory_.MarkLeftBy(BackendServerId("1"), 5, now_));
  CHECK(directory_.Merge(Record("1", 6, 1), now_));
  CHECK(StateOf("1") == ServerState::kReady);
}

// Guards against a server that left without naming its start, before its first
// announcement arrived, and gets requests (DRAIN).
TEST(ServerDirectory, StartThatLeftUnnamedBeforeItWasKnownStaysGone) {
  directory_.Merge(Record("1", 5, 9), now_);
  CHECK(directory_.MarkLeftBy(BackendServerId("1"), 8, now_));
  CHECK_FALSE(directory_.MarkLeftBy(BackendServerId("1"), 8, now_));
  directory_.Merge(Record("1", 7, 1), now_);
  CHECK(StateOf("1") == ServerState::kGone);
  directory_.Merge(Record("1", 9, 1), now_);
  CHECK(StateOf("1") == ServerState::kReady);
  // A call that went before that start.
  CHECK_FALSE(directory_.MarkLeftBy(BackendServerId("1"), 8, now_));
  CHECK(StateOf("1") == ServerState::kReady);
}

// Guards against a host with a new disk that knows nothing of a server which
// left and then takes its late announcement.
TEST(ServerDirectory, UnknownServerThatLeftUnnamedStaysGone) {
  CHECK(directory_.MarkLeftBy(BackendServerId("1"), 8, now_));
  directory_.Merge(Record("1", 7, 1), now_);
  CHECK(StateOf("1") == ServerState::kGone);
}

TEST(ServerDirectory, DeregistrationOfAnEarlierIncarnationIsIgnored) {
  directory_.Merge(Record("1", 6, 1), now_);
  CHECK_FALSE(directory_.MarkGone(BackendServerId("1"), 5, now_));
  CHECK(StateOf("1") == ServerState::kReady);
}

// Guards against a server that left before its first announcement arrived and
// gets requests (DRAIN).
TEST(ServerDirectory, StartThatLeftBeforeItWasKnownStaysGone) {
  CHECK(directory_.MarkGone(BackendServerId("1"), 5, now_));
  directory_.Merge(Record("1", 5, 1), now_);
  CHECK(StateOf("1") == ServerState::kGone);
  CHECK(directory_.MarkGone(BackendServerId("1"), 7, now_));
  directory_.Merge(Record("1", 7, 1), now_);
  CHECK(StateOf("1") == ServerState::kGone);
  directory_.Merge(Record("1", 8, 1), now_);
  CHECK(StateOf("1") == ServerState::kReady);
}

// Guards against a sound server that is taken for gone for good, since the one
// that had its address before started elsewhere and left before it was heard.
TEST(ServerDirectory, StartThatLeftBeforeItWasKnownRetiresNobody) {
  ServerRecord second = Record("2", 6, 1);
  second.address = Record("1", 5, 1).address;
  directory_.Merge(Record("1", 5, 1), now_);
  directory_.Merge(second, now_);
  directory_.MarkGone(BackendServerId("1"), 7, now_);
  CHECK(StateOf("1") == ServerState::kGone);
  CHECK(StateOf("2") == ServerState::kReady);
  // Its late announcement names where it ran.
  ServerRecord late = Record("1", 7, 1);
  late.address = {"10.0.0.99", 80};
  directory_.Merge(late, now_);
  CHECK(StateOf("1") == ServerState::kGone);
  CHECK(StateOf("2") == ServerState::kReady);
}

// Guards against starts that left before they were known and that count as one
// address.
TEST(ServerDirectory, StartsThatLeftBeforeTheyWereKnownStandApart) {
  directory_.MarkGone(BackendServerId("1"), 5, now_);
  directory_.MarkGone(BackendServerId("2"), 6, now_);
  CHECK(directory_.Merge(Record("1", 7, 1), now_));
  CHECK(directory_.Merge(Record("2", 7, 1), now_));
  CHECK(StateOf("1") == ServerState::kReady);
  CHECK(StateOf("2") == ServerState::kReady);
}

TEST(ServerDirectory, LaterServerAtAnAddressReplacesTheEarlier) {
  ServerRecord later = Record("2", 9, 1);
  later.address = Record("1", 5, 1).address;
  directory_.Merge(Record("1", 5, 1), now_);
  directory_.Merge(later, now_);
  CHECK(StateOf("1") == ServerState::kGone);
  CHECK(StateOf("2") == ServerState::kReady);
}

TEST(ServerDirectory, DelayedAnnouncementOfTheEarlierServerReplacesNone) {
  ServerRecord later = Record("2", 9, 1);
  later.address = Record("1", 5, 1).address;
  directory_.Merge(later, now_);
  directory_.Merge(Record("1", 5, 1), now_);
  CHECK(StateOf("2") == ServerState::kReady);
  CHECK(StateOf("1") == ServerState::kGone);
}

TEST(ServerDirectory, RecordsExpireWithoutAnnouncements) {
  directory_.Merge(Record("1", 5, 1), now_);
  directory_.Expire(now_ + ServerDirectory::kRecordLife / 2);
  CHECK_EQUAL(1U, directory_.entries().size());
  directory_.Expire(now_ + ServerDirectory::kRecordLife);
  CHECK_EQUAL(0U, directory_.entries().size());
}

// A control host names only the servers that have fallen silent.
TEST(ServerDirectory, ServersThatAreNotNamedSilentWereHeardOf) {
  directory_.Merge(Record("1", 5, 1), now_);
  directory_.Merge(Record("2", 5, 1), now_);
  const TimePoint heard = now_ + ServerDirectory::kRecordLife / 2;
  directory_.OnOthersHeard({BackendServerId("2")}, heard);
  directory_.Expire(now_ + ServerDirectory::kRecordLife);
  CHECK(directory_.Find(BackendServerId("1")) != nullptr);
  CHECK(directory_.Find(BackendServerId("2")) == nullptr);
}

TEST(ServerDirectory, TheDigestFollowsEachChange) {
  directory_.Merge(Record("1", 5, 1), now_);
  const std::uint64_t ready = directory_.Digest();
  CHECK_EQUAL(ready, directory_.Digest());
  directory_.MarkGone(BackendServerId("1"), 5, now_);
  CHECK(directory_.Digest() != ready);
}

TEST(ServerDirectory, DigestsAreEqualForTheSameRecords) {
  ServerDirectory other;
  directory_.Merge(Record("1", 5, 1), now_);
  directory_.Merge(Record("2", 5, 1), now_);
  other.Merge(Record("2", 5, 4), now_);
  CHECK(other.Digest() != directory_.Digest());
  other.Merge(Record("1", 5, 3), now_);
  CHECK(other.Digest() == directory_.Digest());
}

}  // namespace briarlead
