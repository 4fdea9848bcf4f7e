#ifndef BRIARLEAD_ROUTES_ENGINE_PLACEMENT_MESSAGE_H_
#define BRIARLEAD_ROUTES_ENGINE_PLACEMENT_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "briarlead_core/identifiers.h"
#include "briarlead_core/time.h"
#include "briarlead_routes/server_record.h"

namespace briarlead {

/// Asks the owner of the engines to place a model request. The sender repeats
/// it while the request waits.
struct EnginePlacementRequest {
  std::uint64_t key = 0;     ///< The request on the sending host.
  std::uint32_t number = 0;  ///< Of the placement; repeats have the same one.
  ServiceId service;
  std::uint32_t rank = 0;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;  ///< Expected.
  /// Time left until its target latency ends; negative once that has passed.
  Duration target_left = Duration::zero();
  /// The engine that processed the prompt before, if any, and the number of
  /// tokens produced since.
  BackendServerId prefilled_by;
  std::uint32_t tokens_since_prefill = 0;
  DataCentreId data_centre;  ///< Of the sending host.
  /// Engines that were tried before and must not be chosen.
  std::vector<ServerIncarnation> excluded;
  /// Version of the engine that began the stream; nullopt if none has.
  std::optional<SoftwareVersion> software;

  friend bool operator==(const EnginePlacementRequest&,
                         const EnginePlacementRequest&) = default;
};

/// What the owner of the engines decided about a request.
enum class PlacementVerdict : std::uint8_t {
  kPlaced,
  kMustWait,  ///< No engine has room; a kPlaced reply may follow later.
  kNoEngine,  ///< No usable decode engine is left to try.
  kNotOwner,  ///< The replying host does not know the engines' load.
};
inline constexpr PlacementVerdict kLastPlacementVerdict =
    PlacementVerdict::kNotOwner;

/// The response to a EnginePlacementRequest.
struct EnginePlacementReply {
  std::uint64_t key = 0;     ///< As in the request.
  std::uint32_t number = 0;  ///< As in the request.
  PlacementVerdict verdict = PlacementVerdict::kNotOwner;
  ServerIncarnation decode;                  ///< Set for kPlaced.
  std::optional<ServerIncarnation> prefill;  ///< None: decode does it itself.
  /// Prompt tokens that the prefill engine processes before this request's.
  std::uint64_t prefill_backlog = 0;
  Duration expected_wait = Duration::zero();  ///< Set for kMustWait.

  friend bool operator==(const EnginePlacementReply&,
                         const EnginePlacementReply&) = default;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ROUTES_ENGINE_PLACEMENT_MESSAGE_H_
