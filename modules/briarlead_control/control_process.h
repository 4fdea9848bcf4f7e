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

/// The control role of one host: a replica of the agreed state on its disk,
/// and the answers that entry hosts and operators get from it.
class ControlProcess {
 public:
  /// Called when the process must end; the exit code is 0 after a planned stop.
  using EndHandler = std::function<void(int exit_code)>;

  ControlProcess(ControlSettings settings, Logger& logger, EndHandler on_end);
  ~ControlProcess();
  ControlProcess(const ControlProcess&) = delete;
  ControlProcess& operator=(const ControlProcess&) = delete;

  /// Opens the ports and the data folder. Errors: as of the store and the
  /// transport; nothing is left open then.
  Result<void> Start();

  /// Begins a planned stop: hands the leadership over, then ends.
  void Stop();

 private:
  /// Puts commands into the log once enough members vote.
  class LogProposer {
   public:
    explicit LogProposer(ControlProcess& process) : process_(process) {}
    Result<std::uint64_t> Propose(const std::string& payload, TimePoint now);

   private:
    ControlProcess& process_;
  };

  Result<void> OpenPorts();
  Result<void> OpenStore();
  void MakeService();
  void CreateStore(bool forms_cluster);
  void StartReplica(consensus::RecoveredState recovered);
  [[nodiscard]] std::optional<Endpoint> AddressOfMember(
      const HostId& host) const;

  void OnFrame(const Frame& frame);
  void OnFormingFrame(const Frame& frame, TimePoint now);
  void OnControlFrame(const Frame& frame, TimePoint now);
  void OnOperatorRequest(const std::shared_ptr<HttpExchange>& exchange);

  void OnApply(const consensus::Apply& entry);
  void AnnounceLeadershipWhenApplied(TimePoint now);
  void OnSnapshot(const consensus::Snapshot& snapshot);
  void OnRole(const consensus::RoleChanged& change);
  void CompactWhenDue(TimePoint now);
  void ChangeMembersWhenDue(TimePoint now);

  void Tick();
  void RunForming(TimePoint now);
  /// Sends the answers that the service has ready.
  void SendAnswers();
  void SendAnswer(const SendControlAnswer& it);

  ControlSettings settings_;
  Logger& logger_;
  EndHandler on_end_;
  std::uint64_t incarnation_;
  std::unique_ptr<PeerTransport> transport_;
  std::unique_ptr<HttpServer> operators_;
  std::unique_ptr<consensus::FileStore> store_;
  std::unique_ptr<ReplicaDriver> driver_;
  std::optional<ClusterFormer> former_;
  consensus::MembershipManager membership_keeper_;
  LogProposer proposer_;
  StateMachine machine_;
  std::unique_ptr<ControlService<LogProposer>> service_;
  PeerDirectory peers_;
  std::map<PeerId, std::shared_ptr<HttpExchange>> exchanges_;
  PeerId next_exchange_ = PeerDirectory::kFirstExchange;
  /// Term that this replica leads, until its first entry is applied.
  std::optional<consensus::Term> term_to_announce_;
  consensus::Term applied_term_ = 0;
  bool leads_ = false;
  consensus::LogIndex compacted_index_ = 0;
  bool stopping_ = false;
  TimePoint stop_deadline_;
  SourceHandle timer_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_CONTROL_CONTROL_PROCESS_H_
