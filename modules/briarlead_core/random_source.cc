#include "briarlead_core/random_source.h"

#include <cmath>
#include <numbers>

namespace briarlead {

std::uint64_t RandomSource::Below(std::uint64_t bound) {
  return engine_() % bound;
}

double RandomSource::Unit() {
  // Uses the upper 53 bits, as many as a double holds exactly.
  return static_cast<double>(engine_() >> 11) * 0x1.0p-53;
}

Duration RandomSource::Between(Duration low, Duration high) {
  if (high <= low)
    return low;
  const auto width = static_cast<std::uint64_t>((high - low).count());
  return low + Duration(static_cast<Duration::rep>(Below(width)));
}

double RandomSource::Exponential(double mean) {
  // Inverse transform sampling.
  return -mean * std::log1p(-Unit());
}

double RandomSource::Normal() {
  // Box-Muller transform.
  const double radius = std::sqrt(-2.0 * std::log1p(-Unit()));
  return radius * std::cos(2.0 * std::numbers::pi * Unit());
}

}  // namespace briarlead
