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

/// A request for the engines of one model request. The entry host fills in the
/// values from the customer's plan, so that a dispatcher does not need the
/// configured lists.
struct PlacementRequest {
  RequestId request;
  CustomerId customer;
  /// Weight of the customer among the customers of its rank.
  double weight = 1.0;
  Rank rank = Rank::kPatient;
  ModelId model;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_output_tokens = 0;
  /// Output tokens that the caller already received from an earlier attempt,
  /// which failed while decoding.
  std::uint32_t delivered_tokens = 0;
  Duration first_token_target{};  ///< From arrival to the first token.
  Duration token_gap_target{};    ///< Between two consecutive tokens.
  /// Time since arrival that passed before the dispatcher got the request.
  Duration waited{};
  /// Highest attempt number that this request has had on any dispatcher; 0 when
  /// none.
  std::uint32_t last_attempt = 0;
  /// Hashes of the prompt's leading blocks, each over all blocks up to its own.
  std::vector<std::uint64_t> prefix_blocks;
};

/// Stage of a request's current attempt.
enum class PlacementStage {
  kQueued,    ///< Waits for engines; nothing runs.
  kPrefill,   ///< On the prefill engine; a decode slot is held.
  kTransfer,  ///< Prefill done; the KV cache is being transferred.
  kDecode,    ///< The first token has arrived.
};

/// The stage at which an attempt failed.
enum class FailedStage { kPrefill, kTransfer, kDecode };

/// A request in flight, reported by its entry host to a new owner of a pool
/// shard.
struct InFlightPlacement {
  PlacementRequest placement;  ///< `delivered_tokens` is up to date.
  PlacementStage stage = PlacementStage::kQueued;
  std::uint32_t attempt = 0;  ///< Set unless the stage is kQueued.
  BackendServerId prefill_server;
  BackendServerId decode_server;
};

/// Assigns engines to one attempt of a request.
struct PlacementGrant {
  RequestId request;
  std::uint32_t attempt = 0;
  BackendServerId prefill_server;
  BackendServerId decode_server;
  std::string reason;  ///< Why the request started, for the log line.
};

/// Final response to a request that is refused.
struct PlacementRefusal {
  RequestId request;
  Duration retry_after{};  ///< Forecast time until the queue has room.
  std::string reason;      ///< For the log line.
};

/// Cancels an attempt on an engine and frees what the engine holds for it.
struct CancelOnEngine {
  BackendServerId server;
  RequestId request;
  std::uint32_t attempt = 0;
};

using DispatchCommand =
    std::variant<PlacementGrant, PlacementRefusal, CancelOnEngine>;

/// Summary of a shard's state, for status and for other data centres.
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
