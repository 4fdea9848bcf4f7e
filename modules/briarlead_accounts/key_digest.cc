#include "briarlead_accounts/key_digest.h"

#include <glib.h>

#include <charconv>
#include <memory>

#include "briarlead_accounts/sha256.h"

namespace briarlead {

namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";

}  // namespace

KeyDigest DigestOfKey(std::string_view key) {
  const std::unique_ptr<GChecksum, decltype(&g_checksum_free)> checksum(
      g_checksum_new(G_CHECKSUM_SHA256), g_checksum_free);
  g_checksum_update(checksum.get(), reinterpret_cast<const guchar*>(key.data()),
                    static_cast<gssize>(key.size()));
  KeyDigest digest;
  gsize n = digest.bytes.size();
  g_checksum_get_digest(checksum.get(), digest.bytes.data(), &n);
  return digest;
}

bool EqualInConstantTime(const KeyDigest& left, const KeyDigest& right) {
  unsigned difference = 0;
  for (std::size_t i = 0; i < KeyDigest::kBytes; ++i)
    difference |= static_cast<unsigned>(left.bytes[i] ^ right.bytes[i]);
  return difference == 0;
}

std::optional<KeyDigest> ReadKeyDigest(std::string_view hex) {
  if (!IsSha256Hex(hex))
    return std::nullopt;
  KeyDigest digest;
  for (std::size_t i = 0; i < KeyDigest::kBytes; ++i) {
    const char* digits = hex.data() + 2 * i;
    std::from_chars(digits, digits + 2, digest.bytes[i], 16);
  }
  return digest;
}

std::string ToHex(const KeyDigest& digest) {
  std::string text;
  for (const std::uint8_t it : digest.bytes) {
    text += kHexDigits[it >> 4U];
    text += kHexDigits[it & 0xfU];
  }
  return text;
}

}  // namespace briarlead
