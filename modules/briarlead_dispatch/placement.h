#ifndef BRIARLEAD_DISPATCH_PLACEMENT_H_
#define BRIARLEAD_DISPATCH_PLACEMENT_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "briarlead_blackboard/held_attempt.h"
#include "briarlead_core/identifiers.h"
#include "briarlead_core/rank.h"
#include "briarlead_core/request_id.h"
#include "briarlead_core/time.h"

namespace briarlead {

/// Asks for engines for one model request. The entry host fills in what the
/// customer's plan says, so that a dispatcher needs no lists.
struct PlacementRequest {
  RequestId request;
  CustomerId customer;
  double weight = 1.0;  ///< Share of the customer among those of its rank.
  Rank rank = Rank::kPatient;
  ModelId model;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_output_tokens = 0;
  /// Output tokens that the caller already has, after a decode death.
  std::uint32_t delivered_tokens = 0;
  Duration first_token_target{};  ///< From arrival to the first token.
  Duration token_gap_target{};    ///< Between one token and the next.
  Duration waited{};  ///< Time since arrival that the dispatcher did not see.
  /// Highest attempt that this request has had anywhere; 0 when none.
  std::uint32_t last_attempt = 0;
  /// Hashes of the prompt's leading blocks, each over all blocks up to it.
  std::vector<std::uint64_t> prefix_blocks;
};

/// Where an attempt stands.
enum class PlacementStage {
  kQueued,    ///< Waits for engines; nothing runs.
  kPrefill,   ///< The prefill engine has it; a decode slot is held.
  kTransfer,  ///< Prefill done; the KV cache is on its way.
  kDecode,    ///< The first token was seen.
};

/// The stage at which an attempt failed.
enum class FailedStage { kPrefill, kTransfer, kDecode };

/// What an entry host has under way, told to a new owner of a pool shard.
struct InFlightPlacement {
  PlacementRequest placement;  ///< `delivered_tokens` is up to date.
  PlacementStage stage = PlacementStage::kQueued;
  std::uint32_t attempt = 0;  ///< Set unless the stage is kQueued.
  BackendServerId prefill_server;
  BackendServerId decode_server;
};

/// The engines for one attempt of a request.
struct PlacementGrant {
  RequestId request;
  std::uint32_t attempt = 0;
  BackendServerId prefill_server;
  BackendServerId decode_server;
  std::string reason;  ///< Why these engines now, for the log line.
};

/// The final answer to a request that was not run.
struct PlacementRefusal {
  RequestId request;
  Duration retry_after{};  ///< When the queue is forecast to have room.
  std::string reason;      ///< For the log line.
};

/// Frees whatever an engine holds for an attempt.
struct CancelOnEngine {
  BackendServerId server;
  RequestId request;
  std::uint32_t attempt = 0;
};

using DispatchCommand =
    std::variant<PlacementGrant, PlacementRefusal, CancelOnEngine>;

/// The state of a shard in brief, for status and for other data centres.
struct ShardSummary {
  DataCentreId data_centre;
  ModelId model;
  std::uint32_t queued_urgent = 0;
  std::uint32_t queued_patient = 0;
  std::uint32_t decode_slots = 0;
  std::uint32_t free_decode_slots = 0;
  Duration expected_urgent_wait{};   ///< For a request that came now.
  Duration expected_patient_wait{};  ///< For a request that came now.
};

}  // namespace briarlead

#endif  // BRIARLEAD_DISPATCH_PLACEMENT_H_
