#ifndef BRIARLEAD_FORWARD_MODEL_DEMAND_H_
#define BRIARLEAD_FORWARD_MODEL_DEMAND_H_

#include <cstdint>
#include <optional>

#include "briarlead_core/identifiers.h"
#include "briarlead_core/time.h"

namespace briarlead {

/// The engine resources that a model request needs.
struct ModelDemand {
  ServiceId service;
  std::uint32_t rank = 0;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;  ///< Expected.
  TimePoint target;                 ///< When its first token is due.
  /// The prefill engine that processed the prompt before, if any, and the
  /// number of tokens produced since, which it has not processed.
  BackendServerId prefilled_by;
  std::uint32_t tokens_since_prefill = 0;
  DataCentreId data_centre;  ///< Of the entry host that serves the request.
  /// Version of the engine that began the stream; nullopt if none has.
  std::optional<SoftwareVersion> software;

  /// Returns the tokens that a prefill on the engine `id` has to process.
  [[nodiscard]] std::uint32_t PrefillTokensAt(const BackendServerId& id) const {
    return id == prefilled_by ? tokens_since_prefill : prompt_tokens;
  }
};

}  // namespace briarlead

#endif  // BRIARLEAD_FORWARD_MODEL_DEMAND_H_
