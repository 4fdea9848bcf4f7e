#include "briarlead_net/frame_key.h"

#include <glib.h>

namespace briarlead {

Result<FrameKey> FrameKey::FromSecret(std::string_view secret) {
  if (secret.size() < kMinSecretBytes) {
    return Fail(ErrorCode::kInvalidArgument,
                "the frame key needs at least 32 bytes");
  }
  return FrameKey(std::string(secret));
}

FrameKey FrameKey::Derive(std::string_view nonce) const {
  const FrameTag tag = Sign(nonce);
  return FrameKey(std::string(tag.begin(), tag.end()));
}

FrameTag FrameKey::Sign(std::string_view bytes) const {
  GHmac* hmac = g_hmac_new(G_CHECKSUM_SHA256,
                           reinterpret_cast<const guchar*>(secret_.data()),
                           secret_.size());
  g_hmac_update(hmac, reinterpret_cast<const guchar*>(bytes.data()),
                static_cast<gssize>(bytes.size()));
  FrameTag tag{};
  gsize size = tag.size();
  g_hmac_get_digest(hmac, tag.data(), &size);
  g_hmac_unref(hmac);
  return tag;
}

bool FrameKey::Verify(std::string_view bytes,
                      std::span<const std::uint8_t> tag) const {
  if (tag.size() != kFrameTagBytes)
    return false;
  const FrameTag expected = Sign(bytes);
  unsigned difference = 0;
  for (std::size_t i = 0; i < kFrameTagBytes; ++i)
    difference |= static_cast<unsigned>(expected[i] ^ tag[i]);
  return difference == 0;
}

}  // namespace briarlead
