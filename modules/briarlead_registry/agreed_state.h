#ifndef BRIARLEAD_REGISTRY_AGREED_STATE_H_
#define BRIARLEAD_REGISTRY_AGREED_STATE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
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

/// One control host's replica of the agreed state, on its disk: forms or joins
/// the group, keeps its members, and settles changes and reads. While its disk
/// refuses writes the host goes on without its replica: nothing is accepted
/// here, and what was known before stays known.
class AgreedState {
 public:
  /// Outcome of a change or a read: confirmed, or nothing is known.
  using Done = std::function<void(bool confirmed)>;

  struct Handlers {
    /// The list of routes in force was replaced.
    std::function<void()> on_routes;
    /// The state can't be read; the process must end.
    std::function<void()> on_failure;
  };

  /// `transport` and `logger` must outlive the object.
  AgreedState(const RoutingSettings& settings,
              PeerTransport& transport,
              Logger& logger,
              Handlers handlers);

  /// Opens or makes the store. Errors: as of the store.
  Result<void> Start(TimePoint now);

  /// Puts a list of routes into the log. `done` is called once it is committed
  /// or its fate is unknown. Error: kUnavailable when this host doesn't lead or
  /// too few replicas vote; then nothing was changed.
  Result<void> Replace(ReplaceRoutes command, Done done, TimePoint now);

  /// Calls `done` once the state here is known to be the newest. Error:
  /// kUnavailable when this host doesn't lead.
  Result<void> Read(Done done, TimePoint now);

  void OnFrame(std::string_view payload, TimePoint now);
  void Tick(TimePoint now);
  /// Hands the leadership over before a planned stop.
  void HandOver(TimePoint now);

  [[nodiscard]] const RouteStore& routes() const { return machine_.routes(); }
  [[nodiscard]] bool leads() const { return leads_; }
  /// Returns the host that leads, as far as known; empty when unknown.
  [[nodiscard]] HostId leader() const;
  /// Returns whether this host was in touch with a majority lately.
  [[nodiscard]] bool InTouch(TimePoint now) const;
  /// Returns the hosts of the group's members.
  [[nodiscard]] std::vector<HostId> MemberHosts() const;
  /// Hosts that are asked to let this one join.
  void SetSeedHosts(std::vector<HostId> hosts);

 private:
  struct PendingChange {
    consensus::Term term = 0;
    std::vector<Done> waiting;
  };

  Result<void> CreateStore();
  /// Opens the store and starts a replica from it.
  Result<void> OpenReplica(TimePoint now);
  /// Gives the replica up after its disk refused a write, and tries again from
  /// what the disk holds.
  void RecoverDisk(TimePoint now);
  ReplicaDriver::Handlers MakeDriverHandlers();
  void OnApply(const consensus::Apply& entry);
  void OnSnapshot(const consensus::Snapshot& snapshot);
  void OnRole(const consensus::RoleChanged& change);
  void OnRead(const consensus::ReadBarrierDone& read);
  void ChangeMembers(TimePoint now);
  void Compact(TimePoint now);
  /// Ends the changes and reads whose outcome can't be known any more.
  void AbandonPending();

  RoutingSettings settings_;
  PeerTransport& transport_;
  Logger& logger_;
  Handlers handlers_;
  std::unique_ptr<consensus::FileStore> store_;
  std::unique_ptr<ReplicaDriver> driver_;
  consensus::MembershipManager keeper_ =
      consensus::MembershipManager::ForAnyHost();
  StateMachine machine_;
  std::map<consensus::LogIndex, PendingChange> changes_;
  std::map<consensus::ReadToken, Done> reads_;
  std::uint64_t last_proposed_version_ = 0;
  consensus::LogIndex last_proposed_index_ = 0;
  std::string last_proposed_text_;
  std::vector<HostId> seed_hosts_;
  consensus::ReplicaId leader_;
  consensus::LogIndex compacted_index_ = 0;
  std::optional<TimePoint> leader_known_since_;
  bool leads_ = false;
  bool routes_unsaved_ = false;  ///< Not in a snapshot yet.
  TimePoint routes_changed_at_;
  bool disk_failed_ = false;
  TimePoint reopen_at_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_REGISTRY_AGREED_STATE_H_
