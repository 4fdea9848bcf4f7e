#ifndef BRIARLEAD_DISPATCH_ADMISSION_CONTROL_H_
#define BRIARLEAD_DISPATCH_ADMISSION_CONTROL_H_

#include <string_view>

#include "briarlead_core/time.h"
#include "briarlead_dispatch/active_placement.h"
#include "briarlead_dispatch/dispatcher_options.h"
#include "briarlead_dispatch/engine_ledger.h"
#include "briarlead_dispatch/placement_queue.h"
#include "briarlead_dispatch/retry_after_forecast.h"

namespace briarlead {

/// Whether a request is admitted to the queue.
struct AdmissionDecision {
  bool admitted = true;
  Duration retry_after{};   ///< Set when not admitted.
  std::string_view reason;  ///< Set when not admitted.
};

/// Admits a request to the queue or refuses it at once, from the forecast of
/// its wait and the size limits of the queue.
class AdmissionControl {
 public:
  /// All arguments must outlive this object.
  AdmissionControl(const DispatcherOptions& options,
                   const EngineLedger& ledger,
                   const PlacementQueue& queue)
      : options_(options), ledger_(ledger), queue_(queue) {}

  /// Decides about a request that is not in the queue yet.
  [[nodiscard]] AdmissionDecision Decide(const ActivePlacement& placement,
                                         TimePoint now) const;

  /// Returns the expected wait of a request that is not in the queue yet.
  [[nodiscard]] Duration ExpectedWait(const ActivePlacement& placement,
                                      TimePoint now) const;

  /// Returns the capacity that serves `rank` when requests of both ranks are
  /// waiting.
  [[nodiscard]] ServingCapacity CapacityOf(Rank rank) const;

 private:
  /// Returns the time that the late backlog, with `added`, takes on its
  /// guaranteed share of the capacity, divided by the limit for that time.
  [[nodiscard]] double LateBacklogUse(const PlacementCost& added) const;
  const DispatcherOptions& options_;
  const EngineLedger& ledger_;
  const PlacementQueue& queue_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_DISPATCH_ADMISSION_CONTROL_H_
