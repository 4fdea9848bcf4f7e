#ifndef BRIARLEAD_GATEWAY_SERVER_CALL_OPTIONS_H_
#define BRIARLEAD_GATEWAY_SERVER_CALL_OPTIONS_H_

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>

#include "briarlead_wire/upstream_pool.h"

namespace briarlead {

/// How long a server, or another entry host, may take to accept a connection.
inline constexpr Duration kConnectTimeout = std::chrono::milliseconds(150);
/// Maximum idle time of a connection that may carry an unrepeatable request: a
/// longer idle one may have been closed by the server.
inline constexpr Duration kMaxFreshIdle = std::chrono::milliseconds(500);

/// Returns the options of a call that carries the request `id`.
inline UpstreamCallOptions OptionsOfCall(std::string id,
                                         bool needs_fresh_connection) {
  UpstreamCallOptions options;
  options.connect_timeout = kConnectTimeout;
  options.name = std::move(id);
  if (needs_fresh_connection)
    options.max_idle = kMaxFreshIdle;
  return options;
}

/// Bodies of up to this size are sent in one piece with their head, as each
/// write leaves in a packet of its own. Larger ones are not copied.
inline constexpr std::size_t kMaxCopiedBodyBytes = 16384;

/// Starts a call on `servers` that sends `head`, then `body`.
inline std::unique_ptr<UpstreamCall> StartCall(
    UpstreamPool& servers,
    const Endpoint& server,
    std::string head,
    const std::shared_ptr<const std::string>& body,
    const UpstreamCallOptions& options,
    UpstreamHandlers handlers,
    TimePoint now) {
  if (body->size() > kMaxCopiedBodyBytes)
    return servers.Start(server, head, options, std::move(handlers), now, body);
  head += *body;
  return servers.Start(server, head, options, std::move(handlers), now);
}

}  // namespace briarlead

#endif  // BRIARLEAD_GATEWAY_SERVER_CALL_OPTIONS_H_
