#ifndef BRIARLEAD_DISPATCH_DISPATCH_MESSAGES_H_
#define BRIARLEAD_DISPATCH_DISPATCH_MESSAGES_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/error.h"
#include "briarlead_dispatch/placement.h"

namespace briarlead {

/// Entry host to owner: the prefill of an attempt is done.
struct PrefillDoneMessage {
  RequestId request;
  std::uint32_t attempt = 0;
  std::uint64_t kv_bytes = 0;
};

/// Entry host to owner: the first token of an attempt arrived.
struct FirstTokenMessage {
  RequestId request;
  std::uint32_t attempt = 0;
};

/// Entry host to owner: output tokens of an attempt so far.
struct ProgressMessage {
  RequestId request;
  std::uint32_t attempt = 0;
  std::uint32_t tokens = 0;
};

/// Entry host to owner: the stream of an attempt ended whole.
struct FinishedMessage {
  RequestId request;
  std::uint32_t attempt = 0;
  std::uint32_t output_tokens = 0;
};

/// Entry host to owner: an attempt failed.
struct AttemptFailedMessage {
  RequestId request;
  std::uint32_t attempt = 0;
  FailedStage stage = FailedStage::kPrefill;
  BackendServerId server;
};

/// Entry host to owner: the caller went away.
struct CallerGoneMessage {
  RequestId request;
};

/// Entry host to a new owner: one request under way.
struct ReRegisterMessage {
  InFlightPlacement in_flight;
};

/// Owner to an entry host of another data centre, which doesn't know the
/// engines there: a grant with where they are reached.
struct RemoteGrantMessage {
  PlacementGrant grant;
  Endpoint prefill_address;
  Endpoint decode_address;
};

/// Owner to every host that may send it requests: the state of its shard.
struct ShardSummaryMessage {
  ShardSummary summary;
};

/// Everything that an entry host and the owner of a pool shard send each
/// other.
using DispatchMessage = std::variant<PlacementRequest,
                                     PlacementGrant,
                                     PlacementRefusal,
                                     PrefillDoneMessage,
                                     FirstTokenMessage,
                                     ProgressMessage,
                                     FinishedMessage,
                                     AttemptFailedMessage,
                                     CallerGoneMessage,
                                     ReRegisterMessage,
                                     RemoteGrantMessage,
                                     ShardSummaryMessage>;

/// Largest encoded message, in bytes.
inline constexpr std::size_t kMaxDispatchMessageBytes = 65'536;
/// Longest name or reason in a message, in bytes.
inline constexpr std::size_t kMaxDispatchTextBytes = 1024;
/// Most prefix block hashes in a message.
inline constexpr std::size_t kMaxPrefixBlocks = 1024;

/// Returns the bytes of `message`; kTooLarge when a part is over its bound.
Result<std::string> EncodeDispatchMessage(const DispatchMessage& message);

/// Reads what EncodeDispatchMessage() wrote; kCorrupt for anything else,
/// kTooLarge when a part is over its bound.
Result<DispatchMessage> DecodeDispatchMessage(std::string_view bytes);

}  // namespace briarlead

#endif  // BRIARLEAD_DISPATCH_DISPATCH_MESSAGES_H_
