#include "briarlead_membership/briarlead_membership.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

namespace briarlead {

namespace {

using std::chrono::seconds;

HostEntry Entry(const char* id, HostHealth health, std::uint64_t version) {
  HostEntry entry;
  entry.id = HostId(id);
  entry.data_centre = DataCentreId("howrah");
  entry.peers = {"10.0.0.1", 7000};
  entry.incarnation = 1;
  entry.version = version;
  entry.health = health;
  return entry;
}

/// Returns whether a message among `commands` reports that `id` is dead.
bool ReportsDead(const MembershipCommands& commands, const HostId& id) {
  return std::ranges::any_of(commands, [&](const MembershipCommand& command) {
    const auto* send = std::get_if<SendGossip>(&command);
    if (send == nullptr)
      return false;
    const auto sent = DecodeGossip(send->bytes);
    const auto& hosts = sent.assume_value().hosts;
    return std::ranges::any_of(hosts, [&](const HostEntry& it) {
      return it.id == id && it.health == HostHealth::kDead;
    });
  });
}

}  // namespace

TEST_GROUP(HostMembership) {
  MembershipSettings settings_;
  HostTable table_;
  RandomSource random_{1};
  MembershipCommands commands_;
  HostMembership hosts_{settings_, Entry("self", HostHealth::kAlive, 0), table_,
                        random_, commands_};
  TimePoint now_{seconds(100)};

  HostState StateOf(const char* id) {
    return table_.Find(HostId(id))->state;
  }
};

TEST(HostMembership, AnUnknownHostReportedDeadIsNotAdded) {
  hosts_.Merge(Entry("other", HostHealth::kDead, 0), now_);
  POINTERS_EQUAL(nullptr, table_.Find(HostId("other")));
}

TEST(HostMembership, APauseOfThisProcessDoesNotExpireSuspicions) {
  hosts_.Merge(Entry("other", HostHealth::kSuspect, 0), now_);
  hosts_.Tick(now_);
  now_ += seconds(10);
  hosts_.Tick(now_);
  CHECK_TRUE(StateOf("other") == HostState::kSuspect);
  for (int i = 0; i < 30; ++i) {
    now_ += std::chrono::milliseconds(100);
    hosts_.Tick(now_);
  }
  CHECK_TRUE(StateOf("other") == HostState::kDead);
}

TEST(HostMembership, ALateReportOfDeathDoesNotOverrideARefutation) {
  hosts_.Merge(Entry("other", HostHealth::kSuspect, 0), now_);
  hosts_.Merge(Entry("other", HostHealth::kAlive, 1), now_);
  hosts_.Merge(Entry("other", HostHealth::kDead, 0), now_);
  CHECK_TRUE(StateOf("other") == HostState::kAlive);
}

TEST(HostMembership, AKnownDeadIncarnationStaysDead) {
  hosts_.Merge(Entry("other", HostHealth::kAlive, 0), now_);
  hosts_.Merge(Entry("other", HostHealth::kDead, 0), now_);
  hosts_.Merge(Entry("other", HostHealth::kAlive, 9), now_);
  CHECK_TRUE(StateOf("other") == HostState::kDead);
  HostEntry later = Entry("other", HostHealth::kAlive, 0);
  later.incarnation = 2;
  hosts_.Merge(later, now_);
  CHECK_TRUE(StateOf("other") == HostState::kAlive);
}

TEST(HostMembership, AHostDeclaredDeadRaisesItsIncarnation) {
  hosts_.Merge(Entry("self", HostHealth::kSuspect, 0), now_);
  LONGS_EQUAL(1, hosts_.self().version);
  LONGS_EQUAL(1, hosts_.self().incarnation);
  hosts_.Merge(Entry("self", HostHealth::kDead, 0), now_);
  LONGS_EQUAL(2, hosts_.self().incarnation);
  CHECK_TRUE(std::holds_alternative<OwnIncarnationChanged>(commands_.back()));
}

TEST(HostMembership, EveryAckTellsADeadHostThatItWasDeclaredDead) {
  Blackboard blackboard;
  MembershipController controller(
      settings_, Entry("self", HostHealth::kAlive, 0), 1, blackboard);
  GossipMessage message;
  message.sender = Entry("other", HostHealth::kAlive, 0);
  message.hosts = {Entry("other", HostHealth::kDead, 0),
                   Entry("third", HostHealth::kAlive, 0)};
  CHECK_TRUE(controller.OnGossip(EncodeGossip(message), now_).has_value());
  controller.TakeCommands();
  message.kind = GossipKind::kPing;
  message.hosts.clear();
  // 20 is more than the number of times that an update is sent otherwise.
  for (int i = 0; i < 20; ++i) {
    CHECK_TRUE(controller.OnGossip(EncodeGossip(message), now_).has_value());
    CHECK_TRUE(ReportsDead(controller.TakeCommands(), HostId("other")));
  }
}

}  // namespace briarlead
