#ifndef BRIARLEAD_ACCOUNTS_KEY_DIGEST_H_
#define BRIARLEAD_ACCOUNTS_KEY_DIGEST_H_

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace briarlead {

/// SHA-256 digest of a client account's key. Keys themselves are not kept, and
/// neither keys nor digests are logged.
struct KeyDigest {
  static constexpr std::size_t kBytes = 32;

  std::array<std::uint8_t, kBytes> bytes{};

  friend auto operator<=>(const KeyDigest&, const KeyDigest&) = default;
};

/// Returns the digest of `key`.
KeyDigest DigestOfKey(std::string_view key);

/// Returns whether both digests are equal, in a time that doesn't depend on
/// where they differ.
bool EqualInConstantTime(const KeyDigest& left, const KeyDigest& right);

/// Returns the digest that `hex` names, as Sha256Hex() writes it; nullopt if
/// `hex` has another format.
std::optional<KeyDigest> ReadKeyDigest(std::string_view hex);

/// Returns `digest` as 64 lower-case hexadecimal digits.
std::string ToHex(const KeyDigest& digest);

}  // namespace briarlead

#endif  // BRIARLEAD_ACCOUNTS_KEY_DIGEST_H_
