#ifndef BRIARLEAD_ROUTES_ROUTING_MESSAGE_H_
#define BRIARLEAD_ROUTES_ROUTING_MESSAGE_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/error.h"
#include "briarlead_core/identifiers.h"
#include "briarlead_core/time.h"
#include "briarlead_routes/capacity_message.h"
#include "briarlead_routes/crash_report.h"
#include "briarlead_routes/engine_placement_message.h"
#include "briarlead_routes/host_load.h"
#include "briarlead_routes/key_lease_message.h"
#include "briarlead_routes/leaving_report.h"
#include "briarlead_routes/persist_leaving_message.h"
#include "briarlead_routes/quota_message.h"
#include "briarlead_routes/server_limit_message.h"
#include "briarlead_routes/server_record.h"
#include "briarlead_routes/slot_message.h"
#include "briarlead_routes/stream_origin.h"

namespace briarlead {

/// Maximum size of a list of routes, in bytes of its text.
inline constexpr std::size_t kMaxRouteTextBytes = 4UL * 1024 * 1024;
/// Maximum size of an encoded routing message, in bytes.
inline constexpr std::size_t kMaxRoutingMessageBytes =
    kMaxRouteTextBytes + 1024UL * 1024;

/// First byte of an encoded routing message. It changes with the layout, so
/// that builds with another layout refuse the message instead of misreading it.
inline constexpr char kRoutingMessageFormat = 'c';

enum class HostRole : std::uint8_t { kEntry, kControl };
inline constexpr HostRole kLastHostRole = HostRole::kControl;

/// Sent periodically to every known control host, to report that the sender is
/// alive and which state it has. The response is a RoutingUpdate.
struct HostHeartbeat {
  HostRole role = HostRole::kEntry;
  DataCentreId data_centre;
  std::uint64_t routes_version = 0;
  std::uint64_t servers_digest = 0;
  std::uint64_t hosts_digest = 0;  ///< Of the entry hosts that it knows.

  friend bool operator==(const HostHeartbeat&, const HostHeartbeat&) = default;
};

/// A server and the time since its newest announcement.
struct AnnouncedServer {
  /// Age below which an announcement is recent: two intervals of announcements
  /// and some delay.
  static constexpr Duration kRecentAge = std::chrono::milliseconds(3000);

  ServerRecord record;
  Duration age = Duration::zero();

  friend bool operator==(const AnnouncedServer&,
                         const AnnouncedServer&) = default;
};

/// A version that servers had until they started again with another one, and
/// the time since it was last heard of.
struct FormerVersion {
  ServiceVersion version;
  Duration age = Duration::zero();

  friend bool operator==(const FormerVersion&, const FormerVersion&) = default;
};

/// An entry host that sends heartbeats.
struct EntryHost {
  Endpoint peers;  ///< Where it receives frames.
  DataCentreId data_centre;

  friend auto operator<=>(const EntryHost&, const EntryHost&) = default;
};

/// Returns a hash of `hosts`, which must be sorted: equal lists have the same
/// digest, and that of an empty list is zero.
std::uint64_t DigestOf(std::span<const EntryHost> hosts);

/// Sent by a control host: always the control hosts, and the entry hosts,
/// routes and servers that the receiver does not have yet.
struct RoutingUpdate {
  std::vector<Endpoint> control_hosts;  ///< Their endpoints for frames.
  /// Digest of the entry hosts with recent heartbeats; zero if not told.
  std::uint64_t hosts_digest = 0;
  std::vector<EntryHost> entry_hosts;  ///< Empty if the digests match.
  std::optional<std::string> routes;   ///< Text of the list in force.
  std::vector<AnnouncedServer> servers;
  /// All servers that the receiver knows and that are not in `servers` were
  /// heard of within AnnouncedServer::kRecentAge.
  bool others_heard = false;
  /// All that the sender knows; mostly none.
  std::vector<FormerVersion> former_versions;

