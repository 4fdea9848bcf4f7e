#ifndef BRIARLEAD_ROUTES_SUSPECT_ID_H_
#define BRIARLEAD_ROUTES_SUSPECT_ID_H_

#include <compare>
#include <cstdint>

namespace briarlead {

/// Names what several requests may have in common and what may end the backend
/// servers that run them: a part of a prompt, by the name that callers give it,
/// or the content of a request, by hashes of its head and its body.
struct SuspectId {
  /// Set for the content of a request, clear for a part of a prompt.
  static constexpr std::uint64_t kRequestBit = 1ULL << 63U;
  /// The bits of a request's name that stand for its body.
  static constexpr std::uint64_t kBodyMask = 0xffff'ffff;

  std::uint64_t value = 0;

  [[nodiscard]] bool is_request() const { return (value & kRequestBit) != 0; }
  friend auto operator<=>(const SuspectId&, const SuspectId&) = default;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ROUTES_SUSPECT_ID_H_
