#include "briarlead_gateway/gateway_process.h"

#include <limits>
#include <utility>

#include "briarlead_core/system_random.h"
#include "briarlead_gateway/engine_speed_metrics.h"
#include "briarlead_net/address_transport.h"
#include "briarlead_net/loop_clock.h"

namespace briarlead {

namespace {

constexpr guint kTickIntervalMs = 100;
constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(400);
/// Interval of heartbeats until the process is ready.
constexpr Duration kStartupHeartbeatInterval = std::chrono::milliseconds(100);
/// Interval of the steps of a shutdown.
constexpr guint kStopIntervalMs = 50;

QuotaBounds QuotaBoundsOf(const RoutingSettings& settings) {
  return {settings.quota_window, settings.quota_excess, settings.quota_slack};
}

/// Returns a number at which those of a process's questions may begin.
std::uint32_t RandomNumber(RandomSource& random) {
  return static_cast<std::uint32_t>(random.Below(std::uint64_t{1} << 32));
}

/// Time without a refusal for lack of memory after which refusals have ended.
constexpr Duration kRefusalPause = std::chrono::seconds(5);
constexpr Duration kRetryLogInterval = std::chrono::seconds(1);
/// Parts of the descriptors that each port may use. A request of a caller or of
/// another host may need one for a server, too; a fifth is left for connections
/// that are kept to servers, and for peers.
constexpr std::size_t kCallersPart = 3;
constexpr std::size_t kRelaysPart = 24;
constexpr std::size_t kChecksPart = 32;

}  // namespace

GatewayProcess::GatewayProcess(RoutingSettings settings,
                               RequestCodec codec,
                               Logger& logger,
                               EndHandler on_end)
    : settings_(std::move(settings)),
      codec_(std::move(codec)),
      logger_(logger),
      on_end_(std::move(on_end)),
      random_(SystemRandomNumber()),
      follower_(directory_,
                {settings_.address, settings_.entry_peer_port},
                DirectoryFollower::Follows::kOneSource),
      permit_owners_({settings_.address, settings_.entry_peer_port}),
      permit_issuer_(server_limits_, permit_owners_),
      permits_(server_limits_, permit_owners_),
      relays_({settings_.address, settings_.entry_peer_port},
              settings_.data_centre),
      pool_(directory_, permits_, relays_, settings_.data_centre),
      key_lease_(settings_.revocation_time, SystemRandomNumber()),
      gate_(settings_.strict_revocation ? &key_lease_ : nullptr),
      budget_({settings_.retry_ratio, settings_.retry_slack,
               settings_.retry_window},
              random_.Unit()),
      placer_(load_tracker_, pool_),
      owners_({settings_.address, settings_.entry_peer_port},
              settings_.data_centre),
      origins_(directory_),
      suspects_(settings_.address),
      quota_issuer_({settings_.address, settings_.entry_peer_port},
                    settings_.data_centre,
                    QuotaBoundsOf(settings_),
                    RandomNumber(random_)),
      quota_client_({settings_.address, settings_.entry_peer_port},
                    settings_.data_centre,
                    QuotaBoundsOf(settings_),
                    RandomNumber(random_)),
      remote_placements_(load_tracker_, placer_, pool_, random_),
      body_budget_(
          {[this](std::size_t n) { return memory_.HasRoomForResponse(n); },
           [this](std::size_t before, std::size_t now) {
             memory_.Change(MemoryKind::kResponseBodies, before, now);
           }}),
      notices_(codec_, pool_, server_limits_, logger_),
      checker_([this](const ServerRecord& server, CheckResult result) {
        OnServerChecked(server, result);
      }),
      shutdown_(settings_.stop_timeout) {}

Result<void> GatewayProcess::Start() {
  BOOST_OUTCOME_TRY(OpenPeers());
  BOOST_OUTCOME_TRY(OpenRelays());
  BOOST_OUTCOME_TRY(OpenCallers());
  BOOST_OUTCOME_TRY(metrics_endpoint_.Serve(settings_.metrics, [this] {
    return metrics_.Render(State()) + quota_counters_.Render() +
           RenderEngineSpeeds(load_tracker_.speeds());
  }));
  SetPortLimits();
  logger_.Info(LoopNow(), "gateway_started",
               {{"host", settings_.name},
                {"callers", ToString(settings_.callers)},
                {"seeds", settings_.seeds.size()}});
  Tick();
  return outcome::success();
}

Result<void> GatewayProcess::OpenPeers() {
  PeerTransport::Handlers handlers;
  handlers.on_frame = [this](const Frame& it) { OnFrame(it); };
  handlers.on_link_failure = [this](const Endpoint& it, LinkFailure failure) {
    logger_.Warning(LoopNow(), "link_failed",
                    {{"peer", ToString(it)}, {"why", ToString(failure)}});
  };
  const Endpoint peers{settings_.address, settings_.entry_peer_port};
  BOOST_OUTCOME_TRY(transport_, OpenAddressTransport(peers, settings_.frame_key,
                                                     std::move(handlers)));
  return outcome::success();
}

Result<void> GatewayProcess::OpenRelays() {
  BOOST_OUTCOME_TRY(const FrameKey key,
                    FrameKey::FromSecret(settings_.frame_key));
  relay_codec_ = std::make_unique<RelayCodec>(key);
  BOOST_OUTCOME_TRY(
      relay_service_,
      RelayService::Listen({settings_.address, settings_.relay_port},
                           *relay_codec_,
                           {servers_, directory_, pool_, codec_, checker_,
                            notices_, gate_, logger_}));
  return outcome::success();
}

Result<void> GatewayProcess::OpenCallers() {
  HttpListener::Handlers requests;
  requests.on_request = [this](const CallerRequestId& id, RequestHead& head,
                               std::string& body) {
    OnRequest(id, head, body);
  };
  requests.on_gone = [this](const CallerRequestId& id) {
    const auto it = requests_.find(id);
    if (it != requests_.end())
      it->second->OnCallerGone();
  };
  requests.on_drained = [this](const CallerRequestId& id) {
    const auto it = requests_.find(id);
    if (it != requests_.end())
      it->second->OnCallerDrained();
  };
  BOOST_OUTCOME_TRY(
      callers_, HttpListener::Listen(settings_.callers, std::move(requests)));
  HttpListener::Handlers checks;
  checks.on_request = [this](const CallerRequestId& id, RequestHead&,
                             std::string&) { OnReadyCheck(id); };
  checks.on_gone = [](const CallerRequestId&) {};
  BOOST_OUTCOME_TRY(ready_checks_,
                    HttpListener::Listen(settings_.ready, std::move(checks)));
  return outcome::success();
}

void GatewayProcess::SetPortLimits() {
  KeepHeapCompact();
  memory_.SetHostMemory(settings_.memory_mb);
  callers_->SetMemoryBudget(memory_);
  ready_checks_->SetMemoryBudget(memory_);
  ready_checks_->SetLimits(LimitsWithoutBody());
  const std::size_t all = settings_.max_descriptors == 0
                              ? std::numeric_limits<std::size_t>::max()
                              : settings_.max_descriptors;
  callers_->SetMaxConnections(all / kCallersPart);
  relay_service_->SetMemoryLimits(memory_, all / kRelaysPart);
  ready_checks_->SetMaxConnections(all / kChecksPart);
  metrics_endpoint_.SetLimits(memory_, all / kChecksPart);
}

GatewayState GatewayProcess::State() const {
  GatewayState state;
  state.routes_version = table_ ? table_->list().version : 0;
  state.servers = directory_.entries().size();
  state.requests = requests_.size();
  state.entry_hosts = entry_hosts_.size();
  state.control_hosts = control_hosts_.size();
  state.connections_opened = servers_.opened();
  state.owns_engines = owners_.owns_engines();
  state.waiting_placements = remote_placements_.waiting_count();
  state.blocked_suspects = suspects_.BlockedCount(LoopNow());
  state.relayed_for_others = relay_service_->passed_on();
  state.cut_off_from_servers = pool_.IsCutOff();
  state.waiting_for_slots = slot_scheduler_.waiting_count();
  state.granted_slots = slot_scheduler_.granted_count();
  state.limited_servers = server_limits_.LimitedCount();
  state.key_lease_age = gate_.LeaseAge(LoopNow());
  state.list_age = key_lease_.Age(LoopNow());
  state.retries = budget_.counts();
  state.ready = IsReady();
  state.memory = &memory_;
  return state;
}

void GatewayProcess::Stop() {
  if (shutdown_.begun())
    return;
  const TimePoint now = LoopNow();
  shutdown_.Begin(now);
  logger_.Info(now, "gateway_stopping", {{"requests", requests_.size()}});
  callers_->SetKeeping(false);
  relay_service_->Stop();
  ContinueStop();
}

void GatewayProcess::Reload(const RoutingSettings& settings) {
  settings_.seeds = settings.seeds;
  logger_.Info(LoopNow(), "settings_reloaded",
               {{"seeds", settings_.seeds.size()}});
}

void GatewayProcess::Tick() {
  const TimePoint now = LoopNow();
  freshness_.OnStep(HearsLatestAnswers(now), now);
  if (now >= next_heartbeat_) {
    next_heartbeat_ =
        now + (IsReady() ? kHeartbeatInterval : kStartupHeartbeatInterval);
    SendHeartbeats(now);
    servers_.Sweep(now);
    directory_.Expire(now);
    pool_.RemoveUnknown();
    checker_.Sweep(now);
    suspects_.Expire(now);
    server_limits_.Expire(directory_, now);
    permit_issuer_.Expire();
    permits_.Expire(now);
    LogEngineSpeeds(now);
    UpdateScheduledServices();
  }
  RenewKeyLease(now);
  LogSuspects(now);
  RelayCrashReport(now);
  SendOriginReports(now);
  checker_.RunPostponed(now);
  LogServerLimits(now);
  for (const ServerRecord& it : pool_.Down())
    checker_.Check(it, now);
  LogReach(now);
  LogMemory(now);
  LogRetries(now);
  UpdateIsolation(now);
  load_tracker_.Expire(now);
  PlaceWaitingForSlots(now);
  ScheduleLoadUpdate(now);
  timer_.StartTimer(kTickIntervalMs, [this] { Tick(); });
}

void GatewayProcess::ContinueStop() {
  const TimePoint now = LoopNow();
  const bool may_end_idle = shutdown_.MayEndIdle(now);
  if (may_end_idle)
    callers_->CloseIdle();
  ForEachRequest([](ActiveRequest& it) { it.OnShutdown(); });
  const bool idle = may_end_idle && requests_.empty() &&
                    relay_service_->size() == 0 &&
                    callers_->connection_count() == 0;
  if (idle || now >= shutdown_.ends_at()) {
    logger_.Info(now, "gateway_stopped", {{"cut", requests_.size()}});
    on_end_(0);
    return;
  }
  stop_timer_.StartTimer(kStopIntervalMs, [this] { ContinueStop(); });
}

bool GatewayProcess::IsReady() const {
  return !shutdown_.begun() && !isolated_ && table_ != nullptr &&
         directory_received_;
}

void GatewayProcess::OnReadyCheck(const CallerRequestId& id) {
  ready_checks_->Respond(id, IsReady() ? 200 : 503, {}, "");
}

void GatewayProcess::OnRequest(const CallerRequestId& id,
                               RequestHead& head,
                               std::string& body) {
  const TimePoint now = LoopNow();
  RequestFacts facts = codec_.read_request(head);
  if (!table_) {
    HeaderFields fields;
    fields.Add("Retry-After", "0.5");
    logger_.Info(now, "request_refused",
                 {{"request", facts.id}, {"why", "no_routes"}});
    callers_->Respond(id, 503, fields, "no list of routes yet\n");
    return;
  }
  const Route* route =
      table_->Match(head.fields.Find("Host").value_or(""), head.path());
  if (route == nullptr) {
    RefuseUnknownRoute(id, facts, now);
    return;
  }
  if (!shutdown_.MaySend(ForwardFlow::DeadlineOf(*route, facts, now), now)) {
    HeaderFields fields;
    fields.Add("Retry-After", "0.1");
    logger_.Info(now, "request_refused",
                 {{"request", facts.id}, {"why", "stopping"}});
    callers_->Respond(id, 503, fields, "the host is stopping\n");
    return;
  }
  if (!FindAccount(id, *route, facts, now))
    return;
  origins_.SetCurrent(HasCurrentDirectory(now));
  const RequestKey key = ++last_key_;
  RequestEnvironment environment{
      *callers_,
      servers_,
      codec_,
      *relay_codec_,
      settings_.relay_port,
      logger_,
      checker_,
      notices_,
      metrics_,
      {pool_, relays_, server_limits_, budget_, random_, load_tracker_, placer_,
       owners_, output_lengths_, suspects_, body_budget_, origins_, shutdown_,
       gate_, scheduled_services_},
      [this, key](const AskForPlacement& it) { AskOwner(key, it); },
      [this, key](const AskForStreamOrigin& it) { FindOrigin(key, it); },
      [this, key](const AskForQuota& it) { AskQuota(key, it); },
      [this] { AskForSendPermits(LoopNow()); },
      [this, key](const AskForSlot& it) { RequestSlot(key, it); },
      [this, key](const ReleaseSlot& it) { ReturnSlot(key, it); }};
  auto flow = std::make_unique<ForwardFlow>(environment.forward, key, table_,
                                            *route, std::move(facts), now);
  auto request = std::make_unique<ActiveRequest>(
      environment, id, std::move(head), std::move(body), std::move(flow),
      [this](const CallerRequestId& it) { OnRequestEnded(it); });
  ActiveRequest* started = request.get();
  requests_[id] = std::move(request);
  request_ids_.emplace(key, id);
  started->Start();
  ScheduleLoadUpdate(now);
}

void GatewayProcess::ForEachRequest(
    const std::function<void(ActiveRequest&)>& action) {
  // The action may end requests and so change the map.
  std::vector<CallerRequestId> ids;
  ids.reserve(requests_.size());
  for (const auto& [id, request] : requests_)
    ids.push_back(id);
  for (const CallerRequestId& it : ids) {
    const auto found = requests_.find(it);
    if (found != requests_.end())
      action(*found->second);
  }
}

void GatewayProcess::OnServerChecked(const ServerRecord& server,
                                     CheckResult result) {
  const TimePoint now = LoopNow();
  const bool up = result == CheckResult::kUp;
  logger_.Info(now, "server_checked",
               {{"server", server.id.value()},
                {"address", ToString(server.address)},
                {"up", up}});
  if (up) {
    suspects_.OnServerChecked(IncarnationOf(server), true, now);
    pool_.OnContact(now);
    pool_.OnUp(IncarnationOf(server), now);
    ForEachRequest([](ActiveRequest& it) { it.OnEnginesChanged(); });
    return;
  }
  const bool newly_down = pool_.OnDown(IncarnationOf(server), now);
  // A host that is out of descriptors learns nothing of the server.
  if (result != CheckResult::kNotTried) {
    pool_.OnCheckFailed(IncarnationOf(server), result == CheckResult::kRefused,
                        now);
  }
  // A host that is cut off doesn't know which servers have ended.
  if (!pool_.IsCutOff())
    suspects_.OnServerChecked(IncarnationOf(server), false, now);
  if (newly_down)
    CheckOthersThan(server, now);
  // Idle connections to the server may be dead too.
  servers_.Forget(server.address);
  ForEachRequest(
      [&](ActiveRequest& it) { it.OnServerDown(IncarnationOf(server)); });
}

void GatewayProcess::CheckOthersThan(const ServerRecord& down, TimePoint now) {
  for (const ServerRecord& it : pool_.OthersInDataCentreOf(down))
    checker_.Check(it, now);
  for (const ServerRecord& it : pool_.Witnesses(down))
    checker_.Check(it, now);
}

void GatewayProcess::LogReach(TimePoint now) {
  if (std::exchange(logged_cut_off_, pool_.IsCutOff()) == pool_.IsCutOff())
    return;
  logger_.Info(now, logged_cut_off_ ? "no_server_answers" : "servers_answer",
               {{"servers_down", pool_.Down().size()},
                {"requests", requests_.size()},
                {"entry_hosts", entry_hosts_.size()}});
}

void GatewayProcess::LogRetries(TimePoint now) {
  const RetryCounts& counts = budget_.counts();
  if (now < next_retry_log_ || counts == logged_retries_)
    return;
  next_retry_log_ = now + kRetryLogInterval;
  const RetryCounts before = std::exchange(logged_retries_, counts);
  logger_.Info(now, "retries",
               {{"taken", counts.taken - before.taken},
                {"refused", counts.refused - before.refused},
                {"beyond_budget", counts.beyond_budget - before.beyond_budget},
                {"hosts", budget_.SharingHosts(now)}});
}

void GatewayProcess::LogMemory(TimePoint now) {
  const std::uint64_t refused = memory_.refused(MemoryRefusal::kLargeBody) +
                                memory_.refused(MemoryRefusal::kRequest);
  const bool refuses = std::exchange(logged_refused_, refused) != refused;
  if (refuses)
    last_refused_at_ = now;
  // Not for each pause between two refusals.
  const bool goes_on =
      refuses || (logs_refusals_ && now - last_refused_at_ < kRefusalPause);
  if (std::exchange(logs_refusals_, goes_on) == goes_on)
    return;
  logger_.Warning(now,
                  goes_on ? "memory_refusals_begun" : "memory_refusals_ended",
                  {{"held", memory_.total_bytes()},
                   {"budget", memory_.budget_bytes()},
                   {"refused", refused}});
}

void GatewayProcess::OnRequestEnded(const CallerRequestId& id) {
  const auto it = requests_.find(id);
  if (it == requests_.end())
    return;
  request_ids_.erase(it->second->key());
  owner_client_.Forget(it->second->key());
  origin_finder_.Forget(it->second->key());
  quota_client_.Forget(it->second->key());
  ForgetSlot(it->second->key());
  // Destroyed later from the main loop: the request may be on the call stack.
  finished_.push_back(std::move(it->second));
  requests_.erase(it);
  ScheduleLoadUpdate(LoopNow());
  // Not again while it is due: under load it would never fire.
  if (!cleanup_timer_.active())
    cleanup_timer_.StartTimer(0, [this] { finished_.clear(); });
}

}  // namespace briarlead
