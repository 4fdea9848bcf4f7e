#include "briarlead_claims/content_digest.h"

#include <glib.h>

#include <array>
#include <cstring>
#include <memory>

namespace briarlead {
namespace {

constexpr std::size_t kSha256Bytes = 32;

struct ChecksumDeleter {
  void operator()(GChecksum* checksum) const { g_checksum_free(checksum); }
};

void Update(GChecksum* checksum, const void* data, std::size_t size) {
  g_checksum_update(checksum, static_cast<const guchar*>(data),
                    static_cast<gssize>(size));
}

std::uint64_t BigEndian64(const std::uint8_t* bytes) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < sizeof(value); ++i)
    value = value << 8U | bytes[i];
  return value;
}

}  // namespace

ContentDigest DigestOf(std::initializer_list<std::string_view> parts) {
  const std::unique_ptr<GChecksum, ChecksumDeleter> checksum(
      g_checksum_new(G_CHECKSUM_SHA256));
  for (const std::string_view part : parts) {
    const std::uint64_t size = GUINT64_TO_LE(part.size());
    Update(checksum.get(), &size, sizeof(size));
    Update(checksum.get(), part.data(), part.size());
  }
  std::array<std::uint8_t, kSha256Bytes> bytes{};
  gsize n = bytes.size();
  g_checksum_get_digest(checksum.get(), bytes.data(), &n);
  return {BigEndian64(bytes.data()), BigEndian64(bytes.data() + 8)};
}

}  // namespace briarlead
