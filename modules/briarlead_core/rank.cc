#include "briarlead_core/rank.h"

namespace briarlead {

std::string_view ToString(Rank rank) {
  return rank == Rank::kUrgent ? "urgent" : "patient";
}

}  // namespace briarlead