  friend bool operator==(const RoutingUpdate&, const RoutingUpdate&) = default;
};

/// Sent periodically to a control host instead of a HostHeartbeat; the response
/// is a DirectoryUpdate, and a RoutingUpdate without servers if there is news
/// of another sort. Asks for the servers that changed since `revision` of the
/// control host's process `incarnation`.
struct DirectoryRequest {
  HostHeartbeat heartbeat;
  std::uint64_t incarnation = 0;  ///< Zero: the sender knows no revision.
  std::uint64_t revision = 0;
  /// The sender takes its knowledge of servers from the receiver. The receiver
  /// sends others only a few changes.
  bool follows = false;
  /// The sender knows which servers the receiver did not hear.
  bool knows_silent = false;

  friend bool operator==(const DirectoryRequest&,
                         const DirectoryRequest&) = default;
};

/// What changed in a control host's directory between two of its revisions. One
/// without an incarnation is sent unasked: it holds single changes and no
/// revision.
struct DirectoryUpdate {
  std::uint64_t incarnation = 0;  ///< Of the control host's process.
  /// The receiver must have this revision; zero: any.
  std::uint64_t from = 0;
  /// The revision that the receiver has afterwards; zero: unchanged.
  std::uint64_t to = 0;
  /// Digest of the sender's records at `to`.
  std::uint64_t servers_digest = 0;
  /// The sender has the records that the request described by their digest.
  /// Servers in `servers` only became silent or were heard again since `from`.
  bool same = false;
  std::vector<AnnouncedServer> servers;
  /// `servers` includes all that have been silent for
  /// ServerDirectory::kSilentAge.
  bool all_silent = false;
  /// All servers in the sender's directory that it didn't report as silent were
  /// heard of within ServerDirectory::kSilentAge.
  bool others_heard = false;
  /// Names (ShortNameOf) of the servers that announced themselves to the sender
  /// within `heard_within_ms`. Sent to control hosts.
  std::vector<std::uint64_t> heard;
  std::uint32_t heard_within_ms = 0;
  std::vector<FormerVersion> former_versions;  ///< Changed since `from`.
  std::uint64_t hosts_digest = 0;              ///< As in RoutingUpdate.

  friend bool operator==(const DirectoryUpdate&,
                         const DirectoryUpdate&) = default;
};

/// Returns a hash that stands for `id` where thousands of servers are named.
std::uint64_t ShortNameOf(const BackendServerId& id);

/// New kinds come last: hosts of an older build then refuse only these.
using RoutingMessage = std::variant<HostHeartbeat,
                                    RoutingUpdate,
                                    HostLoad,
                                    EnginePlacementRequest,
                                    EnginePlacementReply,
                                    CrashReport,
                                    ServerLimitReport,
                                    SendPermitRequest,
                                    SendPermitReply,
                                    LeavingReport,
                                    StreamOriginReport,
                                    StreamOriginQuery,
                                    StreamOriginReply,
                                    KeyLeaseRequest,
                                    KeyLeaseReply,
                                    QuotaRequest,
                                    QuotaReply,
                                    QuotaGrantRequest,
                                    QuotaGrantReply,
                                    EngineSpeedReport,
                                    HostCapacityReport,
                                    HostCapacities,
                                    DirectoryRequest,
                                    DirectoryUpdate,
                                    SlotRequest,
                                    SlotReply,
                                    SlotRelease,
                                    PersistLeavingRequest,
                                    PersistLeavingReply>;

std::string EncodeRoutingMessage(const RoutingMessage& message);

/// Decodes the output of EncodeRoutingMessage(). Fails with kTooLarge or, also
/// for a message of a build with another layout, kCorrupt.
Result<RoutingMessage> DecodeRoutingMessage(std::string_view bytes);

}  // namespace briarlead

#endif  // BRIARLEAD_ROUTES_ROUTING_MESSAGE_H_
