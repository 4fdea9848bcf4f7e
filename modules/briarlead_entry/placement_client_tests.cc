#include "briarlead_entry/placement_client.h"

#include <CppUTest/TestHarness.h>

namespace briarlead {

TEST_GROUP(PlacementClient) {
  PlacementClient client_;
  TimePoint now_{std::chrono::seconds(1)};
  ModelId model_{"summary"};
  RequestId id_{HostId("a"), 1, 1};

  void RequestOne() {
    PlacementRequest placement;
    placement.request = id_;
    placement.model = model_;
    client_.RequestPlacement(placement, now_);
  }

  void Grant(std::uint32_t attempt) {
    PlacementGrant grant;
    grant.request = id_;
    grant.attempt = attempt;
    grant.decode_server = BackendServerId("d1");
    CHECK_TRUE(client_.OnGrant(grant, std::nullopt));
  }
};

TEST(PlacementClient, ARequestWithoutAnOwnerIsReportedAtOnce) {
  RequestOne();
  LONGS_EQUAL(1, client_.TakeOwnerless().size());
  LONGS_EQUAL(0, client_.size());
}

TEST(PlacementClient, ANewOwnerGetsQueuedRequestsWithTheirWaitingTime) {
  client_.SetOwner(model_, HostId("a"), now_);
  RequestOne();
  client_.TakeMessages();
  client_.SetOwner(model_, HostId("b"), now_ + std::chrono::seconds(2));
  const auto messages = client_.TakeMessages();
  LONGS_EQUAL(1, messages.size());
  STRCMP_EQUAL("b", messages[0].owner.value().c_str());
  const auto& placement = std::get<PlacementRequest>(messages[0].message);
  CHECK_TRUE(placement.waited == std::chrono::seconds(2));
}

TEST(PlacementClient, ANewOwnerGetsRunningAttempts) {
  client_.SetOwner(model_, HostId("a"), now_);
  RequestOne();
  Grant(4);
  client_.Report(id_, FirstTokenMessage{id_, 4});
  client_.Report(id_, ProgressMessage{id_, 4, 17});
  client_.TakeMessages();
  client_.SetOwner(model_, HostId("b"), now_);
  const auto messages = client_.TakeMessages();
  const auto& sent = std::get<ReRegisterMessage>(messages.at(0).message);
  LONGS_EQUAL(4, sent.in_flight.attempt);
  LONGS_EQUAL(17, sent.in_flight.placement.delivered_tokens);
  CHECK_TRUE(sent.in_flight.stage == PlacementStage::kDecode);
  STRCMP_EQUAL("d1", sent.in_flight.decode_server.value().c_str());
}

TEST(PlacementClient, AttemptNumbersOnlyIncrease) {
  client_.SetOwner(model_, HostId("a"), now_);
  RequestOne();
  Grant(2);
  PlacementGrant stale;
  stale.request = id_;
  stale.attempt = 1;
  CHECK_FALSE(client_.OnGrant(stale, std::nullopt));
  client_.TakeMessages();
  RequestOne();
  const auto messages = client_.TakeMessages();
  LONGS_EQUAL(2,
              std::get<PlacementRequest>(messages.at(0).message).last_attempt);
}

TEST(PlacementClient, AfterALostLinkRequestsAreRegisteredAgain) {
  client_.SetOwner(model_, HostId("a"), now_);
  RequestOne();
  client_.TakeMessages();
  client_.ReRegisterWith(HostId("b"), now_);
  CHECK_TRUE(client_.TakeMessages().empty());
  client_.ReRegisterWith(HostId("a"), now_);
  LONGS_EQUAL(1, client_.TakeMessages().size());
  client_.Forget(id_);
  client_.ReRegisterWith(HostId("a"), now_);
  CHECK_TRUE(client_.TakeMessages().empty());
}

TEST(PlacementClient, ARequestSentToARemoteOwnerIsCancelledAtTheFirst) {
  const ShardOwnerAddress remote{
      DataCentreId("barasat"), HostId("r"), {"127.0.0.1", 9}};
  client_.SetOwner(model_, HostId("a"), now_);
  RequestOne();
  PlacementRequest placement = *client_.FindQueued(id_, now_);
  client_.TakeMessages();
  client_.RequestRemotePlacement(placement, remote, now_);
  const auto messages = client_.TakeMessages();
  LONGS_EQUAL(2, messages.size());
  CHECK_TRUE(std::holds_alternative<CallerGoneMessage>(messages[0].message));
  STRCMP_EQUAL("a", messages[0].owner.value().c_str());
  CHECK_TRUE(messages[1].remote == remote.peers);
}

TEST(PlacementClient, OnlyTheOwnerAskedLastMayGrant) {
  const ShardOwnerAddress remote{
      DataCentreId("barasat"), HostId("r"), {"127.0.0.1", 9}};
  client_.SetOwner(model_, HostId("a"), now_);
  RequestOne();
  client_.RequestRemotePlacement(*client_.FindQueued(id_, now_), remote, now_);
  RequestOne();
  client_.TakeMessages();
  PlacementGrant stale;
  stale.request = id_;
  stale.attempt = 1;
  CHECK_FALSE(client_.OnGrant(stale, remote.peers));
  const auto messages = client_.TakeMessages();
  CHECK_TRUE(std::holds_alternative<CallerGoneMessage>(messages[0].message));
  CHECK_TRUE(messages[0].remote == remote.peers);
  Grant(1);
}

TEST(PlacementClient, AChangeOfTheLocalOwnerLeavesRemoteRequestsAlone) {
  const ShardOwnerAddress remote{
      DataCentreId("barasat"), HostId("r"), {"127.0.0.1", 9}};
  client_.SetOwner(model_, HostId("a"), now_);
  RequestOne();
  client_.RequestRemotePlacement(*client_.FindQueued(id_, now_), remote, now_);
  client_.TakeMessages();
  client_.SetOwner(model_, HostId("b"), now_);
  CHECK_TRUE(client_.TakeMessages().empty());
  const auto all = [](const ShardOwnerAddress&, const ModelId&) {
    return true;
  };
  now_ += std::chrono::seconds(3);
  const auto queued = client_.QueuedAtLostOwners(all, now_);
  LONGS_EQUAL(1, queued.size());
  CHECK_TRUE(queued[0].waited == std::chrono::seconds(3));
}

}  // namespace briarlead
