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

/// The joint reservation of prefill engine, decode slot and link.
struct PlacementPlan {
  BackendServerId prefill_server;
  BackendServerId decode_server;
  std::uint32_t prefill_tokens = 0;
  std::uint64_t kv_bytes = 0;
  std::uint64_t memory_bytes = 0;
  Duration prefill_ahead{};
  Duration prefill_time{};
  Duration transfer_time{};
  TimePoint ready_at;           ///< When the prefill should end.
  bool waits_for_slot = false;  ///< Counts on a slot that is not free yet.
};

/// What a request may take.
struct PlanLimits {
  std::uint32_t reserve = 0;     ///< Free slots to leave to others.
  double confidence = 1.0;       ///< Least probability of a slot in time.
  Duration max_prefill_ahead{};  ///< Prefill work that may go before it.
  /// Requests that may count on slots not free yet, on one engine.
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
        slots_(costs) {}

  /// Returns the reservation with which `placement` starts soonest within
  /// `limits`; nullopt when it has to wait.
  [[nodiscard]] std::optional<PlacementPlan> Plan(
      const ActivePlacement& placement,
      const PlanLimits& limits,
      TimePoint now) const;

  /// Returns whether a prefill engine could take `placement` now.
  [[nodiscard]] bool HasPrefillRoom(const ActivePlacement& placement,
                                    const PlanLimits& limits,
                                    TimePoint now) const {
    PlacementPlan plan;
    return ChoosePrefill(placement, limits, now, plan);
  }

 private:
  /// Slots of one decode engine, as they stand.
  struct SlotCount {
    std::uint32_t allowed = 0;   ///< The engine may hold this many now.
    std::uint32_t promised = 0;  ///< Held by requests still in prefill.
    std::uint32_t occupied = 0;  ///< Held by requests past their prefill.
  };

  [[nodiscard]] SlotCount CountSlots(const DecodeEngine& engine,
                                     TimePoint now) const;
  /// Returns the slots of the shard that nothing holds.
  [[nodiscard]] std::uint32_t FreeSlots(TimePoint now) const;
  /// Chooses the prefill engine that would be done first.
  [[nodiscard]] bool ChoosePrefill(const ActivePlacement& placement,
                                   const PlanLimits& limits,
                                   TimePoint now,
                                   PlacementPlan& plan) const;
  /// Chooses the decode engine with the most room.
  [[nodiscard]] bool ChooseDecode(const ActivePlacement& placement,
                                  const PlanLimits& limits,
                                  TimePoint now,
                                  PlacementPlan& plan) const;
  /// Returns whether the KV cache fits into memory and through the link.
  [[nodiscard]] bool Fits(const DecodeEngine& engine,
                          const PlacementPlan& plan,
                          Duration transfer_time) const;
  /// Returns whether slots not free yet will be, in time for the plan.
  [[nodiscard]] bool FreesInTime(const ActivePlacement& placement,
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
  SlotForecast slots_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_DISPATCH_PLACEMENT_PLANNER_H_
