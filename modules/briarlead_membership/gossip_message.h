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

/// Whether a host answers, as one host sees another.
enum class HostHealth : std::uint8_t { kAlive, kSuspect, kDead };

/// A host of the sender's data centre.
struct HostEntry {
  HostId id;
  DataCentreId data_centre;
  Endpoint callers;
  Endpoint peers;
  std::uint64_t incarnation = 0;  ///< Grows when the host has been dead.
  std::uint64_t version = 0;      ///< Grows when the host refutes or changes.
  HostHealth health = HostHealth::kAlive;
  bool leaving = false;
  std::uint64_t lists_revision = 0;

  friend bool operator==(const HostEntry&, const HostEntry&) = default;
};

/// A backend server of the sender's data centre. Of two entries for one server
/// the one with the later (incarnation, version, state) holds.
struct ServerEntry {
  BackendServerRecord record;  ///< Without `load` and `last_heard`.
  std::uint64_t version = 0;   ///< Announcement that gave this state.
  /// Time since the last announcement that the sender knows of.
  Duration age{};
};

/// One announcement that the sender heard, passed on to those who watch the
/// server.
struct HeardAnnouncement {
  BackendServerId id;
  std::uint64_t incarnation = 0;
  std::uint64_t version = 0;
  Duration age{};  ///< Time since it was heard.
  LoadReport load;

  friend bool operator==(const HeardAnnouncement& left,
                         const HeardAnnouncement& right) {
    return left.id == right.id && left.incarnation == right.incarnation &&
           left.version == right.version && left.age == right.age;
  }
};

/// What one data centre offers for one model.
struct ModelSummary {
  ModelId model;
  std::uint32_t prefill_engines = 0;
  std::uint32_t decode_engines = 0;
  std::uint32_t free_slots = 0;
  std::uint32_t queue_length = 0;

  friend bool operator==(const ModelSummary&, const ModelSummary&) = default;
};

/// A host that speaks for its data centre.
struct Delegate {
  HostId id;
  std::uint64_t incarnation = 0;
  Endpoint callers;
  Endpoint peers;

  friend bool operator==(const Delegate&, const Delegate&) = default;
};

/// What other data centres learn of one: no single servers.
struct DataCentreSummary {
  DataCentreId data_centre;
  Duration age{};  ///< Time since it was drawn up.
  std::uint32_t alive_hosts = 0;
  std::uint64_t lists_revision = 0;  ///< Lowest that a host serves on.
  std::vector<Delegate> delegates;
  std::vector<ModelSummary> models;

  friend bool operator==(const DataCentreSummary&,
                         const DataCentreSummary&) = default;
};

/// What the receiver of a GossipMessage does beside merging its contents.
enum class GossipKind : std::uint8_t {
  kNews,         ///< Nothing.
  kPing,         ///< Answers with kAck.
  kAck,          ///< Takes it as the answer to its ping.
  kRelay,        ///< Nothing; carries `heard` and no other field.
  kPingRequest,  ///< Pings `target` and passes its answer on.
};

/// Servers are put into groups by a hash of their id; hosts compare one hash
/// for each group, and send each other the servers of the groups that differ.
/// The salt differs from message to message, so that two states with the same
/// short hash are told apart by the next one.
inline constexpr std::size_t kDigestGroups = 64;
struct ServerDigest {
  std::uint64_t salt = 0;
  std::array<std::uint16_t, kDigestGroups> groups{};

  friend bool operator==(const ServerDigest&, const ServerDigest&) = default;
};

/// One datagram between entry hosts.
struct GossipMessage {
  GossipKind kind = GossipKind::kNews;
  std::uint64_t sequence = 0;  ///< Pairs a ping with its answer.
  HostEntry sender;
  HostId target;  ///< Of a ping request; who answered, in an ack passed on.
  Endpoint target_peers;                     ///< Of a ping request.
  std::uint64_t highest_lists_revision = 0;  ///< That the sender knows of.
  ServerDigest digest;                       ///< Of a ping or its answer.
  std::vector<HostEntry> hosts;
  std::vector<ServerEntry> servers;
  std::vector<HeardAnnouncement> heard;
  std::vector<DataCentreSummary> summaries;
};

}  // namespace briarlead

#endif  // BRIARLEAD_MEMBERSHIP_GOSSIP_MESSAGE_H_
