#ifndef BRIARLEAD_ROUTES_PROMPT_PART_H_
#define BRIARLEAD_ROUTES_PROMPT_PART_H_

#include <compare>
#include <cstdint>

namespace briarlead {

/// Names a part of a prompt that several requests may share: a number of 64
/// bits made from the name that callers give the part.
struct PromptPartId {
  std::uint64_t value = 0;

  friend auto operator<=>(const PromptPartId&, const PromptPartId&) = default;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ROUTES_PROMPT_PART_H_
