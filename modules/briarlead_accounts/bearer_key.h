#ifndef BRIARLEAD_ACCOUNTS_BEARER_KEY_H_
#define BRIARLEAD_ACCOUNTS_BEARER_KEY_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "briarlead_accounts/key_digest.h"

namespace briarlead {

/// Maximum size of an Authorization field's value, in bytes.
inline constexpr std::size_t kMaxAuthorizationBytes = 1024;

/// Value of WWW-Authenticate in a response that asks for a key.
inline constexpr std::string_view kBearerChallenge = "Bearer";

/// What the Authorization fields of a request contain.
enum class KeyForm : std::uint8_t {
  kPresent,    ///< One bearer key.
  kMissing,    ///< No field.
  kRepeated,   ///< More than one field.
  kEmpty,      ///< A field without a value.
  kTooLong,    ///< More than kMaxAuthorizationBytes.
  kMalformed,  ///< Another scheme, no key, or a key that isn't visible ASCII.
};

/// Returns the name of `form`, for logs and responses.
std::string_view ToString(KeyForm form);

/// The key that a request carries, as a digest.
struct PresentedKey {
  KeyForm form = KeyForm::kMissing;
  KeyDigest digest;  ///< Set if `form` is kPresent.
};

/// Reads the key from the values of all Authorization fields of a request. The
/// name of the scheme is case-insensitive.
PresentedKey ReadBearerKey(std::span<const std::string_view> values);

/// Returns whether `presented` is the key with the digest `expected`; false if
/// that is unset. Takes the same time wherever the two differ.
bool IsKey(const PresentedKey& presented,
           const std::optional<KeyDigest>& expected);

}  // namespace briarlead

#endif  // BRIARLEAD_ACCOUNTS_BEARER_KEY_H_
