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

/// Learns at run time what requests cost: prefill rate and decode step time for
/// each engine, output length by customer, rank and output limit, and KV bytes
/// per token. Starts from cautious defaults, since no history is kept between
/// runs.
class CostModel {
 public:
  CostModel();

  /// Returns the number of output tokens that `placement` is expected to still
  /// need.
  [[nodiscard]] double ExpectedOutput(const PlacementRequest& placement) const;

  /// Returns the probability that the output is longer than `tokens` tokens; 1
  /// below the output limit while there are too few samples.
  [[nodiscard]] double ProbabilityLongerThan(const PlacementRequest& placement,
                                             double tokens) const;

  /// Learns the total output length of a request, earlier attempts included.
  void LearnOutput(const PlacementRequest& placement, std::uint32_t tokens);

  /// Returns how long `server` takes to prefill `tokens` tokens when it has no
  /// other work.
  [[nodiscard]] Duration PrefillTime(const BackendServerId& server,
                                     std::uint32_t tokens) const;

  /// Learns that `server` prefilled `tokens` tokens in `took` without other
  /// work.
  void LearnPrefill(const BackendServerId& server,
                    std::uint32_t tokens,
                    Duration took);

  /// Returns the time between two tokens of a stream on `server`.
  [[nodiscard]] double StepSeconds(const BackendServerId& server) const;

  /// Learns that `server` decoded `tokens` tokens of one stream in `took`.
  void LearnSteps(const BackendServerId& server,
                  std::uint32_t tokens,
                  Duration took);

  /// Returns the expected size of the KV cache of `tokens` tokens, in bytes.
  [[nodiscard]] std::uint64_t KvBytes(std::uint32_t tokens) const;

  /// Learns that the KV cache of `tokens` tokens has `bytes` bytes.
  void LearnKvBytes(std::uint32_t tokens, std::uint64_t bytes);

 private:
  /// Requests of one class are expected to have similar output lengths.
  struct OutputClass {
    CustomerId customer;
    Rank rank = Rank::kPatient;
    /// Class of the output limit, on a logarithmic scale.
    std::uint32_t limit_class = 0;

    friend bool operator==(const OutputClass&, const OutputClass&) = default;
  };
  struct OutputClassHash {
    std::size_t operator()(const OutputClass& output_class) const noexcept;
  };
  struct EngineRates {
    double prefill_tokens_per_second = 0.0;
    double step_seconds = 0.0;
  };

  static OutputClass ClassOf(const PlacementRequest& placement);
  /// Returns the histogram of the most specific class that has enough samples;
  /// null when none has.
  [[nodiscard]] const DecayingHistogram* HistogramFor(
      const PlacementRequest& placement) const;
  [[nodiscard]] const EngineRates& RatesOf(const BackendServerId& server) const;
  EngineRates& MutableRatesOf(const BackendServerId& server);

  std::unordered_map<OutputClass, DecayingHistogram, OutputClassHash> by_class_;
  std::array<DecayingHistogram, kRankCount> by_rank_;
  std::unordered_map<BackendServerId, EngineRates> engines_;
  /// Average over all engines, for engines without samples.
  EngineRates average_rates_;
  double kv_bytes_per_token_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_DISPATCH_COST_MODEL_H_
