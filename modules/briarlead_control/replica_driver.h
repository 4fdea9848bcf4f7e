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

/// Runs one replica: writes and syncs what it wants persisted, sends its
/// messages, hands committed entries on. Blocks the loop while it syncs.
class ReplicaDriver {
 public:
  struct Handlers {
    std::function<void(const consensus::Apply& entry)> on_apply;
    std::function<void(const consensus::Snapshot& snapshot)> on_snapshot;
    std::function<void(const consensus::RoleChanged& change)> on_role;
    std::function<void(const consensus::ReplicaId& replica)> on_join;
    /// A read barrier is over; may be left empty where none is asked for.
    std::function<void(const consensus::ReadBarrierDone& read)> on_read;
    /// The disk failed; the process must end.
    std::function<void(const Error& error)> on_disk_failure;
  };

  /// Returns where a control host takes frames; nullopt for an unknown one.
  using AddressOf = std::function<std::optional<Endpoint>(const HostId& host)>;

  /// `store` must be open and, as `transport`, outlive the driver.
  ReplicaDriver(consensus::FileStore& store,
                PeerTransport& transport,
                AddressOf address_of,
                Handlers handlers);

  /// Starts the replica from what the store recovered.
  void Start(const consensus::ReplicaSettings& settings,
             consensus::RecoveredState recovered,
             std::uint64_t seed,
             TimePoint now);

  /// Puts `payload` into the log; see Replica::Propose(). Nothing is written,
  /// sent or applied before the next Pump(), so that the caller can note the
  /// index first: a group of one applies an entry as soon as it is synced.
  Result<std::uint64_t> Propose(std::string_view payload, TimePoint now);

  /// Changes the members; see Replica::ProposeMembershipChange().
  Result<std::uint64_t> ProposeMembershipChange(
      const consensus::MembershipChange& change,
      TimePoint now);

  /// Asks for a linearizable read; see Replica::ReadBarrier(). Nothing is sent
  /// before the next Pump().
  Result<consensus::ReadToken> ReadBarrier(TimePoint now);

  /// See Replica::SetSeedHosts().
  void SetSeedHosts(std::vector<HostId> hosts);

  /// Hands the leadership over to the best synced voter, if there is one.
  void TransferLeadership(TimePoint now);

  /// Handles the payload of a consensus frame; what can't be read is dropped.
  void OnFrame(std::string_view payload, TimePoint now);

  /// Replaces the log up to `index` by `data`, the state machine's snapshot.
  void Compact(consensus::LogIndex index, std::string data, TimePoint now);

  /// Does what is due.
  void Tick(TimePoint now);

  /// Returns the replica; only after Start().
  [[nodiscard]] const consensus::Replica& replica() const { return *replica_; }
  [[nodiscard]] bool started() const { return replica_.has_value(); }

  /// Carries out commands until the replica has none.
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
  AddressOf address_of_;
  Handlers handlers_;
  std::optional<consensus::Replica> replica_;
  bool pumping_ = false;
};

}  // namespace briarlead

#endif  // BRIARLEAD_CONTROL_REPLICA_DRIVER_H_
