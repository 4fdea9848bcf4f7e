#include "briarlead_accounts/sha256.h"

#include <algorithm>

#include "briarlead_accounts/key_digest.h"

namespace briarlead {

namespace {

constexpr std::size_t kDigestHexDigits = 2 * KeyDigest::kBytes;

bool IsLowerHexDigit(char digit) {
  return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f');
}

}  // namespace

std::string Sha256Hex(std::string_view bytes) {
  return ToHex(DigestOfKey(bytes));
}

bool IsSha256Hex(std::string_view text) {
  return text.size() == kDigestHexDigits &&
         std::ranges::all_of(text, IsLowerHexDigit);
}

}  // namespace briarlead
