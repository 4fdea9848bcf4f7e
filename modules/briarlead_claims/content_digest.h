#ifndef BRIARLEAD_CLAIMS_CONTENT_DIGEST_H_
#define BRIARLEAD_CLAIMS_CONTENT_DIGEST_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string_view>

namespace briarlead {

/// The first 128 bits of a SHA-256 digest: identifies content without storing
/// it.
struct ContentDigest {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  friend auto operator<=>(const ContentDigest&, const ContentDigest&) = default;
};

/// Returns the digest of `parts`. The length of each part is hashed with it, so
/// that the same bytes split differently have a different digest.
ContentDigest DigestOf(std::initializer_list<std::string_view> parts);

}  // namespace briarlead

template <>
struct std::hash<briarlead::ContentDigest> {
  std::size_t operator()(
      const briarlead::ContentDigest& digest) const noexcept {
    return static_cast<std::size_t>(digest.low);
  }
};

#endif  // BRIARLEAD_CLAIMS_CONTENT_DIGEST_H_
