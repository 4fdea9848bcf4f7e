#ifndef BRIARLEAD_MEMBERSHIP_GOSSIP_MESSAGE_H_
#define BRIARLEAD_MEMBERSHIP_GOSSIP_MESSAGE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "briarlead_blackboard/backend_server_record.h"
#include "briarlead_core/endpoint.h"
#include "briarlead_core/identifiers.h"
#include "briarlead_core/time.h"

namespace briarlead {

/// Health of a host as another host's failure detector sees it.
enum class HostHealth : std::uint8_t { kAlive, kSuspect, kDead };

/// What the sender knows of one host of its data centre. Of two entries for the
/// same host, see HostMembership for which one takes precedence.
struct HostEntry {
  HostId id;
  DataCentreId data_centre;
  Endpoint callers;  ///< Where callers connect.
  Endpoint peers;    ///< Where other hosts send gossip.
  /// Increases when the host restarts or learns that it was declared dead.
  std::uint64_t incarnation = 0;
  /// Increases when the host refutes a suspicion or starts to leave.
  std::uint64_t version = 0;
  HostHealth health = HostHealth::kAlive;
  bool leaving = false;
  /// Revision of the lists that the host applies.
  std::uint64_t lists_revision = 0;

  friend bool operator==(const HostEntry&, const HostEntry&) = default;
};

/// A backend server of the sender's data centre. Of two entries for the same
/// server, the one with the higher (incarnation, version, state) takes
/// precedence.
struct ServerEntry {
  BackendServerRecord record;  ///< `load` and `last_heard` aren't transmitted.
  std::uint64_t version = 0;   ///< Version of the announcement behind `record`.
  /// Time since the latest announcement that the sender knows of.
  Duration age{};
};

/// An announcement that the sender received from a backend server and relays
/// to the watchers of that server and to the owner of its shard.
struct RelayedAnnouncement {
  BackendServerId id;
  std::uint64_t incarnation = 0;
  std::uint64_t version = 0;
  Duration age{};  ///< Time since the sender received the announcement.
  LoadReport load;

  friend bool operator==(const RelayedAnnouncement& left,
                         const RelayedAnnouncement& right) {
    return left.id == right.id && left.incarnation == right.incarnation &&
           left.version == right.version && left.age == right.age;
  }
};

/// Capacity and queue length of one data centre for one model.
struct ModelSummary {
  ModelId model;
  std::uint32_t prefill_engines = 0;
  std::uint32_t decode_engines = 0;
  std::uint32_t free_slots = 0;
  std::uint32_t queue_length = 0;

  friend bool operator==(const ModelSummary&, const ModelSummary&) = default;
};

/// A host that exchanges gossip with other data centres on behalf of its own.
struct Delegate {
  HostId id;
  std::uint64_t incarnation = 0;
  Endpoint callers;
  Endpoint peers;

  friend bool operator==(const Delegate&, const Delegate&) = default;
};

/// State of a data centre as other data centres see it: aggregated, without
/// the individual backend servers.
struct DataCentreSummary {
  DataCentreId data_centre;
  Duration age{};  ///< Time since the summary was created.
  std::uint32_t alive_hosts = 0;
  std::uint64_t lists_revision = 0;  ///< Lowest among the alive hosts.
  std::vector<Delegate> delegates;
  std::vector<ModelSummary> models;

  friend bool operator==(const DataCentreSummary&,
                         const DataCentreSummary&) = default;
};

/// What the receiver of a GossipMessage does besides merging its contents.
enum class GossipKind : std::uint8_t {
  kUpdate,       ///< Nothing.
  kPing,         ///< Answers with kAck.
  kAck,          ///< Marks the ping with the same `sequence` as answered.
  kRelay,        ///< Nothing; only `announcements` is transmitted.
  kPingRequest,  ///< Pings `target` and forwards the ack to the sender.
};

/// Digest for anti-entropy: backend servers are grouped by a hash of their id,
/// and `groups` holds one hash of the states in each group. Hosts compare
/// digests and send each other the servers of the groups that differ. The salt
/// changes with each message, so that different states whose 16-bit hashes
/// collide once are most likely told apart by the next digest.
inline constexpr std::size_t kDigestGroups = 64;
struct ServerDigest {
  std::uint64_t salt = 0;
  std::array<std::uint16_t, kDigestGroups> groups{};

  friend bool operator==(const ServerDigest&, const ServerDigest&) = default;
};

/// One datagram between entry hosts.
struct GossipMessage {
  GossipKind kind = GossipKind::kUpdate;
  std::uint64_t sequence = 0;  ///< Matches an ack to its ping.
  HostEntry sender;
  /// Of a ping request: the host to ping. Of an ack: the host that answered,
  /// which is not the sender when the ack is forwarded.
  HostId target;
  Endpoint target_endpoint;                  ///< Of a ping request.
  std::uint64_t highest_lists_revision = 0;  ///< Known to the sender.
  ServerDigest digest;                       ///< Only of a ping or an ack.
  std::vector<HostEntry> hosts;
  std::vector<ServerEntry> servers;
  std::vector<RelayedAnnouncement> announcements;
  std::vector<DataCentreSummary> summaries;
};

}  // namespace briarlead

#endif  // BRIARLEAD_MEMBERSHIP_GOSSIP_MESSAGE_H_
