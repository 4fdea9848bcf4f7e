#include "briarlead_dispatch/slot_forecast.h"

#include <algorithm>
#include <array>

namespace briarlead {
namespace {

/// Largest number of frees that is told apart.
constexpr std::size_t kMaxFrees = 16;
/// The forecast counts on this part of the time left: streams slow down as an
/// engine fills, and their ends are learnt of late.
constexpr double kTimeShareCountedOn = 0.9;

}  // namespace

double SlotForecast::ChanceOfEnd(const ActivePlacement& placement,
                                 TimePoint by,
                                 TimePoint now) const {
  const double step = costs_.StepSeconds(placement.decode_server);
  double tokens = 0.0;
  Duration left = by - now;
  if (placement.stage == PlacementStage::kDecode) {
    tokens = placement.attempt_tokens +
             ToSeconds(now - placement.progress_at) / step;
  } else {
    left -= placement.transfer_time;
  }
  if (left <= Duration::zero())
    return 0.0;
  tokens += placement.placement.delivered_tokens;
  const double beyond_now = costs_.ShareLongerThan(placement.placement, tokens);
  if (beyond_now <= 0.0)
    return 1.0;
  const double later = tokens + kTimeShareCountedOn * ToSeconds(left) / step;
  return 1.0 - costs_.ShareLongerThan(placement.placement, later) / beyond_now;
}

double SlotForecast::ChanceOfFrees(const DecodeEngine& engine,
                                   std::size_t count,
                                   TimePoint by,
                                   TimePoint now) const {
  if (count == 0)
    return 1.0;
  if (count > kMaxFrees)
    return 0.0;
  // chances[n]: probability of exactly n ends; the last holds `count` or more.
  std::array<double, kMaxFrees + 1> chances{};
  chances[0] = 1.0;
  for (const ActivePlacement* it : engine.held) {
    if (it->stage == PlacementStage::kPrefill)
      continue;
    const double chance = ChanceOfEnd(*it, by, now);
    chances[count] += chances[count - 1] * chance;
    for (std::size_t n = count - 1; n > 0; --n)
      chances[n] += chance * (chances[n - 1] - chances[n]);
    chances[0] *= 1.0 - chance;
  }
  return chances[count];
}

}  // namespace briarlead
