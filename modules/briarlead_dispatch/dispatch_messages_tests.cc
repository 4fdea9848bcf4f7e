#include "briarlead_dispatch/dispatch_messages.h"

#include <CppUTest/TestHarness.h>

#include <string>

namespace briarlead {
namespace {

PlacementRequest SamplePlacement() {
  PlacementRequest placement;
  placement.request = {HostId("entry-1"), 7, 42};
  placement.customer = CustomerId("visits");
  placement.weight = 2.5;
  placement.rank = Rank::kUrgent;
  placement.model = ModelId("summary");
  placement.prompt_tokens = 12'000;
  placement.max_output_tokens = 400;
  placement.delivered_tokens = 17;
  placement.first_token_target = FromSeconds(1.2);
  placement.token_gap_target = FromSeconds(0.063);
  placement.waited = FromSeconds(0.004);
  placement.last_attempt = 2;
  placement.prefix_blocks = {1, 0xFFFFFFFFFFFFFFFF, 3};
  return placement;
}

/// Returns `message` after encoding and decoding.
DispatchMessage RoundTrip(const DispatchMessage& message) {
  const auto bytes = EncodeDispatchMessage(message);
  CHECK_TRUE(bytes.has_value());
  auto decoded = DecodeDispatchMessage(bytes.value());
  CHECK_TRUE(decoded.has_value());
  return decoded.value();
}

}  // namespace

TEST_GROUP(DispatchMessages){};

TEST(DispatchMessages, RoundTripsEveryFieldOfAPlacement) {
  const PlacementRequest sent = SamplePlacement();
  const DispatchMessage message = RoundTrip(sent);
  const auto& received = std::get<PlacementRequest>(message);
  CHECK_TRUE(received.request == sent.request);
  CHECK_TRUE(received.customer == sent.customer);
  DOUBLES_EQUAL(sent.weight, received.weight, 0.0);
  CHECK_TRUE(received.rank == sent.rank);
  CHECK_TRUE(received.model == sent.model);
  CHECK_EQUAL(sent.prompt_tokens, received.prompt_tokens);
  CHECK_EQUAL(sent.max_output_tokens, received.max_output_tokens);
  CHECK_EQUAL(sent.delivered_tokens, received.delivered_tokens);
  CHECK_TRUE(received.first_token_target == sent.first_token_target);
  CHECK_TRUE(received.token_gap_target == sent.token_gap_target);
  CHECK_TRUE(received.waited == sent.waited);
  CHECK_EQUAL(sent.last_attempt, received.last_attempt);
  CHECK_TRUE(received.prefix_blocks == sent.prefix_blocks);
}

TEST(DispatchMessages, RoundTripsTheOtherMessages) {
  const RequestId id = SamplePlacement().request;
  const DispatchMessage failed = RoundTrip(AttemptFailedMessage{
      id, 3, FailedStage::kTransfer, BackendServerId("decode-1")});
  CHECK_TRUE(std::get<AttemptFailedMessage>(failed).stage ==
             FailedStage::kTransfer);
  const DispatchMessage grant = RoundTrip(PlacementGrant{
      id, 3, BackendServerId("prefill-1"), BackendServerId("decode-1"), "why"});
  CHECK_TRUE(std::get<PlacementGrant>(grant).decode_server ==
             BackendServerId("decode-1"));
  const DispatchMessage re_register = RoundTrip(
      ReRegisterMessage{{SamplePlacement(), PlacementStage::kDecode, 4,
                         BackendServerId("p"), BackendServerId("d")}});
  const auto& in_flight = std::get<ReRegisterMessage>(re_register).in_flight;
  CHECK_EQUAL(4, in_flight.attempt);
  CHECK_TRUE(in_flight.stage == PlacementStage::kDecode);
  CHECK_TRUE(in_flight.placement.request == id);
}

TEST(DispatchMessages, RoundTripsMessagesBetweenDataCentres) {
  RemoteGrantMessage sent;
  sent.grant = {SamplePlacement().request, 3, BackendServerId("prefill-1"),
                BackendServerId("decode-1"), "why"};
  sent.prefill_address = {"127.0.0.1", 9001};
  sent.decode_address = {"127.0.0.2", 9002};
  const DispatchMessage grant = RoundTrip(sent);
  const auto& received = std::get<RemoteGrantMessage>(grant);
  CHECK_TRUE(received.grant.request == sent.grant.request);
  CHECK_TRUE(received.prefill_address == sent.prefill_address);
  CHECK_TRUE(received.decode_address == sent.decode_address);
  ShardSummary summary;
  summary.data_centre = DataCentreId("howrah");
  summary.free_decode_slots = 5;
  summary.expected_patient_wait = FromSeconds(1.5);
  const DispatchMessage summary_message =
      RoundTrip(ShardSummaryMessage{summary});
  const auto& received_summary =
      std::get<ShardSummaryMessage>(summary_message).summary;
  CHECK_TRUE(received_summary.data_centre == summary.data_centre);
  CHECK_EQUAL(5, received_summary.free_decode_slots);
  CHECK_TRUE(received_summary.expected_patient_wait ==
             summary.expected_patient_wait);
}

TEST(DispatchMessages, RejectsTruncatedAndExtendedMessages) {
  RemoteGrantMessage remote;
  remote.grant.request = SamplePlacement().request;
  const DispatchMessage messages[] = {SamplePlacement(), remote,
                                      ShardSummaryMessage{}};
  for (const DispatchMessage& message : messages) {
    const std::string bytes = EncodeDispatchMessage(message).value();
    for (std::size_t n = 0; n < bytes.size(); ++n)
      CHECK_FALSE(DecodeDispatchMessage(bytes.substr(0, n)).has_value());
    CHECK_FALSE(DecodeDispatchMessage(bytes + "x").has_value());
  }
}

TEST(DispatchMessages, ChecksLengthsBeforeAllocating) {
  PlacementRequest placement = SamplePlacement();
  placement.prefix_blocks.resize(kMaxPrefixBlocks + 1);
  CHECK_TRUE(EncodeDispatchMessage(placement).error().code ==
             ErrorCode::kTooLarge);
  std::string bytes = EncodeDispatchMessage(SamplePlacement()).value();
  // After the archive's byte order mark and the message kind comes the length
  // of the host name.
  bytes[2] = '\xFF';
  bytes[3] = '\xFF';
  CHECK_TRUE(DecodeDispatchMessage(bytes).error().code == ErrorCode::kTooLarge);
}

}  // namespace briarlead
