#ifndef BRIARLEAD_ROUTES_ROUTING_MESSAGE_H_
#define BRIARLEAD_ROUTES_ROUTING_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/error.h"
#include "briarlead_core/identifiers.h"
#include "briarlead_core/time.h"
#include "briarlead_routes/host_load.h"
#include "briarlead_routes/server_record.h"

namespace briarlead {

/// Maximum size of a list of routes, in bytes of its text.
inline constexpr std::size_t kMaxRouteTextBytes = 4UL * 1024 * 1024;
/// Maximum size of an encoded routing message, in bytes.
inline constexpr std::size_t kMaxRoutingMessageBytes =
    kMaxRouteTextBytes + 1024UL * 1024;

enum class HostRole : std::uint8_t { kEntry, kControl };
inline constexpr HostRole kLastHostRole = HostRole::kControl;

/// Sent periodically to every known control host, to report that the sender is
/// alive and which state it has. The response is a RoutingUpdate.
struct HostHeartbeat {
  HostRole role = HostRole::kEntry;
  std::uint64_t routes_version = 0;
  std::uint64_t servers_digest = 0;

  friend bool operator==(const HostHeartbeat&, const HostHeartbeat&) = default;
};

/// A server and the time since its newest announcement.
struct AnnouncedServer {
  ServerRecord record;
  Duration age = Duration::zero();

  friend bool operator==(const AnnouncedServer&,
                         const AnnouncedServer&) = default;
};

/// Sent by a control host: always the known hosts, and the routes and servers
/// that the receiver does not have yet.
struct RoutingUpdate {
  std::vector<Endpoint> control_hosts;  ///< Their endpoints for frames.
  std::vector<Endpoint> entry_hosts;    ///< Those with recent heartbeats.
  std::optional<std::string> routes;    ///< Text of the list in force.
  std::vector<AnnouncedServer> servers;

  friend bool operator==(const RoutingUpdate&, const RoutingUpdate&) = default;
};

using RoutingMessage = std::variant<HostHeartbeat, RoutingUpdate, HostLoad>;

std::string EncodeRoutingMessage(const RoutingMessage& message);

/// Decodes the output of EncodeRoutingMessage(). Fails with kTooLarge or
/// kCorrupt.
Result<RoutingMessage> DecodeRoutingMessage(std::string_view bytes);

}  // namespace briarlead

#endif  // BRIARLEAD_ROUTES_ROUTING_MESSAGE_H_
