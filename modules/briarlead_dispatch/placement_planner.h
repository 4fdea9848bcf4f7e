#ifndef BRIARLEAD_DISPATCH_PLACEMENT_PLANNER_H_
#define BRIARLEAD_DISPATCH_PLACEMENT_PLANNER_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "briarlead_core/identifiers.h"
#include "briarlead_core/time.h"
#include "briarlead_dispatch/active_placement.h"
#include "briarlead_dispatch/cost_model.h"
#include "briarlead_dispatch/dispatcher_options.h"
#include "briarlead_dispatch/engine_health.h"
#include "briarlead_dispatch/engine_ledger.h"
#include "briarlead_dispatch/prefix_cache_estimate.h"
#include "briarlead_dispatch/slot_forecast.h"

namespace briarlead {

/// A reservation of a prefill engine, a decode slot and a link together.
struct PlacementPlan {
  BackendServerId prefill_server;
  BackendServerId decode_server;
  std::uint32_t prefill_tokens = 0;
  std::uint64_t kv_bytes = 0;
  std::uint64_t memory_bytes = 0;
  Duration prefill_ahead{};
  Duration prefill_time{};
  Duration transfer_time{};
  TimePoint ready_at;           ///< Expected end of the prefill.
  bool waits_for_slot = false;  ///< The decode slot is not free yet.
};

/// Conditions under which a request may start.
struct PlanLimits {
  std::uint32_t reserve = 0;     ///< Free slots to leave for other requests.
  double confidence = 1.0;       ///< Minimum probability of a slot in time.
  Duration max_prefill_ahead{};  ///< Largest prefill work ahead.
  /// Largest number of requests that may wait for a slot on one engine.
  std::uint32_t max_waiting_for_slot = 64;
};

/// Finds the engines on which a request can start now.
class PlacementPlanner {
 public:
  /// All arguments must outlive the planner.
  PlacementPlanner(const DispatcherOptions& options,
                   const EngineLedger& ledger,
                   const CostModel& costs,
                   const EngineHealth& health,
                   const PrefixCacheEstimate& prefixes)
      : options_(options),
        ledger_(ledger),
        costs_(costs),
        health_(health),
        prefixes_(prefixes),
        slot_forecast_(costs) {}

  /// Returns the reservation with which `placement` starts soonest within
  /// `limits`; nullopt when the request has to wait.
  [[nodiscard]] std::optional<PlacementPlan> Plan(
      const ActivePlacement& placement,
      const PlanLimits& limits,
      TimePoint now) const;

  /// Returns whether a prefill engine can take `placement` now.
  [[nodiscard]] bool HasPrefillCapacity(const ActivePlacement& placement,
                                        const PlanLimits& limits,
                                        TimePoint now) const {
    PlacementPlan plan;
    return ChoosePrefill(placement, limits, now, plan);
  }

 private:
  /// Current use of one decode engine's slots.
  struct SlotCount {
    std::uint32_t allowed = 0;       ///< Slots that may be used now.
    std::uint32_t in_prefill = 0;    ///< Held by requests still in prefill.
    std::uint32_t past_prefill = 0;  ///< Held by requests past their prefill.
  };

  [[nodiscard]] SlotCount CountSlots(const DecodeEngine& engine,
                                     TimePoint now) const;
  /// Returns the number of free decode slots of the shard.
  [[nodiscard]] std::uint32_t FreeSlots(TimePoint now) const;
  /// Chooses the prefill engine that would finish first; returns false when
  /// none can take the request.
  [[nodiscard]] bool ChoosePrefill(const ActivePlacement& placement,
                                   const PlanLimits& limits,
                                   TimePoint now,
                                   PlacementPlan& plan) const;
  /// Chooses the decode engine with the most free slots; returns false when
  /// none can take the request.
  [[nodiscard]] bool ChooseDecode(const ActivePlacement& placement,
                                  const PlanLimits& limits,
                                  TimePoint now,
                                  PlacementPlan& plan) const;
  /// Returns whether the KV cache fits into the engine's memory and can be
  /// transferred within its lifetime or, if it is too large to share the link,
  /// has the link to itself.
  [[nodiscard]] bool Fits(const DecodeEngine& engine,
                          const PlacementPlan& plan,
                          Duration transfer_time) const;
  /// Returns whether enough slots are likely to become free in time for the
  /// plan.
  [[nodiscard]] bool SlotsFreeInTime(const ActivePlacement& placement,
                                     const DecodeEngine& engine,
                                     const SlotCount& count,
                                     const PlanLimits& limits,
                                     std::uint32_t reserve_missing,
                                     const PlacementPlan& plan,
                                     TimePoint now) const;

  const DispatcherOptions& options_;
  const EngineLedger& ledger_;
  const CostModel& costs_;
  const EngineHealth& health_;
  const PrefixCacheEstimate& prefixes_;
  SlotForecast slot_forecast_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_DISPATCH_PLACEMENT_PLANNER_H_
