#ifndef BRIARLEAD_ROUTES_SUSPECT_ID_H_
#define BRIARLEAD_ROUTES_SUSPECT_ID_H_

#include <compare>
#include <cstdint>

namespace briarlead {

/// Names a part of a prompt that several requests may share: a number of 64
/// bits made from the name that callers give the part.
struct SuspectId {
  std::uint64_t value = 0;

  friend auto operator<=>(const SuspectId&, const SuspectId&) = default;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ROUTES_SUSPECT_ID_H_
