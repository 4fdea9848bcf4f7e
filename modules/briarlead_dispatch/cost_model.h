#ifndef BRIARLEAD_DISPATCH_COST_MODEL_H_
#define BRIARLEAD_DISPATCH_COST_MODEL_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "briarlead_core/identifiers.h"
#include "briarlead_core/rank.h"
#include "briarlead_core/time.h"
#include "briarlead_dispatch/decaying_histogram.h"
#include "briarlead_dispatch/placement.h"

namespace briarlead {

/// Learns what requests cost, with no history: prefill rate and decode step
/// time by engine, output length by customer, rank and output limit, KV bytes
/// by token. Starts from a cautious prior.
class CostModel {
 public:
  CostModel();

  /// Returns the output tokens that `placement` is expected to still need.
  [[nodiscard]] double ExpectedOutput(const PlacementRequest& placement) const;

  /// Returns the probability that the output is over `tokens` tokens long.
  [[nodiscard]] double ShareLongerThan(const PlacementRequest& placement,
                                       double tokens) const;

  /// Learns the whole output length of a request, earlier attempts included.
  void LearnOutput(const PlacementRequest& placement, std::uint32_t tokens);

  /// Returns how long `server` takes to read `tokens` tokens on its own.
  [[nodiscard]] Duration PrefillTime(const BackendServerId& server,
                                     std::uint32_t tokens) const;

  /// Learns that `server` read `tokens` tokens in `took`, on its own.
  void LearnPrefill(const BackendServerId& server,
                    std::uint32_t tokens,
                    Duration took);

  /// Returns the time between two tokens of a stream on `server`.
  [[nodiscard]] double StepSeconds(const BackendServerId& server) const;

  /// Learns that `server` streamed `tokens` tokens in `took`.
  void LearnSteps(const BackendServerId& server,
                  std::uint32_t tokens,
                  Duration took);

  /// Returns the expected size of the KV cache of `tokens` tokens.
  [[nodiscard]] std::uint64_t KvBytes(std::uint32_t tokens) const;

  /// Learns the size of a KV cache.
  void LearnKvBytes(std::uint32_t tokens, std::uint64_t bytes);

 private:
  /// What output lengths are told apart by.
  struct OutputKind {
    CustomerId customer;
    Rank rank = Rank::kPatient;
    std::uint32_t limit_class = 0;  ///< Logarithm of the output limit.

    friend bool operator==(const OutputKind&, const OutputKind&) = default;
  };
  struct OutputKindHash {
    std::size_t operator()(const OutputKind& kind) const noexcept;
  };
  struct EngineRates {
    double prefill_tokens_per_second = 0.0;
    double step_seconds = 0.0;
  };

  static OutputKind KindOf(const PlacementRequest& placement);
  /// Returns the best informed sketch for `placement`; null when none is.
  [[nodiscard]] const DecayingHistogram* SketchFor(
      const PlacementRequest& placement) const;
  [[nodiscard]] const EngineRates& RatesOf(const BackendServerId& server) const;
  EngineRates& MutableRatesOf(const BackendServerId& server);

  std::unordered_map<OutputKind, DecayingHistogram, OutputKindHash> by_kind_;
  std::array<DecayingHistogram, kRankCount> by_rank_;
  std::unordered_map<BackendServerId, EngineRates> engines_;
  EngineRates typical_;  ///< For engines not yet measured.
  double kv_bytes_per_token_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_DISPATCH_COST_MODEL_H_
