#include "briarlead_dispatch/urgent_reserve.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>

namespace briarlead {
namespace {

constexpr double kRateDecaySeconds = 60.0;
constexpr double kMaxWaitSampleWeight = 0.05;
constexpr double kMaxCorrectionSlots = 3.0;
constexpr double kMinCorrectionSlots = -1.0;
/// Change of the correction for one late start, in slots.
constexpr double kCorrectionPerLateStart = 0.25;
/// Expected number of arrivals within the maximum wait below which no slot is
/// kept.
constexpr double kNegligibleArrivals = 0.01;
constexpr std::size_t kMaxEvents = 48;

using Distribution = std::array<double, kMaxEvents>;

Distribution Poisson(double mean) {
  Distribution probabilities{};
  probabilities[0] = std::exp(-mean);
  for (std::size_t n = 1; n < kMaxEvents; ++n)
    probabilities[n] = probabilities[n - 1] * mean / static_cast<double>(n);
  return probabilities;
}

/// Returns the probability that arrivals exceed freed slots by `excess` or
/// more.
double ProbabilityOfExcess(const Distribution& arrivals,
                           const Distribution& freed_slots,
                           std::size_t excess) {
  double probability = 0.0;
  double freed_up_to = 0.0;
  for (std::size_t n = excess; n < kMaxEvents; ++n) {
    freed_up_to += freed_slots[n - excess];
    probability += arrivals[n] * freed_up_to;
  }
  return probability;
}

}  // namespace

void UrgentReserve::DecayingRate::Add(TimePoint now) {
  weight = weight * std::exp(-ToSeconds(now - updated) / kRateDecaySeconds) + 1;
  updated = now;
}

double UrgentReserve::DecayingRate::PerSecond(TimePoint now) const {
  const double decayed_weight =
      weight * std::exp(-ToSeconds(now - updated) / kRateDecaySeconds);
  return decayed_weight / kRateDecaySeconds;
}

void UrgentReserve::OnArrival(Duration max_wait, TimePoint now) {
  arrivals_.Add(now);
  const double seconds = std::max(ToSeconds(max_wait), 0.0);
  max_wait_seconds_ += kMaxWaitSampleWeight * (seconds - max_wait_seconds_);
}

void UrgentReserve::OnSlotFreed(TimePoint now) {
  freed_slots_.Add(now);
}

void UrgentReserve::OnStarted(bool on_time) {
  const double lateness = 1.0 - confidence_;
  correction_ +=
      on_time ? -kCorrectionPerLateStart * lateness : kCorrectionPerLateStart;
  correction_ =
      std::clamp(correction_, kMinCorrectionSlots, kMaxCorrectionSlots);
}

std::uint32_t UrgentReserve::Slots(std::uint32_t limit, TimePoint now) const {
  const double arrivals = arrivals_.PerSecond(now) * max_wait_seconds_;
  if (arrivals < kNegligibleArrivals)
    return 0;
  const double freed_slots = freed_slots_.PerSecond(now) * max_wait_seconds_;
  const Distribution arriving = Poisson(arrivals);
  const Distribution freeing = Poisson(freed_slots);
  std::uint32_t slots = 0;
  while (slots < limit &&
         ProbabilityOfExcess(arriving, freeing, slots + 1) > 1.0 - confidence_)
    ++slots;
  const double corrected = std::round(slots + correction_);
  return static_cast<std::uint32_t>(
      std::clamp(corrected, 0.0, static_cast<double>(limit)));
}

}  // namespace briarlead
