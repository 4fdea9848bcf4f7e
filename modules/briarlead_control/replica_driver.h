#ifndef BRIARLEAD_CONTROL_REPLICA_DRIVER_H_
#define BRIARLEAD_CONTROL_REPLICA_DRIVER_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "briarlead_consensus/briarlead_consensus.h"
#include "briarlead_core/endpoint.h"
#include "briarlead_core/error.h"
#include "briarlead_core/identifiers.h"
#include "briarlead_core/time.h"
#include "briarlead_net/peer_transport.h"

namespace briarlead {

/// Connects one consensus replica to its disk and to the network: carries out
/// its commands to persist data and to send messages, and passes committed
/// entries to the handlers. Blocks the event loop during a sync of the disk.
class ReplicaDriver {
 public:
  struct Handlers {
    std::function<void(const consensus::Apply& entry)> on_apply;
    std::function<void(const consensus::Snapshot& snapshot)> on_snapshot;
    std::function<void(const consensus::RoleChanged& change)> on_role;
    std::function<void(const consensus::ReplicaId& replica)> on_join;
    /// A read barrier ended. May be empty if ReadBarrier() is never called.
    std::function<void(const consensus::ReadBarrierDone& read)> on_read;
    /// A write to the disk failed. The replica can't go on.
    std::function<void(const Error& error)> on_disk_failure;
  };

  /// Returns where a control host accepts frames; nullopt for an unknown host.
  using EndpointLookup =
      std::function<std::optional<Endpoint>(const HostId& host)>;

  /// `store` must be open before Start(). `store` and `transport` must outlive
  /// the driver.
  ReplicaDriver(consensus::FileStore& store,
                PeerTransport& transport,
                EndpointLookup lookup_endpoint,
                Handlers handlers);

  /// Starts the replica from the state that the store recovered. `seed` is the
  /// seed of the replica's random source.
  void Start(const consensus::ReplicaSettings& settings,
             consensus::RecoveredState recovered,
             std::uint64_t seed,
             TimePoint now);

  /// Appends `payload` to the log; see Replica::Propose(). Nothing is written,
  /// sent or applied before the next Pump(), so that the caller can record the
  /// index first: a cluster of one member applies an entry as soon as it is
  /// synced.
  Result<std::uint64_t> Propose(std::string_view payload, TimePoint now);

  /// Proposes a change of the members and carries out the commands that follow;
  /// see Replica::ProposeMembershipChange().
  Result<std::uint64_t> ProposeMembershipChange(
      const consensus::MembershipChange& change,
      TimePoint now);

  /// Starts a linearizable read; see Replica::ReadBarrier(). Nothing is sent
  /// before the next Pump(). Error: kUnavailable before Start(), and those of
  /// Replica::ReadBarrier().
  Result<consensus::ReadToken> ReadBarrier(TimePoint now);

  /// See Replica::SetSeedHosts(). Does nothing before Start().
  void SetSeedHosts(std::vector<HostId> hosts);

  /// If this replica leads, transfers the leadership to the other voter whose
  /// synced log is longest. Does nothing if there is no other voter.
  void TransferLeadership(TimePoint now);

  /// Handles the payload of a consensus frame; drops a malformed one.
  void OnFrame(std::string_view payload, TimePoint now);

  /// Replaces the log up to `index` with `data`, a snapshot of the state
  /// machine at that index.
  void Compact(consensus::LogIndex index, std::string data, TimePoint now);

  /// Lets the replica act on timeouts that are due. Must be called regularly.
  void Tick(TimePoint now);

  /// Returns the replica. Must not be called before Start().
  [[nodiscard]] const consensus::Replica& replica() const { return *replica_; }
  [[nodiscard]] bool started() const { return replica_.has_value(); }

  /// Carries out the replica's commands until there are none left.
  void Pump();

 private:
  void Run(const consensus::SendMessage& command);
  void Run(const consensus::Persist& command);
  void Run(const consensus::Apply& command);
  void Run(const consensus::InstallSnapshot& command);
  void Run(const consensus::RoleChanged& command);
  void Run(const consensus::ReadBarrierDone& command);
  void Run(const consensus::JoinRequested& command);

  consensus::FileStore& store_;
  PeerTransport& transport_;
  EndpointLookup lookup_endpoint_;
  Handlers handlers_;
  std::optional<consensus::Replica> replica_;
  bool pumping_ = false;
};

}  // namespace briarlead

#endif  // BRIARLEAD_CONTROL_REPLICA_DRIVER_H_
