#ifndef BRIARLEAD_GATEWAY_GATEWAY_PROCESS_H_
#define BRIARLEAD_GATEWAY_GATEWAY_PROCESS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "briarlead_core/error.h"
#include "briarlead_core/logger.h"
#include "briarlead_forward/directory_freshness.h"
#include "briarlead_forward/origin_finder.h"
#include "briarlead_forward/owner_client.h"
#include "briarlead_forward/permit_issuer.h"
#include "briarlead_forward/remote_placements.h"
#include "briarlead_gateway/active_request.h"
#include "briarlead_gateway/relay_codec.h"
#include "briarlead_gateway/relay_service.h"
#include "briarlead_gateway/request_codec.h"
#include "briarlead_limits/briarlead_limits.h"
#include "briarlead_net/peer_transport.h"
#include "briarlead_placement/briarlead_placement.h"
#include "briarlead_routes/briarlead_routes.h"
#include "briarlead_settings/routing_settings.h"
#include "briarlead_wire/memory_budget.h"
#include "briarlead_wire/text_endpoint.h"

namespace briarlead {

/// The entry process of one host: forwards callers' requests by the list of
/// routes. Control hosts send it that list and the known backend servers.
class GatewayProcess {
 public:
  /// Called when the process must exit; the exit code is 0 after Stop().
  using EndHandler = std::function<void(int exit_code)>;

  GatewayProcess(RoutingSettings settings,
                 RequestCodec codec,
                 Logger& logger,
                 EndHandler on_end);

  /// Opens all ports and starts the periodic work.
  Result<void> Start();

  /// Starts a graceful shutdown: reports not ready, completes the requests in
  /// progress and then calls the end handler.
  void Stop();

  /// Applies the settings that may change while the process runs: the seeds.
  void Reload(const RoutingSettings& settings);

 private:
  struct ControlHost {
    /// When the settings or a control host last listed this host.
    TimePoint last_named;
    TimePoint last_heard;
    std::uint64_t incarnation = 0;  ///< Of its process; 0 until it was heard.
    /// The entry hosts that it knows, and their digest.
    std::vector<EntryHost> entry_hosts;
    std::uint64_t hosts_digest = 0;
    HostCapacities capacities;  ///< As it told them last.
  };

  Result<void> OpenPeers();
  Result<void> OpenCallers();
  Result<void> OpenRelays();
  /// Divides the memory and the descriptors of the host among its ports.
  void SetPortLimits();
  void Tick();
  /// Takes the next step of a shutdown: ends the process or schedules itself.
  void ContinueStop();

  void OnFrame(const Frame& frame);
  void OnRoutingUpdate(const RoutingUpdate& update,
                       const PeerName& sender,
                       TimePoint now);
  void OnDirectoryUpdate(const DirectoryUpdate& update,
                         const PeerName& sender,
                         TimePoint now);
  /// Logs changes that the control host at `peer` reported.
  void LogChangedServers(std::span<const AnnouncedServer> servers,
                         const Endpoint& peer,
                         TimePoint now);
  void OnServersTold(const RoutingUpdate& update,
                     const Endpoint& peer,
                     TimePoint now);
  /// Sets the entry hosts to all that any control host knows.
  void UpdateEntryHosts(TimePoint now);
  void ApplyRoutes(std::string_view text, TimePoint now);
  void SendHeartbeats(TimePoint now);

