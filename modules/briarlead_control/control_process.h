#ifndef BRIARLEAD_CONTROL_CONTROL_PROCESS_H_
#define BRIARLEAD_CONTROL_CONTROL_PROCESS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "briarlead_consensus/briarlead_consensus.h"
#include "briarlead_control/cluster_former.h"
#include "briarlead_control/peer_directory.h"
#include "briarlead_control/replica_driver.h"
#include "briarlead_core/error.h"
#include "briarlead_core/logger.h"
#include "briarlead_http/briarlead_http.h"
#include "briarlead_net/glib_handles.h"
#include "briarlead_net/peer_transport.h"
#include "briarlead_settings/briarlead_settings.h"
#include "briarlead_state/briarlead_state.h"

namespace briarlead {

/// The process of a control host. It keeps a replica of the state that the
/// control hosts agree on, and answers the requests of entry hosts and
/// operators.
class ControlProcess {
 public:
  /// Called when the process must end. The exit code is 0 after a planned stop
  /// and 1 after a failure.
  using EndHandler = std::function<void(int exit_code)>;

  ControlProcess(ControlSettings settings, Logger& logger, EndHandler on_end);
  ~ControlProcess();
  ControlProcess(const ControlProcess&) = delete;
  ControlProcess& operator=(const ControlProcess&) = delete;

  /// Opens the ports and the data folder. Errors: those of the transport, the
  /// HTTP server and the store. After an error, the destructor closes what was
  /// opened.
  Result<void> Start();

  /// Begins a planned stop: transfers the leadership if this host leads, then
  /// ends.
  void Stop();

 private:
  /// Appends commands to the log once a majority of the configured members
  /// votes.
  class LogProposer {
   public:
    explicit LogProposer(ControlProcess& process) : process_(process) {}
    Result<std::uint64_t> Propose(const std::string& payload, TimePoint now);

   private:
    ControlProcess& process_;
  };

  Result<void> OpenPorts();
  Result<void> OpenStore();
  void CreateComponents();
  /// Creates the store of a host with an empty data folder, as the first voter
  /// of a new cluster if `forms_cluster`, and starts the replica.
  void CreateStore(bool forms_cluster);
  void StartReplica(consensus::RecoveredState recovered);
  [[nodiscard]] std::optional<Endpoint> EndpointOfMember(
      const HostId& host) const;

  void OnFrame(const Frame& frame);
  void OnFormingFrame(const Frame& frame, TimePoint now);
  void OnControlFrame(const Frame& frame, TimePoint now);
  void OnOperatorRequest(const std::shared_ptr<HttpExchange>& exchange);

  void OnApply(const consensus::Apply& entry);
  /// Tells the service that this host leads once the first entry of the term is
  /// applied.
  void AnnounceLeadershipWhenApplied(TimePoint now);
  void OnSnapshot(const consensus::Snapshot& snapshot);
  void OnRole(const consensus::RoleChanged& change);
  void CompactWhenDue(TimePoint now);
  void ChangeMembersWhenDue(TimePoint now);

  void Tick();
  void RunFormingCommands(TimePoint now);
  /// Carries out the replica's commands, then sends the answers that the
  /// service has ready.
  void SendAnswers();
  void SendAnswer(const SendControlAnswer& command);

  ControlSettings settings_;
  Logger& logger_;
  EndHandler on_end_;
  std::uint64_t incarnation_;
  std::unique_ptr<PeerTransport> transport_;
  std::unique_ptr<HttpServer> operator_server_;
  std::unique_ptr<consensus::FileStore> store_;
  std::unique_ptr<ReplicaDriver> driver_;
  std::optional<ClusterFormer> former_;
  consensus::MembershipManager membership_manager_;
  LogProposer proposer_;
  StateMachine machine_;
  std::unique_ptr<ControlService<LogProposer>> service_;
  PeerDirectory peers_;
  std::map<PeerId, std::shared_ptr<HttpExchange>> operator_exchanges_;
  PeerId next_exchange_id_ = PeerDirectory::kFirstExchangeId;
  /// Term that this replica leads; set until the first entry of the term is
  /// applied and the service is told.
  std::optional<consensus::Term> term_to_announce_;
  consensus::Term applied_term_ = 0;
  bool is_leader_ = false;
  consensus::LogIndex compacted_index_ = 0;
  bool stopping_ = false;
  TimePoint stop_deadline_;
  SourceHandle timer_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_CONTROL_CONTROL_PROCESS_H_
