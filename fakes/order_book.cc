#include "fakes/order_book.h"

#include <algorithm>

namespace briarlead {

bool OrderBook::Admit(std::uint64_t fencing) {
  if (fencing < highest_ && !ignore_fencing_)
    return false;
  highest_ = std::max(highest_, fencing);
  return true;
}

}  // namespace briarlead
