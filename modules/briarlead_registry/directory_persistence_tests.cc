#include "briarlead_registry/directory_persistence.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "briarlead_registry/persistence_group_for_tests.h"

// Included last, since it redefines operator new.
#include <CppUTest/TestHarness.h>

namespace briarlead {

namespace {

constexpr std::uint64_t kSeeds = 60;

/// A group of so many control hosts, and how many disks it can lose at once.
struct GroupSize {
  std::size_t hosts = 0;
  std::size_t lost = 0;
};
constexpr GroupSize kSizes[] = {{3, 1}, {4, 1}, {5, 2}};

}  // namespace

TEST_GROUP(DirectoryPersistence) {
  ServerDirectory directory_;
  DirectoryPersistence persistence_{directory_, HostId("10.0.0.1")};
  TimePoint now_{std::chrono::seconds(100)};
  std::map<CallerRequestId, bool> answers_;
  std::vector<HostId> asked_;
  std::vector<PersistLeavingReply> replies_;
  bool disk_is_full_ = false;

  void setup() override {
    persistence_.SetQuorum(DiskQuorum::MajorityOf(
        {HostId("10.0.0.1"), HostId("10.0.0.2"), HostId("10.0.0.3")}, 3));
  }

  static ServerRecord Record(std::uint64_t born_ms, ServerState state) {
    ServerRecord it;
    it.id = BackendServerId("server");
    it.service = ServiceId("desk");
    it.address = {"10.1.0.1", 80};
    it.born_ms = born_ms;
    it.state = state;
    return it;
  }
  static SavedServerState Saved(std::uint64_t born_ms, ServerState state) {
    return {{BackendServerId("server"), born_ms}, state};
  }
  void Leave(std::uint64_t call) {
    directory_.Merge(Record(5, ServerState::kLeaving), now_);
    persistence_.ConfirmLeaving({1, call}, BackendServerId("server"), now_);
    CarryOutAll();
  }
  void CarryOutAll() {
    persistence_.Tick(now_);
    for (auto commands = persistence_.TakeCommands(); !commands.empty();
         commands = persistence_.TakeCommands()) {
      for (const PersistenceCommand& it : commands)
        CarryOut(it);
    }
  }
  void CarryOut(const PersistenceCommand& command) {
    if (std::holds_alternative<SaveDirectory>(command)) {
      persistence_.OnSaved(!disk_is_full_, directory_.revision(), now_);
      persistence_.Tick(now_);
    } else if (const auto* request =
                   std::get_if<SendPersistRequest>(&command)) {
      asked_.push_back(request->host);
    } else if (const auto* reply = std::get_if<SendPersistReply>(&command)) {
      replies_.push_back(reply->reply);
    } else if (const auto* answer = std::get_if<AnswerLeaving>(&command)) {
      answers_[answer->call] = answer->confirmed;
    }
  }
  void Reply(const std::string& host, const SavedServerState& saved) {
    persistence_.OnReply(HostId(host), {{saved}});
    CarryOutAll();
  }
};

// Guards against a leaving that is confirmed on one disk only and lost with it
// (DRAIN).
TEST(DirectoryPersistence, LeavingIsConfirmedOnceAMajorityHasItOnDisk) {
  Leave(1);
  CHECK_EQUAL(2U, asked_.size());
  CHECK(answers_.empty());
  Reply("10.0.0.3", Saved(5, ServerState::kLeaving));
  CHECK_TRUE(answers_.at({1, 1}));
}

// Guards against copies of another state or start that are counted as copies of
// the leaving.
TEST(DirectoryPersistence, CopyOfAnEarlierStartOrStateDoesNotCount) {
  Leave(1);
  Reply("10.0.0.2", Saved(4, ServerState::kGone));
  Reply("10.0.0.2", Saved(5, ServerState::kReady));
  Reply("10.0.0.9", Saved(5, ServerState::kGone));
  CHECK(answers_.empty());
  Reply("10.0.0.2", Saved(6, ServerState::kReady));
  CHECK_TRUE(answers_.at({1, 1}));
}

// Guards against a server that has no answer in time and goes on to no other
// control host.
TEST(DirectoryPersistence, CallWithoutEnoughCopiesIsRefusedInTime) {
  Leave(1);
  now_ += DirectoryPersistence::kRepeatInterval;
  CarryOutAll();
  CHECK_EQUAL(4U, asked_.size());
  now_ += DirectoryPersistence::kConfirmTimeout;
  CarryOutAll();
  CHECK_FALSE(answers_.at({1, 1}));
  // Another call is confirmed by the copies that there are then.
  Leave(2);
  Reply("10.0.0.2", Saved(5, ServerState::kLeaving));
  CHECK_TRUE(answers_.at({1, 2}));
}

// Guards against confirmations that one full disk prevents.
TEST(DirectoryPersistence, FullDiskHereDoesNotPreventAConfirmation) {
  disk_is_full_ = true;
  Leave(1);
  Reply("10.0.0.2", Saved(5, ServerState::kLeaving));
  CHECK(answers_.empty());
  Reply("10.0.0.3", Saved(5, ServerState::kLeaving));
  CHECK_TRUE(answers_.at({1, 1}));
}

// Guards against a confirmation of a leaving that nothing is known of: a host
// with a new disk has no record of the server.
TEST(DirectoryPersistence, UnknownServerIsNotConfirmed) {
  persistence_.ConfirmLeaving({1, 1}, BackendServerId("other"), now_);
  CarryOutAll();
  CHECK_FALSE(answers_.at({1, 1}));
}

// Guards against calls that wait while the group is still forming.
TEST(DirectoryPersistence, TooFewVotersConfirmNothing) {
  persistence_.SetQuorum(DiskQuorum::MajorityOf({HostId("10.0.0.1")}, 3));
  Leave(1);
  CHECK_FALSE(answers_.at({1, 1}));
}

// Guards against replies for what is in memory only.
TEST(DirectoryPersistence, ReplyFollowsOnceTheServersAreSaved) {
  disk_is_full_ = true;
  const Endpoint peer{"10.0.0.2", 7000};
  const PersistLeavingRequest request{{{Record(5, ServerState::kGone)}}};
  persistence_.OnRequest(peer, request, now_);
  CarryOutAll();
  CHECK(replies_.empty());
  disk_is_full_ = false;
  now_ += DirectoryPersistence::kRepeatInterval;
  persistence_.OnRequest(peer, request, now_);
  CarryOutAll();
  CHECK_EQUAL(1U, replies_.size());
  CHECK(replies_[0].servers.at(0) == Saved(5, ServerState::kGone));
}

// Guards against a call that names no start and is confirmed by a host which
// doesn't know of the newest start (DRAIN).
TEST(DirectoryPersistence, UnnamedLeavingEndsTheLaterStartThatAVoterKnows) {
  directory_.Merge(Record(7, ServerState::kReady), now_);
  const Endpoint peer{"10.0.0.2", 7000};
  const auto changed = persistence_.OnRequest(
      peer, {{{Record(5, ServerState::kGone), 8}}}, now_);
  CarryOutAll();
  CHECK_EQUAL(1U, changed.size());
  CHECK(replies_.at(0).servers.at(0) == Saved(7, ServerState::kGone));
}

// Guards against a voter's copy of a start that is ready and began before the
// call.
TEST(DirectoryPersistence, ReadyStartFromBeforeAnUnnamedCallDoesNotCount) {
  directory_.Merge(Record(5, ServerState::kReady), now_);
  directory_.MarkLeftBy(BackendServerId("server"), 8, now_);
  persistence_.ConfirmLeaving({1, 1}, BackendServerId("server"), now_);
  CarryOutAll();
  Reply("10.0.0.2", Saved(7, ServerState::kReady));
  CHECK(answers_.empty());
  Reply("10.0.0.3", Saved(9, ServerState::kReady));
  CHECK_TRUE(answers_.at({1, 1}));
}

// Guards against a confirmed leaving that a loss which the group bears takes
// back, wherever between push, save and answer it comes.
TEST(DirectoryPersistence, ConfirmedLeavingOutlastsEveryLossThatIsBorne) {
  for (const GroupSize& size : kSizes) {
    std::size_t confirmed = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      PersistenceGroup group(size.hosts, size.lost, seed);
      group.Run(std::chrono::seconds(20));
      STRCMP_EQUAL("", group.violation().c_str());
      confirmed += group.confirmed();
    }
    CHECK(confirmed > kSeeds * 10);
  }
}

// Guards against a model that doesn't see the fault: confirmed on one disk, the
// same leavings are lost.
TEST(DirectoryPersistence, LeavingThatIsConfirmedOnOneDiskIsLost) {
  for (const GroupSize& size : kSizes) {
    std::size_t violations = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      PersistenceGroup group(size.hosts, size.lost, seed);
      group.ConfirmOnOneDisk();
      group.Run(std::chrono::seconds(20));
      violations += group.violation().empty() ? 0 : 1;
    }
    CHECK(violations > 0);
  }
}

}  // namespace briarlead