  void OnRequest(const CallerRequestId& id,
                 RequestHead& head,
                 std::string& body);
  /// Answers a request that no route of the list matches: with 404, or with 503
  /// if there may be a newer list.
  void RefuseUnknownRoute(const CallerRequestId& id,
                          const RequestFacts& facts,
                          TimePoint now);
  /// Sets the account of a request on `route` and what the request counts as.
  /// Returns false if the request was refused, because it needs a key and has
  /// no valid one.
  bool FindAccount(const CallerRequestId& id,
                   const Route& route,
                   RequestFacts& facts,
                   TimePoint now);
  void RefuseWithoutKey(const CallerRequestId& id,
                        const RequestFacts& facts,
                        std::string_view why,
                        TimePoint now);
  /// Answers a request whose key isn't in the list: with 401, or with 503 if
  /// there may be a newer list.
  void RefuseUnknownKey(const CallerRequestId& id,
                        const RequestFacts& facts,
                        TimePoint now);
  /// Asks the leader which list is in force, if that is due: for the key lease,
  /// and to know how old this host's list may be.
  void RenewKeyLease(TimePoint now);
  /// Returns the time since the list was last known to be in force, in
  /// milliseconds; -1 if it never was.
  [[nodiscard]] std::int64_t ConfirmationAgeMs(TimePoint now) const;
  /// Logs, at most once per second, what retries were taken and refused.
  void LogRetries(TimePoint now);
  void OnKeyLeaseReply(const Endpoint& peer,
                       const KeyLeaseReply& reply,
                       TimePoint now);
  void OnReadyCheck(const CallerRequestId& id);
  [[nodiscard]] GatewayState State() const;
  /// If the load has changed, schedules a broadcast of this host's part to the
  /// other entry hosts and lets waiting requests try again.
  void ScheduleLoadUpdate(TimePoint now);
  void BroadcastLoad(TimePoint now);
  /// Tells `receivers` of the parts of prompts under which engines ended, if
  /// there are any.
  void SendCrashReport(std::span<const Endpoint> receivers, TimePoint now);
  /// Tells all hosts of a large fleet what is blocked or cleared, if this host
  /// is the first owner of the engines.
  void RelayCrashReport(TimePoint now);
  void LogSuspects(TimePoint now);
  [[nodiscard]] HostReport LocalReport(TimePoint now) const;
  /// Increases with each change that BroadcastLoad() must report at once.
  [[nodiscard]] std::uint64_t LocalRevision() const;
  /// Tells the hosts that place requests which speeds of engines this host
  /// observed.
  void SendEngineSpeeds(TimePoint now);
  void OnEngineSpeeds(const EngineSpeedReport& report, TimePoint now);
  void LogEngineSpeeds(TimePoint now);
  void OnHostLoad(const PeerName& sender, const HostLoad& load, TimePoint now);
  /// Tells a host that was not heard for a while, and may have restarted, which
  /// limits hold and what ends servers.
  void TellReturnedHost(const Endpoint& host, TimePoint now);
  /// Tells `receivers` which servers told this host that they leave.
  void SendLeavingServers(std::span<const Endpoint> receivers);
  /// Tells `receivers` the limits in `notices`, the newest if they are many.
  void SendServerLimits(std::span<const Endpoint> receivers,
                        std::vector<ServerLimitNotice> notices);
  /// Tells the owners of limits that were read just now; an owner tells all.
  void SendNewLimitsToOwners(TimePoint now);
  void OnServerLimitReport(const ServerLimitReport& report, TimePoint now);
  /// Tells every other entry host, as the owner of these servers' rates.
  void TellFleet(std::vector<ServerLimitNotice> notices);
  /// Tells hosts that are new in the fleet the limits of which this host owns
  /// the rates.
  void TellNewHosts(std::span<const EntryHost> before, TimePoint now);
  void LogServerLimits(TimePoint now);
  /// Sends the questions for permits that came up, or answers them here.
  void AskForSendPermits(TimePoint now);
  void OnSendPermitReply(const SendPermitReply& reply,
                         const Endpoint& owner,
                         TimePoint now);
  /// Asks the owner of the engines to place the request `key`.
  void AskOwner(RequestKey key, const AskForPlacement& ask);
  void OnPlacementReply(const EnginePlacementReply& reply,
                        const Endpoint& owner,
                        TimePoint now);
  /// Executes the commands of the owner client and schedules its next wake.
  void RunOwnerClient();
  /// Sets the plain services whose slots a scheduler hands out: those that have
  /// fewer slots than the fleet has entry hosts.
  void UpdateScheduledServices();
  /// Asks the scheduler of the service for a slot.
  void RequestSlot(RequestKey key, const AskForSlot& ask);
  void ReturnSlot(RequestKey key, const ReleaseSlot& release);
  /// Withdraws what a request that ended had asked for.
  void ForgetSlot(RequestKey key);
  /// Handles a message about slots; returns whether it is one.
  bool OnSlotFrame(const Endpoint& peer,
                   const RoutingMessage& message,
                   TimePoint now);
  void OnSlotRequest(const Endpoint& host,
                     const SlotRequest& request,
                     TimePoint now);
  void OnSlotRelease(const Endpoint& host,
                     const SlotRelease& release,
                     TimePoint now);
  /// Grants free slots to the waiting requests of all hosts: after a release,
  /// and periodically, since slots that were never released and servers that
  /// were left out come back with time.
  void PlaceWaitingForSlots(TimePoint now);
  void OnSlotReply(const SlotReply& reply,
                   const Endpoint& scheduler,
                   TimePoint now);
  /// Returns the servers of a plain service that may get requests, as of some
  /// milliseconds ago.
  [[nodiscard]] std::span<const ServerRecord> UsableServers(
      const ServiceId& service,
      TimePoint now);
  void SendSlotReplies();
  /// Executes the commands of the slot client and schedules its next wake.
  void RunSlotClient();
  /// Schedules a round of placing the waiting requests of other hosts.
  void PlaceWaitingSoon(TimePoint now);
  void SendPlacementReplies();
  /// Returns the request of this host with `key`; null if it has ended.
  [[nodiscard]] ActiveRequest* FindRequest(RequestKey key) const;
  void OnServerChecked(const ServerRecord& server, CheckResult result);
  /// Checks the servers whose answers tell whether `down` has ended or this
  /// host is cut off.
  void CheckOthersThan(const ServerRecord& down, TimePoint now);
  /// Logs when this host is cut off from all servers, and when it is back.
  void LogReach(TimePoint now);
  /// Logs when this host begins and ends to refuse requests for lack of memory.
  void LogMemory(TimePoint now);
  /// Calls `action` with each request in progress.
  void ForEachRequest(const std::function<void(ActiveRequest&)>& action);
  void OnRequestEnded(const CallerRequestId& id);
  /// Tells the control hosts at which versions streams began, where that
  /// matters.
  void SendOriginReports(TimePoint now);
  [[nodiscard]] std::vector<Endpoint> RespondingControlHosts(
      TimePoint now) const;
  /// Returns whether the control host answered lately.
  [[nodiscard]] static bool Responds(const ControlHost& host, TimePoint now);
  /// Returns whether more than half of the control hosts answered within
  /// `silence`.
  [[nodiscard]] bool HearsMajorityWithin(Duration silence, TimePoint now) const;
  /// Returns whether most control hosts answered the latest heartbeats and have
  /// no servers that this host lacks.
  [[nodiscard]] bool HearsLatestAnswers(TimePoint now) const;
  /// Records which process of a control host was heard.
  void NoteIncarnation(ControlHost& control, std::uint64_t incarnation);
  /// Asks the control hosts at which version a stream began.
  void FindOrigin(RequestKey key, const AskForStreamOrigin& ask);
  void OnOriginReply(const Endpoint& peer,
                     const StreamOriginReply& reply,
                     TimePoint now);
  /// Executes the commands of the origin finder.
  void RunOriginFinder(TimePoint now);
  void ScheduleOriginFinder(TimePoint now);
  /// Asks the issuers of quotas for what the request `key` needs.
  void AskQuota(RequestKey key, const AskForQuota& ask);
  void OnQuotaFrame(const Endpoint& peer,
                    const RoutingMessage& message,
                    TimePoint now);
  void SetQuotaAccounts(TimePoint now);
  void Execute(const SendQuotaRequest& it, TimePoint now);
  void Execute(const QuotaAnswer& it, TimePoint now);
  void Execute(const QuotaGranted& it, TimePoint now);
  void Execute(const SendQuotaReply& it, TimePoint now);
  void Execute(const SendGrantRequest& it, TimePoint now);
  /// Executes the commands of the quota client and issuer.
  void RunQuotas(TimePoint now);
  void ScheduleQuotas(TimePoint now);
  /// Returns whether the known servers are those that the control hosts know.
  [[nodiscard]] bool HasCurrentDirectory(TimePoint now) const;
  /// Returns whether more than half of the control hosts respond.
  [[nodiscard]] bool HearsControlMajority(TimePoint now) const;
  /// Updates whether a network partition isolates this host. While it does, the
  /// host reports not ready.
  void UpdateIsolation(TimePoint now);
  [[nodiscard]] bool IsReady() const;
  /// Returns whether a request that arrives during a shutdown can complete
  /// before the process exits.

