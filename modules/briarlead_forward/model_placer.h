#ifndef BRIARLEAD_FORWARD_MODEL_PLACER_H_
#define BRIARLEAD_FORWARD_MODEL_PLACER_H_

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "briarlead_core/time.h"
#include "briarlead_forward/engine_load_tracker.h"
#include "briarlead_forward/model_demand.h"
#include "briarlead_forward/server_pool.h"
#include "briarlead_routes/route_list.h"

namespace briarlead {

/// The engines chosen for one request.
struct ModelPlacement {
  ServerRecord decode;
  /// The prefill engine; if unset, the decode engine does the prefill itself.
  std::optional<ServerRecord> prefill;
  /// Prompt tokens that the prefill engine processes before this request's.
  std::uint64_t prefill_backlog = 0;
};

/// A waiting request and the engines that it must not get.
struct WaitingDemand {
  ModelDemand demand;
  std::vector<ServerIncarnation> excluded;
};

/// Why a request was not placed.
enum class PlacementFailure {
  kMustWait,  ///< No decode engine has room after the requests ahead in queue.
  kNoEngine,  ///< No usable decode engine is left to try.
};

/// Places model requests on prefill and decode engines. A request gets a decode
/// engine whose memory, by the expected output lengths, holds the request and
/// the streams already there until they end. So no stream is evicted and no
/// prefill is wasted. Every host that places requests computes the same order
/// of all waiting ones, so that each is placed when it is its turn.
class ModelPlacer {
 public:
  /// Share of an engine's memory that streams may fill at their expected peak.
  static constexpr double kMemoryShare = 0.86;
  /// Prefill speed that times are computed from while the engines of a service
  /// are alike.
  static constexpr double kPrefillTokensPerSecond = 50'000;
  /// Preference for the local data centre, as a share of an engine's memory.
  static constexpr double kLocalDataCentreBonus = 0.06;
  /// Later end of a prefill that counts as much as the longer way to another
  /// data centre.
  static constexpr Duration kRemotePenalty = std::chrono::milliseconds(40);
  /// Share of an engine's memory that counts as much as streams of twice the
  /// pace. Less than a tenth gives the slow engines so many streams that their
  /// first events are late.
  static constexpr double kPaceBonus = 0.2;

  ModelPlacer(const EngineLoadTracker& load_tracker, const ServerPool& pool)
      : load_tracker_(load_tracker), pool_(pool) {}

  /// A placement, or why there is none.
  struct Answer {
    std::optional<ModelPlacement> placement;
    PlacementFailure failure = PlacementFailure::kMustWait;
    /// How long the request is expected to wait; set by an owner's answer.
    Duration expected_wait = Duration::zero();
  };
  /// Chooses engines for `demand` of `request`, which may be waiting already.
  /// Engines in `excluded` are not chosen.
  Answer Place(const ModelDemand& demand,
               const HostRequest& request,
               const EngineTraits& traits,
               std::span<const ServerIncarnation> excluded,
               TimePoint now,
               RandomSource& random) const;

  /// Places the requests of `waiting`, in this order, until one finds no room.
  /// Returns the answers to those before it and, if a request found no usable
  /// engine, to that one. A stream that finds no engine of its version stops
  /// nothing; its answer says that it must wait, or that there is none.
  std::vector<Answer> PlaceInOrder(std::span<const WaitingDemand> waiting,
                                   const EngineTraits& traits,
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

  /// Estimates how long `demand` would wait for an engine, from its place in
  /// the order of all waiting requests.
  [[nodiscard]] Duration ExpectedWait(const ModelDemand& demand,
                                      TimePoint now) const;

  /// Returns the peak number of tokens that `streams` and `added` together will
  /// hold if all of them progress at the same speed.
  static std::uint64_t PeakTokens(std::vector<StreamLoad> streams,
                                  const StreamLoad& added);

 private:
  /// An engine with the streams on it and those tentatively placed there.
  struct Candidate {
    ServerRecord server;
    std::vector<StreamLoad> streams;
    double jitter = 0;      ///< Decides between equal engines.
    double pace_bonus = 0;  ///< Zero at the usual pace.
    Duration first_event =
        Duration::zero();  ///< Time for its tokens, if known.
  };
  /// What a request needs of a decode engine.
  struct Need {
    StreamLoad load;
    std::optional<SoftwareVersion> software;
    DataCentreId data_centre;
    /// Time from the prefill's end until the first event is due.
    Duration first_event_within = Duration::max();
  };

  /// Returns the usable decode engines that are not in `excluded`.
  std::vector<Candidate> Candidates(const ServiceId& service,
                                    const EngineTraits& traits,
                                    std::span<const ServerIncarnation> excluded,
                                    TimePoint now,
                                    RandomSource& random) const;
  /// Returns why a request finds no decode engine at all.
  [[nodiscard]] PlacementFailure FailureWithoutCandidate(
      const ModelDemand& demand,
      std::span<const ServerIncarnation> excluded,
      TimePoint now) const;
  /// Returns the placement on `decode` with the best prefill engine.
  ModelPlacement Complete(const ServerRecord& decode,
                          const ModelDemand& demand,
                          std::span<const ServerIncarnation> excluded,
                          TimePoint now,
                          RandomSource& random) const;
  /// Returns whether a request that needs an engine of `software`, if that is
  /// set, may get the candidate.
  static bool Suits(const Candidate& candidate,
                    const std::optional<SoftwareVersion>& software);
  /// Returns the index of the best candidate that has room for the request;
  /// nullopt if there is none. One that is too slow for its first event comes
  /// after all others.
  static std::optional<std::size_t> FindRoom(
      std::span<const Candidate> candidates,
      const Need& need,
      const EngineTraits& traits);
  [[nodiscard]] Need NeedOf(const ModelDemand& demand, TimePoint now) const;
  /// Returns the least time in which a prefill engine would process the prompt.
  [[nodiscard]] Duration LeastPrefillTime(const ModelDemand& demand,
                                          TimePoint now) const;
  /// Returns the prefill speed of `engine`, in tokens per second.
  [[nodiscard]] double PrefillSpeed(const ServerRecord& engine) const;

  const EngineLoadTracker& load_tracker_;
  const ServerPool& pool_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_FORWARD_MODEL_PLACER_H_
