#ifndef BRIARLEAD_FORWARD_MODEL_PLACER_H_
#define BRIARLEAD_FORWARD_MODEL_PLACER_H_

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "briarlead_core/time.h"
#include "briarlead_forward/engine_book.h"
#include "briarlead_forward/server_pool.h"
#include "briarlead_routes/route_list.h"

namespace briarlead {

/// What a model request needs of the engines.
struct ModelDemand {
  ServiceId service;
  std::uint32_t rank = 0;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t output_tokens = 0;  ///< Expected.
  TimePoint target;                 ///< When its first token is due.
  /// The engine that has read the prompt before, if any, and the tokens of it
  /// that it hasn't: what was produced since.
  BackendServerId read_by;
  std::uint32_t unread_tokens = 0;

  /// Returns the tokens that the engine `id` would have to read.
  [[nodiscard]] std::uint32_t TokensToReadAt(const BackendServerId& id) const {
    return id == read_by ? unread_tokens : prompt_tokens;
  }
};

/// Engines for one request.
struct ModelPlacement {
  ServerRecord decode;
  /// The engine that reads the prompt; the decode engine where there is none.
  std::optional<ServerRecord> prefill;
};

/// Why a request was not placed.
enum class PlacementRefusal {
  kMustWait,  ///< Engines are full, or requests before it are.
  kNoEngine,  ///< No decode engine is left to try.
};

/// Places model requests on prefill and decode engines. A request gets a decode
/// engine whose memory holds it to its end beside the streams that are there,
/// by the lengths that are expected: no stream loses its memory, and no prompt
/// is read for nothing. Every host works out the same order of all waiting
/// requests and places its own when their turn has come.
class ModelPlacer {
 public:
  /// Share of an engine's memory that expected streams may fill.
  static constexpr double kMemoryShare = 0.86;
  /// Prompt tokens that a prefill engine reads in a second.
  static constexpr double kPrefillTokensPerSecond = 50'000;
  /// Advantage of the own data centre, as a share of an engine's memory.
  static constexpr double kOwnDataCentreBonus = 0.06;
  /// Prefill backlog in tokens that outweighs another data centre.
  static constexpr double kOwnDataCentreTokens = 2'000;

  ModelPlacer(const EngineBook& book, const ServerPool& pool, DataCentreId own)
      : book_(book), pool_(pool), own_(std::move(own)) {}

  /// Returns engines for `demand`, or why there are none. `key` is its own
  /// place in the queue, if it waits.
  struct Answer {
    std::optional<ModelPlacement> placement;
    PlacementRefusal refusal = PlacementRefusal::kMustWait;
  };
  Answer Place(const ModelDemand& demand,
               BookKey key,
               const EngineTraits& traits,
               std::span<const ServerStart> excluded,
               TimePoint now,
               RandomSource& random) const;

  /// Returns the prefill engine that would be done first with `demand`; nullopt
  /// when none is usable. Engines keep what they have read for some seconds.
  std::optional<ServerRecord> ChoosePrefill(
      const ModelDemand& demand,
      std::span<const ServerStart> excluded,
      TimePoint now,
      RandomSource& random) const;

  /// Returns the most tokens that `streams` and `added` will hold at once, if
  /// all go on at one speed.
  static std::uint64_t PeakTokens(std::vector<StreamLoad> streams,
                                  const StreamLoad& added);

 private:
  /// An engine and the streams on it, with those placed in thought.
  struct Candidate {
    ServerRecord server;
    std::vector<StreamLoad> streams;
    double jitter = 0;  ///< Chooses among equals.
  };

  /// Returns the index of the best candidate that has room; nullopt if none.
  std::optional<std::size_t> FindRoom(const std::vector<Candidate>& candidates,
                                      const StreamLoad& load,
                                      const EngineTraits& traits) const;

  const EngineBook& book_;
  const ServerPool& pool_;
  DataCentreId own_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_FORWARD_MODEL_PLACER_H_
