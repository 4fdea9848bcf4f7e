#ifndef BRIARLEAD_PLACEMENT_HOST_WEIGHTS_H_
#define BRIARLEAD_PLACEMENT_HOST_WEIGHTS_H_

#include <cstdint>
#include <map>

#include "briarlead_core/endpoint.h"
#include "briarlead_routes/capacity_message.h"

namespace briarlead {

/// How much work each entry host can do, relative to one of weight 1. A host
/// without a known weight has weight 1.
class HostWeights {
 public:
  static constexpr double kMinWeight = 0.25;
  static constexpr double kMaxWeight = 8;
  /// Share of a core of a host of weight 1.
  static constexpr double kUsualCpuShare = 0.1;

  /// Returns the weight of a host with `cpu_share` of a core; zero stands for
  /// an unknown share.
  [[nodiscard]] static double FromCpuShare(double cpu_share);

  /// Adds the weights in `capacities`. Those out of bounds are limited to them.
  void Add(const HostCapacities& capacities);
  [[nodiscard]] double Of(const Endpoint& host) const;

  friend bool operator==(const HostWeights&, const HostWeights&) = default;

 private:
  std::map<Endpoint, double> weights_;
};

/// Returns the score of a host of `weight` in weighted rendezvous hashing, from
/// its `score` in the unweighted one. A host has the highest score for a part
/// of all keys that is proportional to its weight. A changed weight moves only
/// keys that this host gains or loses.
[[nodiscard]] double WeightedScore(std::uint64_t score, double weight);

}  // namespace briarlead

#endif  // BRIARLEAD_PLACEMENT_HOST_WEIGHTS_H_
