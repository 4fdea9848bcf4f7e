#ifndef BRIARLEAD_NET_FRAME_KEY_H_
#define BRIARLEAD_NET_FRAME_KEY_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "briarlead_core/error.h"

namespace briarlead {

/// Size of an HMAC-SHA256 digest, in bytes.
inline constexpr std::size_t kFrameTagBytes = 32;

/// Authentication tag of one frame: the HMAC-SHA256 of its bytes.
using FrameTag = std::array<std::uint8_t, kFrameTagBytes>;

/// Key for signing and verifying frames: the secret that all briarlead
/// processes share, or a session key derived from that secret for a single
/// connection.
class FrameKey {
 public:
  static constexpr std::size_t kMinSecretBytes = 32;

  /// Creates a key from `secret`. Error: kInvalidArgument if `secret` is
  /// shorter than kMinSecretBytes.
  static Result<FrameKey> FromSecret(std::string_view secret);

  /// Derives the session key of one connection from the accepting side's
  /// `nonce`, so that frames recorded on one connection fail verification on
  /// every other.
  [[nodiscard]] FrameKey Derive(std::string_view nonce) const;

  /// Computes the tag of `bytes`.
  [[nodiscard]] FrameTag Sign(std::string_view bytes) const;

  /// Returns whether `tag` is the tag of `bytes`. Takes the same time wherever
  /// the first mismatch is, so timing reveals nothing about the right tag.
  [[nodiscard]] bool Verify(std::string_view bytes,
                            std::span<const std::uint8_t> tag) const;

 private:
  explicit FrameKey(std::string secret) : secret_(std::move(secret)) {}

  std::string secret_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_NET_FRAME_KEY_H_
