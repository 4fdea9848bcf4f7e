#ifndef BRIARLEAD_NET_LINK_FAILURE_H_
#define BRIARLEAD_NET_LINK_FAILURE_H_

#include <cstdint>
#include <string_view>

namespace briarlead {

/// Why the connection of a link to a peer ended.
enum class LinkFailure : std::uint8_t {
  kNotConnected,  ///< No connection, or no nonce, in time.
  kClosed,        ///< The peer or the kernel ended the connection.
  kSilent,        ///< What was sent was not acknowledged in time.
  kOverflow,      ///< Too many bytes were queued.
};

/// Returns the name of `failure` as it appears in logs.
std::string_view ToString(LinkFailure failure);

}  // namespace briarlead

#endif  // BRIARLEAD_NET_LINK_FAILURE_H_