  RoutingSettings settings_;
  RequestCodec codec_;
  Logger& logger_;
  EndHandler on_end_;
  RandomSource random_;
  ServerDirectory directory_;
  DirectoryFollower follower_;
  ServerLimits server_limits_;
  PermitOwners permit_owners_;
  PermitIssuer permit_issuer_;
  SendPermits permits_;
  RelayHosts relays_;
  ServerPool pool_;
  KeyLease key_lease_;
  SendGate gate_;
  RetryBudget budget_;
  EngineLoadTracker load_tracker_;
  ModelPlacer placer_;
  PlacementOwners owners_;
  OwnerClient owner_client_;
  StreamOrigins origins_;
  OriginFinder origin_finder_;
  CrashSuspects suspects_;
  QuotaIssuer quota_issuer_;
  QuotaClient quota_client_;
  QuotaCounters quota_counters_;
  RemotePlacements remote_placements_;
  SlotScheduler slot_scheduler_;
  SlotClient slot_client_;
  std::set<ServiceId> scheduled_services_;
  struct UsableServerList {
    std::vector<ServerRecord> servers;
    TimePoint valid_until;
  };
  std::map<ServiceId, UsableServerList> usable_servers_;
  OutputLengthEstimator output_lengths_;
  MemoryBudget memory_;
  BodyBudget body_budget_;
  GatewayMetrics metrics_;
  RequestKey last_key_ = 0;
  UpstreamPool servers_;
  ServerNotices notices_;
  ServerChecker checker_;
  std::unique_ptr<RelayCodec> relay_codec_;
  std::unique_ptr<RelayService> relay_service_;
  std::unique_ptr<PeerTransport> transport_;
  std::unique_ptr<HttpListener> callers_;
  std::unique_ptr<HttpListener> ready_checks_;
  TextEndpoint metrics_endpoint_;
  std::shared_ptr<const RouteTable> table_;
  /// Hash of the list of routes that was read last.
  std::size_t routes_text_hash_ = 0;
  /// Since when this host knows that there is a newer list.
  std::optional<TimePoint> behind_since_;
  std::map<Endpoint, ControlHost> control_hosts_;
  std::vector<EntryHost> entry_hosts_;
  std::uint64_t entry_hosts_digest_ = 0;
  HostWeights weights_;
  TimePoint next_capacity_report_;
  /// When each entry host was last heard.
  std::map<Endpoint, TimePoint> hosts_heard_;
  bool directory_received_ = false;
  DirectoryFreshness freshness_;
  std::map<CallerRequestId, std::unique_ptr<ActiveRequest>> requests_;
  std::map<RequestKey, CallerRequestId> request_ids_;
  std::vector<std::unique_ptr<ActiveRequest>> finished_;
  TimePoint next_heartbeat_;
  TimePoint next_origin_report_;
  TimePoint next_retry_log_;
  RetryCounts logged_retries_;
  bool isolated_ = false;
  bool logged_cut_off_ = false;
  std::uint64_t logged_refused_ = 0;
  TimePoint last_refused_at_;
  bool logs_refusals_ = false;
  ShutdownPlan shutdown_;
  SourceHandle stop_timer_;
  SourceHandle timer_;
  SourceHandle cleanup_timer_;
  SourceHandle load_timer_;
  SourceHandle owner_timer_;
  SourceHandle origin_timer_;
  SourceHandle quota_timer_;
  SourceHandle place_timer_;
  SourceHandle slot_timer_;
  SourceHandle own_permit_timer_;
  /// Replies of this host to its own questions.
  std::vector<SendPermitReply> own_permit_replies_;
  TimePoint last_placed_;
  std::uint64_t sent_revision_ = 0;
  std::uint64_t relayed_revision_ = 0;
  TimePoint last_relay_;
  std::uint64_t handled_revision_ = 0;
  TimePoint next_load_broadcast_;
  bool sent_load_was_empty_ = true;
};

}  // namespace briarlead

#endif  // BRIARLEAD_GATEWAY_GATEWAY_PROCESS_H_
