#ifndef BRIARLEAD_CORE_RANDOM_SOURCE_H_
#define BRIARLEAD_CORE_RANDOM_SOURCE_H_

#include <cstdint>
#include <random>

#include "briarlead_core/time.h"

namespace briarlead {

/// Seeded random numbers. The same seed gives the same numbers on every
/// machine: the distributions are worked out here, since those of the standard
/// library differ between implementations.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : engine_(seed) {}

  /// Returns a number in [0, bound); `bound` must be above zero.
  std::uint64_t Below(std::uint64_t bound);

  /// Returns a number in [0, 1).
  double Unit();

  /// Returns true with probability `chance`.
  bool Chance(double chance) { return Unit() < chance; }

  /// Returns a duration in [low, high).
  Duration Between(Duration low, Duration high);

  /// Returns a number of the exponential distribution with the given mean.
  double Exponential(double mean);

  /// Returns a number of the normal distribution with mean 0, deviation 1.
  double Normal();

 private:
  std::mt19937_64 engine_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_CORE_RANDOM_SOURCE_H_
