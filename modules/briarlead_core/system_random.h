#ifndef BRIARLEAD_CORE_SYSTEM_RANDOM_H_
#define BRIARLEAD_CORE_SYSTEM_RANDOM_H_

#include <cstdint>

namespace briarlead {

/// Returns a non-zero random number from the operating system, for identifiers
/// and seeds.
std::uint64_t SystemRandomNumber();

}  // namespace briarlead

#endif  // BRIARLEAD_CORE_SYSTEM_RANDOM_H_
