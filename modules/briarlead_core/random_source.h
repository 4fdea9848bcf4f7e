#ifndef BRIARLEAD_CORE_RANDOM_SOURCE_H_
#define BRIARLEAD_CORE_RANDOM_SOURCE_H_

#include <cstdint>
#include <random>

#include "briarlead_core/time.h"

namespace briarlead {

/// Seeded pseudo-random number generator. The same seed gives the same numbers
/// on every machine: the distributions are implemented here, because those of
/// the standard library differ between implementations.
class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : engine_(seed) {}

  /// Returns a uniformly distributed integer in [0, bound); `bound` must be
  /// above zero.
  std::uint64_t Below(std::uint64_t bound);

  /// Returns a uniformly distributed number in [0, 1).
  double Unit();

  /// Returns true with probability `chance`.
  bool Chance(double chance) { return Unit() < chance; }

  /// Returns a uniformly distributed duration in [low, high), or `low` when
  /// that range is empty.
  Duration Between(Duration low, Duration high);

  /// Returns an exponentially distributed number with the given mean.
  double Exponential(double mean);

  /// Returns a normally distributed number with mean 0 and standard
  /// deviation 1.
  double Normal();

 private:
  std::mt19937_64 engine_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_CORE_RANDOM_SOURCE_H_
