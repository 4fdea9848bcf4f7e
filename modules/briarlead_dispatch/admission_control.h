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

/// Whether a request is taken into the queue.
struct AdmissionVerdict {
  bool admitted = true;
  Duration retry_after{};   ///< Set when not admitted.
  std::string_view reason;  ///< Set when not admitted.
};

/// Takes a request into the queue or refuses it at once, by the forecast of
/// its wait and the bounds of the queue.
class AdmissionControl {
 public:
  /// All arguments must outlive this object.
  AdmissionControl(const DispatcherOptions& options,
                   const EngineLedger& ledger,
                   const PlacementQueue& queue)
      : options_(options), ledger_(ledger), queue_(queue) {}

  /// Judges a request that is not in the queue yet.
  [[nodiscard]] AdmissionVerdict Judge(const ActivePlacement& placement,
                                       TimePoint now) const;

  /// Returns the expected wait of such a request.
  [[nodiscard]] Duration ExpectedWait(const ActivePlacement& placement,
                                      TimePoint now) const;

  /// Returns what serves `rank` while both ranks wait.
  [[nodiscard]] ServingCapacity CapacityOf(Rank rank) const;

 private:
  /// Returns how long the late backlog takes on its guaranteed share, over
  /// the limit for it.
  [[nodiscard]] double LateBacklogUse(const PlacementCost& added) const;
  const DispatcherOptions& options_;
  const EngineLedger& ledger_;
  const PlacementQueue& queue_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_DISPATCH_ADMISSION_CONTROL_H_
