#include "briarlead_dispatch/slot_forecast.h"

#include <algorithm>
#include <array>

namespace briarlead {
namespace {

/// Largest number of freed slots that the forecast distinguishes.
constexpr std::size_t kMaxFreedSlots = 16;
/// Share of the remaining time that the forecast uses: streams slow down as an
/// engine fills, and the dispatcher learns of their end with a delay.
constexpr double kUsableTimeShare = 0.9;

}  // namespace

double SlotForecast::ProbabilityOfEnd(const ActivePlacement& placement,
                                      TimePoint by,
                                      TimePoint now) const {
  const double step = costs_.StepSeconds(placement.decode_server);
  double tokens = 0.0;
  Duration left = by - now;
  if (placement.stage == PlacementStage::kDecode) {
    tokens = placement.attempt_tokens +
             ToSeconds(now - placement.last_progress_at) / step;
  } else {
    left -= placement.transfer_time;
  }
  if (left <= Duration::zero())
    return 0.0;
  tokens += placement.placement.delivered_tokens;
  const double longer_than_now =
      costs_.ProbabilityLongerThan(placement.placement, tokens);
  if (longer_than_now <= 0.0)
    return 1.0;
  const double later = tokens + kUsableTimeShare * ToSeconds(left) / step;
  return 1.0 - costs_.ProbabilityLongerThan(placement.placement, later) /
                   longer_than_now;
}

double SlotForecast::ProbabilityOfFreedSlots(const DecodeEngine& engine,
                                             std::size_t count,
                                             TimePoint by,
                                             TimePoint now) const {
  if (count == 0)
    return 1.0;
  if (count > kMaxFreedSlots)
    return 0.0;
  // probabilities[n] is the probability that exactly n requests end; the last
  // element stands for `count` or more.
  std::array<double, kMaxFreedSlots + 1> probabilities{};
  probabilities[0] = 1.0;
  for (const ActivePlacement* it : engine.held) {
    if (it->stage == PlacementStage::kPrefill)
      continue;
    const double probability = ProbabilityOfEnd(*it, by, now);
    probabilities[count] += probabilities[count - 1] * probability;
    for (std::size_t n = count - 1; n > 0; --n)
      probabilities[n] +=
          probability * (probabilities[n - 1] - probabilities[n]);
    probabilities[0] *= 1.0 - probability;
  }
  return probabilities[count];
}

}  // namespace briarlead
