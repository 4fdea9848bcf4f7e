#include "briarlead_state/state_machine.h"

#include <utility>

#include "briarlead_state/state_serialization.h"

namespace briarlead {
namespace {

constexpr std::uint32_t kSnapshotFormat = 1;

/// The parts of a snapshot in their order. The parts have formats of their
/// own; a digest over all of them comes last.
struct StateImage {
  std::uint32_t format = kSnapshotFormat;
  std::uint64_t applied_index = 0;
  std::uint64_t now_ms = 0;
  LeaderTime last_time;
  std::string lists;
  std::string claims;
  std::string orders;
  ContentDigest digest;
};

template <typename Archive>
void serialize(Archive& archive, StateImage& it) {
  archive(it.format, it.applied_index, it.now_ms, it.last_time, it.lists,
          it.claims, it.orders, it.digest);
}

ContentDigest DigestOfImage(const StateImage& image) {
  const std::string numbers = EncodeBytes(image.applied_index) +
                              EncodeBytes(image.now_ms) +
                              EncodeBytes(image.last_time);
  return DigestOf({numbers, image.lists, image.claims, image.orders});
}

}  // namespace

StateMachine::StateMachine(const StateLimits& limits)
    : limits_(limits),
      lists_(limits.max_remembered_changes),
      claims_(limits.claims) {}

StateOutcome StateMachine::Apply(std::uint64_t index,
                                 std::string_view command) {
  if (index <= applied_index_) {
    return CommandRejected{{ErrorCode::kConflict, "entry was applied before"}};
  }
  applied_index_ = index;
  const Result<StateCommand> decoded = DecodeStateCommand(command);
  if (!decoded)
    return CommandRejected{decoded.error()};
  Advance(decoded.value().time);
  return std::visit([this](const auto& body) { return ApplyBody(body); },
                    decoded.value().body);
}

void StateMachine::Advance(const LeaderTime& time) {
  const bool same_leader = time.term == last_time_.term;
  if (same_leader && time.elapsed_ms <= last_time_.elapsed_ms)
    return;
  if (same_leader)
    now_ms_ += time.elapsed_ms - last_time_.elapsed_ms;
  last_time_ = time;
}

StateOutcome StateMachine::ApplyBody(const AdvanceClock& /*body*/) {
  claims_.Expire(now_ms_);
  return ClockAdvanced{now_ms_};
}

StateOutcome StateMachine::ApplyBody(const ApplyLists& body) {
  return lists_.Apply(body);
}

StateOutcome StateMachine::ApplyBody(const BeginClaim& body) {
  return claims_.Begin(body, now_ms_);
}

StateOutcome StateMachine::ApplyBody(const FinishClaim& body) {
  return claims_.Finish(body, now_ms_);
}

StateOutcome StateMachine::ApplyBody(const ReportHostDead& body) {
  return HostDeadResult{body.host, claims_.MarkHostDead(body, now_ms_)};
}

StateOutcome StateMachine::ApplyBody(const TakeOrders& body) {
  return orders_.Take(body);
}

StateOutcome StateMachine::ApplyBody(const IssueOrder& body) {
  return orders_.Issue(body);
}

StateOutcome StateMachine::ApplyBody(const FinishOrder& body) {
  return orders_.Finish(body);
}

std::string StateMachine::EncodeSnapshot() const {
  StateImage image{kSnapshotFormat,
                   applied_index_,
                   now_ms_,
                   last_time_,
                   lists_.EncodeSnapshot(),
                   claims_.EncodeSnapshot(),
                   orders_.EncodeSnapshot(),
                   {}};
  image.digest = DigestOfImage(image);
  return EncodeBytes(image);
}

Result<void> StateMachine::RestoreSnapshot(std::string_view snapshot) {
  BOOST_OUTCOME_TRY(const StateImage image, DecodeBytes<StateImage>(snapshot));
  if (image.format != kSnapshotFormat)
    return Fail(ErrorCode::kCorrupt, "snapshot format is not known");
  if (image.digest != DigestOfImage(image))
    return Fail(ErrorCode::kCorrupt, "snapshot digest does not fit");
  StateMachine restored(limits_);
  BOOST_OUTCOME_TRY(restored.lists_.RestoreSnapshot(image.lists));
  BOOST_OUTCOME_TRY(restored.claims_.RestoreSnapshot(image.claims));
  BOOST_OUTCOME_TRY(restored.orders_.RestoreSnapshot(image.orders));
  restored.applied_index_ = image.applied_index;
  restored.now_ms_ = image.now_ms;
  restored.last_time_ = image.last_time;
  *this = std::move(restored);
  return outcome::success();
}

}  // namespace briarlead
