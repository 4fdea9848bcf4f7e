#ifndef BRIARLEAD_DISPATCH_SLOT_FORECAST_H_
#define BRIARLEAD_DISPATCH_SLOT_FORECAST_H_

#include <cstddef>

#include "briarlead_core/time.h"
#include "briarlead_dispatch/cost_model.h"
#include "briarlead_dispatch/engine_ledger.h"

namespace briarlead {

/// Forecasts how many slots of a decode engine become free.
class SlotForecast {
 public:
  /// `costs` must outlive this object.
  explicit SlotForecast(const CostModel& costs) : costs_(costs) {}

  /// Returns the probability that at least `count` of the requests in transfer
  /// or decode on `engine` end by `by`.
  [[nodiscard]] double ProbabilityOfFreedSlots(const DecodeEngine& engine,
                                               std::size_t count,
                                               TimePoint by,
                                               TimePoint now) const;

 private:
  [[nodiscard]] double ProbabilityOfEnd(const ActivePlacement& placement,
                                        TimePoint by,
                                        TimePoint now) const;

  const CostModel& costs_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_DISPATCH_SLOT_FORECAST_H_
