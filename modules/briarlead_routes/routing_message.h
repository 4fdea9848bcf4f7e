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

/// Longest list of routes, in bytes of its text.
inline constexpr std::size_t kMaxRouteTextBytes = 4UL * 1024 * 1024;
/// Longest encoded routing message, in bytes.
inline constexpr std::size_t kMaxRoutingMessageBytes =
    kMaxRouteTextBytes + 1024UL * 1024;

enum class HostRole : std::uint8_t { kEntry, kControl };
inline constexpr HostRole kLastHostRole = HostRole::kControl;

/// A host says that it is there and what it knows. Sent to every known control
/// host all the time; the answer is RoutingUpdate.
struct HostHeartbeat {
  HostRole role = HostRole::kEntry;
  std::uint64_t routes_version = 0;
  std::uint64_t servers_digest = 0;

  friend bool operator==(const HostHeartbeat&, const HostHeartbeat&) = default;
};

/// A server and how long ago its newest announcement came in.
struct AnnouncedServer {
  ServerRecord record;
  Duration age = Duration::zero();

  friend bool operator==(const AnnouncedServer&,
                         const AnnouncedServer&) = default;
};

/// What a control host tells: always who else is there, and of routes and
/// servers what the other side doesn't have.
struct RoutingUpdate {
  std::vector<Endpoint> control_hosts;  ///< Where they take frames.
  std::vector<Endpoint> entry_hosts;    ///< Those heard of lately.
  std::optional<std::string> routes;    ///< Text of the list in force.
  std::vector<AnnouncedServer> servers;

  friend bool operator==(const RoutingUpdate&, const RoutingUpdate&) = default;
};

using RoutingMessage = std::variant<HostHeartbeat, RoutingUpdate, HostLoad>;

std::string EncodeRoutingMessage(const RoutingMessage& message);

/// Reads what EncodeRoutingMessage() gave; kTooLarge or kCorrupt otherwise.
Result<RoutingMessage> DecodeRoutingMessage(std::string_view bytes);

}  // namespace briarlead

#endif  // BRIARLEAD_ROUTES_ROUTING_MESSAGE_H_
