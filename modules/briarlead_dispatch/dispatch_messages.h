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

/// From an entry host to the shard owner: the prefill of an attempt is done.
struct PrefillDoneMessage {
  RequestId request;
  std::uint32_t attempt = 0;
  std::uint64_t kv_bytes = 0;
};

/// From an entry host to the shard owner: the first token of an attempt
/// arrived.
struct FirstTokenMessage {
  RequestId request;
  std::uint32_t attempt = 0;
};

/// From an entry host to the shard owner: the number of output tokens that an
/// attempt has delivered so far.
struct ProgressMessage {
  RequestId request;
  std::uint32_t attempt = 0;
  std::uint32_t tokens = 0;
};

/// From an entry host to the shard owner: the stream of an attempt completed.
struct FinishedMessage {
  RequestId request;
  std::uint32_t attempt = 0;
  std::uint32_t output_tokens = 0;
};

/// From an entry host to the shard owner: an attempt failed.
struct AttemptFailedMessage {
  RequestId request;
  std::uint32_t attempt = 0;
  FailedStage stage = FailedStage::kPrefill;
  BackendServerId server;
};

/// From an entry host to the shard owner: the caller disconnected.
struct CallerGoneMessage {
  RequestId request;
};

/// From an entry host to a new shard owner: one request in flight.
struct ReRegisterMessage {
  InFlightPlacement in_flight;
};

/// From the shard owner to an entry host of another data centre, which does not
/// know the engines there: a grant with the addresses of its engines.
struct RemoteGrantMessage {
  PlacementGrant grant;
  Endpoint prefill_address;
  Endpoint decode_address;
};

/// From the shard owner to every host that may send it requests: the state of
/// its shard.
struct ShardSummaryMessage {
  ShardSummary summary;
};

/// All messages between an entry host and the owner of a pool shard. The index
/// of an alternative is its number on the wire.
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
/// Largest number of prefix block hashes in a message.
inline constexpr std::size_t kMaxPrefixBlocks = 1024;

/// Encodes `message`; fails with kTooLarge when a field exceeds its limit.
Result<std::string> EncodeDispatchMessage(const DispatchMessage& message);

/// Decodes what EncodeDispatchMessage() encoded. Fails with kTooLarge when a
/// field or the message exceeds its limit, and with kCorrupt for anything else
/// that is not a valid message.
Result<DispatchMessage> DecodeDispatchMessage(std::string_view bytes);

}  // namespace briarlead

#endif  // BRIARLEAD_DISPATCH_DISPATCH_MESSAGES_H_
