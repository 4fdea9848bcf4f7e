#ifndef BRIARLEAD_REGISTRY_REPLICATED_STATE_H_
#define BRIARLEAD_REGISTRY_REPLICATED_STATE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "briarlead_consensus/briarlead_consensus.h"
#include "briarlead_control/replica_driver.h"
#include "briarlead_core/error.h"
#include "briarlead_core/logger.h"
#include "briarlead_net/peer_transport.h"
#include "briarlead_settings/routing_settings.h"
#include "briarlead_state/briarlead_state.h"

namespace briarlead {

/// One control host's replica of the replicated state, stored on disk. It forms
/// or joins the group, maintains the group's membership, and handles changes
/// and reads. After a failed write, and while the store can't be opened, the
/// host runs without a replica: changes and reads are refused, and the state
/// from before the failure stays available.
class ReplicatedState {
 public:
  /// Called with the outcome of a change or a read: confirmed, or unknown.
  using Completion = std::function<void(bool confirmed)>;

  struct Handlers {
    /// The list of routes in force was replaced.
    std::function<void()> on_routes_changed;
    /// A snapshot can't be decoded; the process must end.
    std::function<void()> on_failure;
  };

  /// `transport` and `logger` must outlive the object.
  ReplicatedState(const RoutingSettings& settings,
                  PeerTransport& transport,
                  Logger& logger,
                  Handlers handlers);

  /// Opens the store, creating it if needed, and starts the replica. Where the
  /// disk is full or the store is damaged, the host runs without a replica and
  /// tries again. Error: kConflict when the store belongs to another host or
  /// group, or another process has it open.
  Result<void> Start(TimePoint now);

  /// Proposes a new list of routes. `done` is called once it is committed or
  /// its outcome can't be known any more. Error: kUnavailable when this host
  /// isn't the leader or the group has too few voters; nothing is changed then.
  Result<void> Replace(ReplaceRoutes command, Completion done, TimePoint now);

  /// Linearizable read: calls `done` once the local state is confirmed to be
  /// current. Error: kUnavailable when this host isn't the leader or has no
  /// replica.
  Result<void> Read(Completion done, TimePoint now);

  /// Handles the payload of a consensus frame.
  void OnFrame(std::string_view payload, TimePoint now);
  /// Drives the replica, its membership and its snapshots; reopens a failed
  /// disk.
  void Tick(TimePoint now);
  /// Transfers the leadership to another replica, before a planned stop.
  void TransferLeadership(TimePoint now);

  [[nodiscard]] const RouteStore& routes() const { return machine_.routes(); }
  [[nodiscard]] bool leads() const { return leads_; }
  /// Returns the term in which this host leads, or led last.
  [[nodiscard]] consensus::Term led_term() const { return led_term_; }
  /// Returns the host of the leader; empty when unknown.
  [[nodiscard]] HostId leader() const;
  /// Returns whether this host holds the leader's lease or, as a follower, has
  /// heard from the leader recently.
  [[nodiscard]] bool HasMajorityContact(TimePoint now) const;
  /// Returns whether routes() is certainly the list in force: this host leads,
  /// no other host can, and what earlier leaders committed is applied.
  [[nodiscard]] bool HasCurrentRoutes(TimePoint now) const;
  /// Returns the hosts of the group's members, voters and learners.
  [[nodiscard]] std::vector<HostId> MemberHosts() const;
  /// Returns the hosts of the group's voters.
  [[nodiscard]] std::set<HostId> VoterHosts() const;
  /// Sets the hosts that are asked to let this one join the group.
  void SetSeedHosts(std::vector<HostId> hosts);

 private:
  /// A change that was proposed and is not applied yet.
  struct PendingChange {
    consensus::Term term = 0;
    std::vector<Completion> completions;
  };

  /// Creates the store, as the first member of a new group or to join one.
  Result<void> CreateStore();
  /// Opens the store, creating it if needed, and starts a replica from it.
  Result<void> OpenReplica(TimePoint now);
  /// Stops the replica after a failed write; then repeatedly tries to start it
  /// again from the contents of the disk.
  void RecoverDisk(TimePoint now);
  /// Runs on without a replica, until the next attempt to open the store.
  void OnOpenFailed(const Error& error, TimePoint now);
  ReplicaDriver::Handlers MakeDriverHandlers();
  void OnApply(const consensus::Apply& entry);
  void OnSnapshot(const consensus::Snapshot& snapshot);
  void OnRoleChanged(const consensus::RoleChanged& change);
  /// Returns the hosts of the group's voters, separated by commas.
  [[nodiscard]] std::string Voters() const;
  void OnReadBarrierDone(const consensus::ReadBarrierDone& read);
  /// As the leader, proposes the next membership change, if any.
  void ChangeMembers(TimePoint now);
  /// Replaces the log by a snapshot when one is due.
  void Compact(TimePoint now);
  /// Completes all pending changes and reads with an unknown outcome.
  void FailPending();

  RoutingSettings settings_;
  PeerTransport& transport_;
  Logger& logger_;
  Handlers handlers_;
  std::unique_ptr<consensus::FileStore> store_;
  std::unique_ptr<ReplicaDriver> driver_;
  consensus::MembershipManager membership_;
  StateMachine machine_;
  std::map<consensus::LogIndex, PendingChange> pending_changes_;
  std::map<consensus::ReadToken, Completion> pending_reads_;
  std::uint64_t last_proposed_version_ = 0;
  consensus::LogIndex last_proposed_index_ = 0;
  std::string last_proposed_text_;
  std::vector<HostId> seed_hosts_;
  consensus::ReplicaId leader_;
  consensus::LogIndex compacted_index_ = 0;
  std::optional<TimePoint> leader_known_since_;
  bool leads_ = false;
  consensus::Term led_term_ = 0;
  bool routes_not_in_snapshot_ = false;
  TimePoint routes_changed_at_;
  bool disk_failed_ = false;
  TimePoint reopen_at_;
  /// Why the store can't be opened, as it was logged last.
  std::string open_error_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_REGISTRY_REPLICATED_STATE_H_
