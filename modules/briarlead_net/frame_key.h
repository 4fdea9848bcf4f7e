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

inline constexpr std::size_t kFrameTagBytes = 32;

/// HMAC-SHA256 of one frame.
using FrameTag = std::array<std::uint8_t, kFrameTagBytes>;

/// The secret that briarlead's processes share, or one derived from it for a
/// single connection.
class FrameKey {
 public:
  static constexpr std::size_t kMinSecretBytes = 32;

  /// Makes a key of `secret`; kInvalidArgument when it is too short.
  static Result<FrameKey> FromSecret(std::string_view secret);

  /// Returns the key for one connection, bound to the acceptor's `nonce`, so
  /// that frames recorded on one connection are refused on every other.
  [[nodiscard]] FrameKey Derive(std::string_view nonce) const;

  /// Returns the tag of `bytes`.
  [[nodiscard]] FrameTag Sign(std::string_view bytes) const;

  /// Returns whether `tag` is the tag of `bytes`, in constant time.
  [[nodiscard]] bool Verify(std::string_view bytes,
                            std::span<const std::uint8_t> tag) const;

 private:
  explicit FrameKey(std::string secret) : secret_(std::move(secret)) {}

  std::string secret_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_NET_FRAME_KEY_H_
