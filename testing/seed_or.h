#ifndef TESTING_SEED_OR_H_
#define TESTING_SEED_OR_H_

#include <cstdint>
#include <cstdlib>

namespace briarlead {

/// Returns the seed in the variable BRIARLEAD_SEED, for runs by hand; `seed` if
/// there is none.
inline std::uint64_t SeedOr(std::uint64_t seed) {
  const char* given = std::getenv("BRIARLEAD_SEED");
  return given == nullptr ? seed : std::strtoull(given, nullptr, 10);
}

}  // namespace briarlead

#endif  // TESTING_SEED_OR_H_
