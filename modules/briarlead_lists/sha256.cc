#include "briarlead_lists/sha256.h"

#include <glib.h>

#include <algorithm>
#include <cstddef>
#include <memory>

namespace briarlead {

namespace {

constexpr std::size_t kDigestHexDigits = 64;

bool IsLowerHexDigit(char digit) {
  return (digit >= '0' && digit <= '9') || (digit >= 'a' && digit <= 'f');
}

}  // namespace

std::string Sha256Hex(std::string_view bytes) {
  const std::unique_ptr<GChecksum, decltype(&g_checksum_free)> checksum(
      g_checksum_new(G_CHECKSUM_SHA256), g_checksum_free);
  g_checksum_update(checksum.get(),
                    reinterpret_cast<const guchar*>(bytes.data()),
                    static_cast<gssize>(bytes.size()));
  return g_checksum_get_string(checksum.get());
}

bool IsSha256Hex(std::string_view text) {
  return text.size() == kDigestHexDigits &&
         std::ranges::all_of(text, IsLowerHexDigit);
}

}  // namespace briarlead
