#include "briarlead_core/system_random.h"

#include <sys/random.h>

namespace briarlead {

std::uint64_t SystemRandomNumber() {
  std::uint64_t number = 0;
  while (number == 0) {
    if (getrandom(&number, sizeof(number), 0) !=
        static_cast<ssize_t>(sizeof(number))) {
      number = 0;
    }
  }
  return number;
}

}  // namespace briarlead
