#include "briarlead_dispatch/urgent_reserve.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>

namespace briarlead {
namespace {

constexpr double kRateWindowSeconds = 60.0;
constexpr double kPatienceSampleWeight = 0.05;
constexpr double kMaxCorrectionSlots = 3.0;
constexpr double kMinCorrectionSlots = -1.0;
/// Change of the correction for one late request, in slots.
constexpr double kLateStep = 0.25;
/// Expected arrivals within their patience below which nothing is kept.
constexpr double kNegligibleArrivals = 0.01;
constexpr std::size_t kMaxEvents = 48;

using Distribution = std::array<double, kMaxEvents>;

Distribution Poisson(double mean) {
  Distribution chances{};
  chances[0] = std::exp(-mean);
  for (std::size_t n = 1; n < kMaxEvents; ++n)
    chances[n] = chances[n - 1] * mean / static_cast<double>(n);
  return chances;
}

/// Returns the probability that arrivals outrun frees by `lead` or more.
double ChanceOfLead(const Distribution& arrivals,
                    const Distribution& frees,
                    std::size_t lead) {
  double chance = 0.0;
  double frees_up_to = 0.0;
  for (std::size_t n = lead; n < kMaxEvents; ++n) {
    frees_up_to += frees[n - lead];
    chance += arrivals[n] * frees_up_to;
  }
  return chance;
}

}  // namespace

void UrgentReserve::Rate::Add(TimePoint now) {
  weight =
      weight * std::exp(-ToSeconds(now - updated) / kRateWindowSeconds) + 1;
  updated = now;
}

double UrgentReserve::Rate::PerSecond(TimePoint now) const {
  const double faded =
      weight * std::exp(-ToSeconds(now - updated) / kRateWindowSeconds);
  return faded / kRateWindowSeconds;
}

void UrgentReserve::OnArrival(Duration patience, TimePoint now) {
  arrivals_.Add(now);
  const double seconds = std::max(ToSeconds(patience), 0.0);
  patience_seconds_ += kPatienceSampleWeight * (seconds - patience_seconds_);
}

void UrgentReserve::OnSlotFreed(TimePoint now) {
  frees_.Add(now);
}

void UrgentReserve::OnStarted(bool on_time) {
  const double lateness = 1.0 - confidence_;
  correction_ += on_time ? -kLateStep * lateness : kLateStep;
  correction_ =
      std::clamp(correction_, kMinCorrectionSlots, kMaxCorrectionSlots);
}

std::uint32_t UrgentReserve::Slots(std::uint32_t limit, TimePoint now) const {
  const double arrivals = arrivals_.PerSecond(now) * patience_seconds_;
  if (arrivals < kNegligibleArrivals)
    return 0;
  const double frees = frees_.PerSecond(now) * patience_seconds_;
  const Distribution arriving = Poisson(arrivals);
  const Distribution freed = Poisson(frees);
  std::uint32_t slots = 0;
  while (slots < limit &&
         ChanceOfLead(arriving, freed, slots + 1) > 1.0 - confidence_)
    ++slots;
  const double corrected = std::round(slots + correction_);
  return static_cast<std::uint32_t>(
      std::clamp(corrected, 0.0, static_cast<double>(limit)));
}

}  // namespace briarlead
