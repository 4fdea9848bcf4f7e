#ifndef BRIARLEAD_REGISTRY_REGISTRY_PROCESS_H_
#define BRIARLEAD_REGISTRY_REGISTRY_PROCESS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "briarlead_core/error.h"
#include "briarlead_core/logger.h"
#include "briarlead_limits/quota_ledger.h"
#include "briarlead_metrics/metrics.h"
#include "briarlead_net/glib_handles.h"
#include "briarlead_net/peer_transport.h"
#include "briarlead_registry/announcement_admission.h"
#include "briarlead_registry/directory_feed.h"
#include "briarlead_registry/directory_persistence.h"
#include "briarlead_registry/directory_push.h"
#include "briarlead_registry/known_hosts.h"
#include "briarlead_registry/registry_call.h"
#include "briarlead_registry/replicated_state.h"
#include "briarlead_registry/sent_messages.h"
#include "briarlead_registry/server_file.h"
#include "briarlead_registry/stream_origin_table.h"
#include "briarlead_routes/briarlead_routes.h"
#include "briarlead_settings/routing_settings.h"
#include "briarlead_wire/http_listener.h"
#include "briarlead_wire/text_endpoint.h"

namespace briarlead {

/// The control process of one host. It accepts changes of the list of routes
/// from operators and announcements from backend servers, and distributes both
/// to all hosts.
class RegistryProcess {
 public:
  /// Called when the process must end. The exit code is 0 after a planned stop.
  using ExitHandler = std::function<void(int exit_code)>;

  /// `logger` must outlive the object.
  RegistryProcess(RoutingSettings settings,
                  RegistryCallReader read_call,
                  RouteListReader read_routes,
                  Logger& logger,
                  ExitHandler on_exit);

  /// Opens the ports and the data folder, and starts the replica.
  Result<void> Start();

  /// Begins a planned stop: transfers the leadership, then ends the process.
  void Stop();

  /// Applies the settings that may change while the process runs: the seeds.
  void Reload(const RoutingSettings& settings);

 private:
  Result<void> OpenPorts();
  [[nodiscard]] std::string RenderMetrics();
  void Tick();

  void OnFrame(const Frame& frame);
  void OnRoutingFrame(const Frame& frame, TimePoint now);
  /// Records a heartbeat of the host at `peer`.
  void NoteHeartbeat(const Endpoint& peer,
                     const HostHeartbeat& heartbeat,
                     TimePoint now);
  void OnDirectoryRequest(const PeerName& sender,
                          const DirectoryRequest& request,
                          TimePoint now);
  /// Answers a host of an earlier build.
  void OnHostHeartbeat(const PeerName& sender,
                       const HostHeartbeat& heartbeat,
                       TimePoint now);
  /// Sends the entry host at `peer` what it lacks of the list of routes, the
  /// entry hosts and the control hosts. `follows` is that of its request.
  void SendNewsTo(const Endpoint& peer, bool follows, TimePoint now);
  /// Adds the list of routes if the entry host at `peer` lacks it and it is
  /// this host's turn to send it.
  void AddRoutesFor(const Endpoint& peer, RoutingUpdate& update, TimePoint now);
  /// Returns how long a list must be known before this host sends it as a
  /// follower.
  [[nodiscard]] Duration FallbackDelay() const;
  void OnRoutingUpdate(const RoutingUpdate& update, TimePoint now);
  /// Answers an entry host which list of routes is in force, if that is certain
  /// at `now`, which must have been read after the request was received.
  void OnKeyLeaseRequest(const Endpoint& peer,
                         const KeyLeaseRequest& request,
                         TimePoint now);
  /// As the leader, keeps the buckets of the quotas to the list in force; those
  /// of a new term begin empty.
  void UpdateQuotaLedger(TimePoint now);
  void OnQuotaGrantRequest(const Endpoint& issuer,
                           const QuotaGrantRequest& request,
                           TimePoint now);

  void OnCall(const CallerRequestId& id, RequestHead& head, std::string& body);
  void Handle(const CallerRequestId& id, ReplaceRoutesCall& call);
  void Handle(const CallerRequestId& id, ReadRoutesCall& call);
  void Handle(const CallerRequestId& id, AnnounceCall& call);
  void Handle(const CallerRequestId& id, DeregisterCall& call);
  /// Returns whether the directory changed.
  bool MarkDeparted(const DeregisterCall& call, TimePoint now);
  void Handle(const CallerRequestId& id, InvalidCall& call);
  void Handle(const CallerRequestId& id, UnknownCall& call);
  /// Answers a call with a JSON body.
  void Answer(const CallerRequestId& id, int status, std::string_view body);
  /// Redirects an operator to the leader. Answers 503 when no other leader is
  /// known; `why` is logged then.
  void RedirectToLeader(const CallerRequestId& id, std::string_view why);

