#include "briarlead_state/control_message.h"

#include "briarlead_core/random_source.h"

// Included last, since it redefines operator new.
#include <CppUTest/TestHarness.h>

namespace briarlead {
namespace {

constexpr int kMutations = 4000;

const ClaimKey kKey{CustomerId("coop"), "key-1"};
const RequestId kAttempt{HostId("e1"), 3, 4};
const RecordedAnswer kAnswer{201, "text/plain", "booked", true};
const EngineOrder kOrder{OrderKind::kRole, BackendServerId("b1"), ModelId("m"),
                         "decode", true};

std::vector<StateCommandBody> CommandBodies() {
  return {AdvanceClock{},
          ApplyLists{1, "customers", std::nullopt, "asha", "c1", 5},
          BeginClaim{kKey, {1, 2}, kAttempt, 700},
          FinishClaim{kKey, {1, 2}, kAttempt, RunOutcome::kRan, kAnswer},
          ReportHostDead{HostId("e1"), 9},
          BecomeOrderIssuer{HostId("c1"), 4},
          IssueOrder{4, 1, kOrder},
          FinishOrder{8, OrderState::kRefused}};
}

std::vector<ControlMessage> Messages() {
  const RequestRefused refused{RefusalReason::kInvalidLists,
                               true,
                               HostId("c2"),
                               {{"plans", "plans[0]", "no weight"}}};
  const ReachReport reach{4, {{DataCentreId("howrah"), 3, 2, 1, false}}};
  return {
      ControlRequest{1, ApplyLists{1, "c", "p", "asha", "", 5}},
      ControlRequest{2, BeginClaim{kKey, {1, 2}, kAttempt, 700}},
      ControlRequest{3, ReadClaim{kKey}},
      ControlRequest{4, ReadReach{3}},
      ControlRequest{5, ReadLists{}},
      ControlRequest{6, ReadStatus{}},
      ControlRequest{7, ListsHeartbeat{HostId("e"), DataCentreId("d"), 1, 2}},
      ControlAnswer{1, refused},
      ControlAnswer{
          2, ApplyListsResult{ApplyVerdict::kConflict, {3, "ravi", 9}, 4}},
      ControlAnswer{3,
                    BeginResult{kAttempt, BeginVerdict::kFinished, 1, kAnswer}},
      ControlAnswer{4, FinishResult{kAttempt, RunOutcome::kNotRun,
                                    FinishVerdict::kRecorded}},
      ControlAnswer{5, HostDeadResult{HostId("e"), 3}},
      ControlAnswer{6, ClaimStatus{ClaimState::kUnknown}},
      ControlAnswer{7, reach},
      ControlAnswer{8, ListsInForce{3, 2, 3, "c", "p"}},
      ControlAnswer{9, ControlStatus{.host = HostId("c"), .is_leader = true}},
  };
}

/// Checks that each mutation of `good` is rejected, or decoded as a value that
/// encodes to exactly the mutated bytes.
template <typename Decode, typename Encode>
void CheckMutations(const std::string& good, Decode decode, Encode encode) {
  RandomSource random(11);
  for (int i = 0; i < kMutations; ++i) {
    std::string bad = good;
    const std::uint64_t changes = 1 + random.Below(4);
    for (std::uint64_t change = 0; change < changes; ++change)
      bad[random.Below(bad.size())] = static_cast<char>(random.Below(256));
    if (random.Chance(0.2))
      bad.resize(random.Below(bad.size()));
    if (random.Chance(0.1))
      bad.append("x");
    const auto decoded = decode(bad);
    if (decoded)
      CHECK_TRUE(encode(decoded.value()) == bad);
  }
}

}  // namespace

TEST_GROUP(Codec){};

TEST(Codec, CommandsRoundTripAndMutationsAreRejectedOrDecodedExactly) {
  for (const StateCommandBody& it : CommandBodies()) {
    const StateCommand command{{2, 3}, it};
    const std::string good = EncodeStateCommand(command);
    const auto decoded = DecodeStateCommand(good);
    CHECK_TRUE(decoded.has_value());
    CHECK_TRUE(decoded.value() == command);
    CheckMutations(good, DecodeStateCommand, EncodeStateCommand);
  }
}

TEST(Codec, MessagesRoundTripAndMutationsAreRejectedOrDecodedExactly) {
  for (const ControlMessage& it : Messages()) {
    const std::string good = EncodeControlMessage(it);
    const auto decoded = DecodeControlMessage(good);
    CHECK_TRUE(decoded.has_value());
    CHECK_TRUE(decoded.value() == it);
    CheckMutations(good, DecodeControlMessage, EncodeControlMessage);
  }
}

TEST(Codec, LengthIsCheckedBeforeAnythingIsAllocated) {
  // The length prefix of the first text claims 4 GiB in a message of a few
  // bytes.
  std::string bytes =
      EncodeStateCommand({{1, 1}, ReportHostDead{HostId("host-name"), 1}});
  const std::size_t length_offset =
      bytes.find("host-name") - sizeof(std::uint32_t);
  bytes.replace(length_offset, sizeof(std::uint32_t), "\xff\xff\xff\xff");
  CHECK_TRUE(DecodeStateCommand(bytes).error().code == ErrorCode::kCorrupt);
  const std::string too_large(kMaxCommandBytes + 1, 'x');
  CHECK_TRUE(DecodeStateCommand(too_large).error().code ==
             ErrorCode::kTooLarge);
}

TEST(Codec, EnumerationValueOutOfRangeIsRejected) {
  // The last byte is the state of the order.
  std::string bytes =
      EncodeStateCommand({{1, 1}, FinishOrder{8, kLastOrderState}});
  CHECK_TRUE(DecodeStateCommand(bytes).has_value());
  ++bytes.back();
  CHECK_TRUE(DecodeStateCommand(bytes).error().code == ErrorCode::kCorrupt);
}

}  // namespace briarlead
