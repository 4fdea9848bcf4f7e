#include "briarlead_state/state_machine.h"

#include <algorithm>
#include <cstring>
#include <utility>

#include "briarlead_state/state_serialization.h"

namespace briarlead {
namespace {

constexpr std::uint32_t kSnapshotFormat = 2;
constexpr std::uint64_t kChecksumMultiplier = 0x9E3779B97F4A7C15U;

/// The fields of a snapshot in the order in which they are serialised. Each
/// text is the snapshot of one part, in that part's own format. The checksum
/// covers all other fields but `format`.
struct StateSnapshot {
  std::uint32_t format = kSnapshotFormat;
  std::uint64_t applied_index = 0;
  std::uint64_t now_ms = 0;
  LeaderTime last_time;
  std::string lists;
  std::string claims;
  std::string orders;
  std::string routes;
  std::uint64_t checksum = 0;
};

template <typename Archive>
void serialize(Archive& archive, StateSnapshot& it) {
  archive(it.format, it.applied_index, it.now_ms, it.last_time, it.lists,
          it.claims, it.orders, it.routes, it.checksum);
}

/// Adds `bytes` to the checksum `sum`, one 64-bit word at a time. Each step is
/// a bijection of the sum, so a change within a single word always changes the
/// result.
std::uint64_t AddToChecksum(std::uint64_t sum, std::string_view bytes) {
  std::uint64_t word = bytes.size();
  for (;;) {
    sum = (sum ^ word) * kChecksumMultiplier;
    sum ^= sum >> 32U;
    if (bytes.empty())
      return sum;
    word = 0;
    const std::size_t size = std::min(bytes.size(), sizeof(word));
    std::memcpy(&word, bytes.data(), size);
    bytes.remove_prefix(size);
  }
}

std::uint64_t ChecksumOf(const StateSnapshot& snapshot) {
  std::uint64_t sum = AddToChecksum(0, EncodeBytes(snapshot.applied_index));
  sum = AddToChecksum(sum, EncodeBytes(snapshot.now_ms));
  sum = AddToChecksum(sum, EncodeBytes(snapshot.last_time));
  sum = AddToChecksum(sum, snapshot.lists);
  sum = AddToChecksum(sum, snapshot.claims);
  sum = AddToChecksum(sum, snapshot.orders);
  return AddToChecksum(sum, snapshot.routes);
}

}  // namespace

StateMachine::StateMachine(const StateLimits& limits)
    : limits_(limits),
      lists_(limits.max_retained_changes),
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
  const bool is_same_term = time.term == last_time_.term;
  if (is_same_term && time.elapsed_ms <= last_time_.elapsed_ms)
    return;
  if (is_same_term)
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

StateOutcome StateMachine::ApplyBody(const BecomeOrderIssuer& body) {
  return orders_.SetIssuer(body);
}

StateOutcome StateMachine::ApplyBody(const IssueOrder& body) {
  return orders_.Issue(body);
}

StateOutcome StateMachine::ApplyBody(const FinishOrder& body) {
  return orders_.Finish(body);
}

StateOutcome StateMachine::ApplyBody(const ReplaceRoutes& body) {
  return routes_.Replace(body);
}

std::string StateMachine::EncodeSnapshot() const {
  StateSnapshot snapshot{kSnapshotFormat,
                         applied_index_,
                         now_ms_,
                         last_time_,
                         lists_.EncodeSnapshot(),
                         claims_.EncodeSnapshot(),
                         orders_.EncodeSnapshot(),
                         routes_.EncodeSnapshot(),
                         {}};
  snapshot.checksum = ChecksumOf(snapshot);
  return EncodeBytes(snapshot);
}

Result<void> StateMachine::RestoreSnapshot(std::string_view bytes) {
  BOOST_OUTCOME_TRY(const StateSnapshot snapshot,
                    DecodeBytes<StateSnapshot>(bytes));
  if (snapshot.format != kSnapshotFormat)
    return Fail(ErrorCode::kCorrupt, "unknown snapshot format");
  if (snapshot.checksum != ChecksumOf(snapshot))
    return Fail(ErrorCode::kCorrupt, "snapshot checksum mismatch");
  StateMachine restored(limits_);
  BOOST_OUTCOME_TRY(restored.lists_.RestoreSnapshot(snapshot.lists));
  BOOST_OUTCOME_TRY(restored.claims_.RestoreSnapshot(snapshot.claims));
  BOOST_OUTCOME_TRY(restored.orders_.RestoreSnapshot(snapshot.orders));
  BOOST_OUTCOME_TRY(restored.routes_.RestoreSnapshot(snapshot.routes));
  restored.applied_index_ = snapshot.applied_index;
  restored.now_ms_ = snapshot.now_ms;
  restored.last_time_ = snapshot.last_time;
  *this = std::move(restored);
  return outcome::success();
}

}  // namespace briarlead