  /// Sends a heartbeat to the control hosts; removes hosts and servers that
  /// have timed out.
  void SendHeartbeats(TimePoint now);
  /// Loads the servers that were saved before the last end of this process.
  void LoadServers(TimePoint now);
  void OnPersistLeavingRequest(const Endpoint& peer,
                               const PersistLeavingRequest& request,
                               TimePoint now);
  void OnPersistLeavingReply(const HostId& host,
                             const PersistLeavingReply& reply,
                             TimePoint now);
  /// Carries out what persistence_ decides.
  void RunPersistence(TimePoint now);
  void CarryOut(const SaveDirectory& command, TimePoint now);
  void CarryOut(SendPersistRequest& command, TimePoint now);
  void CarryOut(SendPersistReply& command, TimePoint now);
  void CarryOut(const AnswerLeaving& command, TimePoint now);
  /// Answers a call with `status` once the changes of this step of the main
  /// loop are sent.
  void AnswerAfterPush(const CallerRequestId& id, int status);
  /// Answers a call once the changes of this step are sent and no loss that the
  /// group survives makes the server `leaving` ready again.
  void ConfirmAfterPush(const CallerRequestId& id,
                        const BackendServerId& leaving);
  /// Sends the changes of this step soon.
  void SchedulePush();
  /// Sends the collected changes to all hosts; answers the calls that wait.
  void PushServers();
  void AnswerAnnouncements();
  /// Logs, at most once per second, that entry hosts lack the list in force.
  void LogHostsBehind(TimePoint now);
  /// As the leader, sends the list of routes to the entry hosts.
  void PushRoutes();
  /// Returns the other control hosts: seeds, members of the group, and those
  /// that send heartbeats.
  [[nodiscard]] std::vector<Endpoint> ControlPeers() const;
  /// Returns these and this host.
  [[nodiscard]] std::vector<Endpoint> AllControlHosts() const;
  void Send(const Endpoint& peer, const RoutingMessage& message);
  void SendEncoded(const Endpoint& peer, MessageKind kind, std::string message);
  void SendDatagram(const Endpoint& peer, const RoutingMessage& message);

  RoutingSettings settings_;
  RegistryCallReader read_call_;
  RouteListReader read_routes_;
  Logger& logger_;
  ExitHandler on_exit_;
  std::unique_ptr<PeerTransport> transport_;
  std::unique_ptr<HttpListener> listener_;
  TextEndpoint metrics_endpoint_;
  std::unique_ptr<ReplicatedState> state_;
  ServerDirectory directory_;
  DirectoryFollower follower_;  ///< Of the other control hosts.
  std::unique_ptr<DirectoryFeed> feed_;
  DirectoryPush push_;
  AnnouncementAdmission admission_;
  /// A call of a server that waits until the changes of this step are sent.
  struct PendingAnswer {
    CallerRequestId id;
    int status = 0;
    std::optional<BackendServerId> leaving;  ///< Confirmed in place of status.
  };
  std::vector<PendingAnswer> answers_after_push_;
  SourceHandle push_timer_;
  SentMessages sent_;
  ServerFile server_file_;
  DirectoryPersistence persistence_;
  KnownHosts hosts_;
  StreamOriginTable stream_origins_;
  QuotaLedger quota_ledger_{
      {settings_.quota_window, settings_.quota_excess, settings_.quota_slack}};
  std::uint64_t quota_routes_version_ = 0;
  consensus::Term quota_term_ = 0;
  Metrics metrics_;
  Metrics::CounterId announcements_;
  Metrics::CounterId announcements_put_off_;
  Metrics::CounterId leavings_confirmed_;
  Metrics::CounterId leavings_not_confirmed_;
  Metrics::CounterId route_changes_;
  Metrics::CounterId invalid_calls_;
  Metrics::GaugeId leads_;
  Metrics::GaugeId in_touch_;
  Metrics::GaugeId routes_version_;
  Metrics::GaugeId members_;
  Metrics::GaugeId servers_;
  Metrics::GaugeId entry_hosts_;
  Metrics::GaugeId hosts_behind_;
  Metrics::GaugeId longest_behind_;
  Metrics::GaugeId known_streams_;
  std::string current_path_;  ///< Request target of the current call.
  TimePoint next_heartbeat_;
  TimePoint next_behind_log_;
  std::uint64_t heartbeat_count_ = 0;
  bool stopping_ = false;
  TimePoint stop_deadline_;
  SourceHandle timer_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_REGISTRY_REGISTRY_PROCESS_H_
