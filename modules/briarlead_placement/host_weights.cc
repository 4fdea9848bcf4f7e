#include "briarlead_placement/host_weights.h"

#include <algorithm>
#include <cmath>

namespace briarlead {

namespace {

/// The greatest scores round to 1, whose logarithm is zero.
constexpr double kLeastLogarithm = 1e-20;

}  // namespace

double HostWeights::FromCpuShare(double cpu_share) {
  if (!(cpu_share > 0))
    return 1;
  return std::clamp(cpu_share / kUsualCpuShare, kMinWeight, kMaxWeight);
}

void HostWeights::Add(const HostCapacities& capacities) {
  for (const HostCapacities::Entry& it : capacities.hosts) {
    // Every host must read the same weight, also from a wrong message.
    if (std::isfinite(it.weight))
      weights_[it.peers] = std::clamp(it.weight, kMinWeight, kMaxWeight);
  }
}

double HostWeights::Of(const Endpoint& host) const {
  const auto found = weights_.find(host);
  return found == weights_.end() ? 1 : found->second;
}

double WeightedScore(std::uint64_t score, double weight) {
  const double unit = std::ldexp(static_cast<double>(score) + 0.5, -64);
  return weight / std::max(-std::log(unit), kLeastLogarithm);
}

}  // namespace briarlead
