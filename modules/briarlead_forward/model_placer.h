#ifndef BRIARLEAD_FORWARD_MODEL_PLACER_H_
#define BRIARLEAD_FORWARD_MODEL_PLACER_H_

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "briarlead_core/time.h"
#include "briarlead_forward/engine_load_tracker.h"
#include "briarlead_forward/server_pool.h"
#include "briarlead_routes/route_list.h"

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

  /// Returns the tokens that a prefill on the engine `id` has to process.
  [[nodiscard]] std::uint32_t PrefillTokensAt(const BackendServerId& id) const {
    return id == prefilled_by ? tokens_since_prefill : prompt_tokens;
  }
};

/// The engines chosen for one request.
struct ModelPlacement {
  ServerRecord decode;
  /// The prefill engine; if unset, the decode engine does the prefill itself.
  std::optional<ServerRecord> prefill;
};

/// Why a request was not placed.
enum class PlacementFailure {
  kMustWait,  ///< No decode engine has room after the requests ahead in queue.
  kNoEngine,  ///< No usable decode engine is left to try.
};

/// Places model requests on prefill and decode engines. A request gets a decode
/// engine whose memory, by the expected output lengths, holds the request and
/// the streams already there until they end. So no stream is evicted and no
/// prefill is wasted. Every host computes the same order of all waiting
/// requests and places its own when it is their turn.
class ModelPlacer {
 public:
  /// Share of an engine's memory that streams may fill at their expected peak.
  static constexpr double kMemoryShare = 0.86;
  /// Prefill speed that time limits on engines are computed from.
  static constexpr double kPrefillTokensPerSecond = 50'000;
  /// Preference for the local data centre, as a share of an engine's memory.
  static constexpr double kLocalDataCentreBonus = 0.06;
  /// Prefill backlog, in tokens, that counts as much as the longer way to
  /// another data centre.
  static constexpr double kRemotePenaltyTokens = 2'000;

  ModelPlacer(const EngineLoadTracker& load_tracker,
              const ServerPool& pool,
              DataCentreId local_data_centre)
      : load_tracker_(load_tracker),
        pool_(pool),
        local_data_centre_(std::move(local_data_centre)) {}

  /// A placement, or why there is none.
  struct Answer {
    std::optional<ModelPlacement> placement;
    PlacementFailure failure = PlacementFailure::kMustWait;
  };
  /// Chooses engines for `demand`. `key` identifies the request, which may be
  /// waiting already; decode engines in `excluded` are not chosen.
  Answer Place(const ModelDemand& demand,
               RequestKey key,
               const EngineTraits& traits,
               std::span<const ServerIncarnation> excluded,
               TimePoint now,
               RandomSource& random) const;

  /// Returns the prefill engine that would finish `demand` first; nullopt if
  /// none is usable. Engines cache a processed prompt for some seconds, so the
  /// engine that processed it before has less to do.
  std::optional<ServerRecord> ChoosePrefill(
      const ModelDemand& demand,
      std::span<const ServerIncarnation> excluded,
      TimePoint now,
      RandomSource& random) const;

  /// Returns the peak number of tokens that `streams` and `added` together will
  /// hold if all of them progress at the same speed.
  static std::uint64_t PeakTokens(std::vector<StreamLoad> streams,
                                  const StreamLoad& added);

 private:
  /// An engine with the streams on it and those tentatively placed there.
  struct Candidate {
    ServerRecord server;
    std::vector<StreamLoad> streams;
    double jitter = 0;  ///< Decides between equal engines.
  };

  /// Returns the index of the best candidate that has room for `load`; nullopt
  /// if there is none.
  std::optional<std::size_t> FindRoom(const std::vector<Candidate>& candidates,
                                      const StreamLoad& load,
                                      const EngineTraits& traits) const;

  const EngineLoadTracker& load_tracker_;
  const ServerPool& pool_;
  DataCentreId local_data_centre_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_FORWARD_MODEL_PLACER_H_
