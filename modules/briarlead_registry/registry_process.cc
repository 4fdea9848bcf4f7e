#include "briarlead_registry/registry_process.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <variant>

#include "briarlead_net/address_transport.h"
#include "briarlead_net/loop_clock.h"

namespace briarlead {

namespace {

constexpr guint kTickIntervalMs = 25;
constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(400);
/// Maximum time to wait for another leader at a planned stop.
constexpr Duration kLeadershipTransferTimeout = std::chrono::milliseconds(1500);
/// Time for which a stopping process keeps answering after the transfer of the
/// leadership.
constexpr Duration kStopGracePeriod = std::chrono::milliseconds(300);
constexpr CallerLimits kCallLimits = {{16384, kMaxRouteTextBytes + 65536},
                                      std::chrono::milliseconds(5000),
                                      std::chrono::milliseconds(30000)};

}  // namespace

RegistryProcess::RegistryProcess(RoutingSettings settings,
                                 RegistryCallReader read_call,
                                 RouteListReader read_routes,
                                 Logger& logger,
                                 ExitHandler on_exit)
    : settings_(std::move(settings)),
      read_call_(std::move(read_call)),
      read_routes_(std::move(read_routes)),
      logger_(logger),
      on_exit_(std::move(on_exit)),
      follower_(directory_,
                {settings_.address, settings_.control_peer_port},
                DirectoryFollower::Follows::kAllSources),
      push_(directory_),
      server_file_(settings_.data_folder),
      persistence_(directory_, HostId(settings_.address)),
      announcements_(metrics_.AddCounter("briarlead_announcements_total",
                                         "Announcements of servers.")),
      announcements_put_off_(metrics_.AddCounter(
          "briarlead_announcements_put_off_total",
          "Announcements answered with 503 because they were too many.")),
      leavings_confirmed_(metrics_.AddCounter(
          "briarlead_leavings_confirmed_total",
          "Calls of leaving servers that were answered with 200.")),
      leavings_not_confirmed_(metrics_.AddCounter(
          "briarlead_leavings_not_confirmed_total",
          "Calls of leaving servers that were answered with 503.")),
      route_changes_(
          metrics_.AddCounter("briarlead_route_changes_total",
                              "Lists of routes that were committed.")),
      invalid_calls_(metrics_.AddCounter("briarlead_invalid_calls_total",
                                         "Calls that were invalid.")),
      leads_(metrics_.AddGauge("briarlead_leads", "1 on the leader.")),
      in_touch_(metrics_.AddGauge("briarlead_in_touch",
                                  "1 while in touch with a majority.")),
      routes_version_(metrics_.AddGauge("briarlead_routes_version",
                                        "List of routes in force.")),
      members_(metrics_.AddGauge("briarlead_group_members",
                                 "Members of the control group.")),
      servers_(metrics_.AddGauge("briarlead_servers", "Servers known.")),
      entry_hosts_(metrics_.AddGauge("briarlead_entry_hosts_known",
                                     "Entry hosts heard of lately.")),
      hosts_behind_(
          metrics_.AddGauge("briarlead_entry_hosts_behind",
                            "Entry hosts that lack the list in force.")),
      longest_behind_(metrics_.AddGauge(
          "briarlead_longest_behind_seconds",
          "Time for which the slowest of these hosts has lacked it.")),
      known_streams_(metrics_.AddGauge("briarlead_stream_origins",
                                       "Streams whose origin is known.")) {}

Result<void> RegistryProcess::Start() {
  BOOST_OUTCOME_TRY(OpenPorts());
  const TimePoint now = LoopNow();
  feed_ = std::make_unique<DirectoryFeed>(directory_,
                                          transport_->self().incarnation);
  ReplicatedState::Handlers handlers;
  handlers.on_routes_changed = [this] {
    metrics_.Increment(route_changes_);
    hosts_.OnRoutesChanged(state_->routes().version(), LoopNow());
    PushRoutes();
  };
  handlers.on_failure = [this] { on_exit_(1); };
  state_ = std::make_unique<ReplicatedState>(settings_, *transport_, logger_,
                                             std::move(handlers));
  BOOST_OUTCOME_TRY(state_->Start(now));
  LoadServers(now);
  logger_.Info(now, "registry_started",
               {{"host", settings_.name},
                {"address", settings_.address},
                {"first_start", settings_.first_start},
                {"routes_version", state_->routes().version()}});
  Tick();
  return outcome::success();
}

Result<void> RegistryProcess::OpenPorts() {
  PeerTransport::Handlers handlers;
  handlers.on_frame = [this](const Frame& it) { OnFrame(it); };
  handlers.on_link_failure = [this](const Endpoint& it, LinkFailure failure) {
    logger_.Warning(LoopNow(), "link_failed",
                    {{"peer", ToString(it)}, {"why", ToString(failure)}});
    hosts_.OnLinkFailure(it);
    feed_->OnLinkFailure(it);
  };
  const Endpoint peers{settings_.address, settings_.control_peer_port};
  BOOST_OUTCOME_TRY(transport_, OpenAddressTransport(peers, settings_.frame_key,
                                                     std::move(handlers)));
  HttpListener::Handlers calls;
  calls.on_request = [this](const CallerRequestId& id, RequestHead& head,
                            std::string& body) { OnCall(id, head, body); };
  calls.on_gone = [](const CallerRequestId&) {};
  BOOST_OUTCOME_TRY(listener_,
                    HttpListener::Listen(settings_.control, std::move(calls)));
  listener_->SetLimits(kCallLimits);
  return metrics_endpoint_.Serve(settings_.metrics,
                                 [this] { return RenderMetrics(); });
}

std::string RegistryProcess::RenderMetrics() {
  const auto number = [](std::size_t n) { return static_cast<double>(n); };
  metrics_.Set(leads_, state_->leads() ? 1 : 0);
  metrics_.Set(in_touch_, state_->HasMajorityContact(LoopNow()) ? 1 : 0);
  metrics_.Set(routes_version_, number(state_->routes().version()));
  metrics_.Set(members_, number(state_->MemberHosts().size()));
  metrics_.Set(servers_, number(directory_.entries().size()));
  metrics_.Set(entry_hosts_, number(hosts_.EntryHosts().size()));
  metrics_.Set(known_streams_, number(stream_origins_.size()));
  const KnownHosts::HostsBehind behind = hosts_.FindHostsBehind(LoopNow());
  metrics_.Set(hosts_behind_, number(behind.count));
  metrics_.Set(longest_behind_, ToSeconds(behind.longest));
  return metrics_.Render() + sent_.Render();
}

void RegistryProcess::Stop() {
  if (stopping_)
    return;
  const TimePoint now = LoopNow();
  logger_.Info(now, "registry_stopping", {{"leads", state_->leads()}});
  stopping_ = true;
  stop_deadline_ =
      now + (state_->leads() ? kLeadershipTransferTimeout : kStopGracePeriod);
  state_->TransferLeadership(now);
}

void RegistryProcess::Reload(const RoutingSettings& settings) {
  settings_.seeds = settings.seeds;
  logger_.Info(LoopNow(), "settings_reloaded",
               {{"seeds", settings_.seeds.size()}});
}

void RegistryProcess::Tick() {
  const TimePoint now = LoopNow();
  state_->Tick(now);
  UpdateQuotaLedger(now);
  if (now >= next_heartbeat_) {
    next_heartbeat_ = now + kHeartbeatInterval;
    SendHeartbeats(now);
  }
  RunPersistence(now);
  if (stopping_ && now >= stop_deadline_) {
    on_exit_(0);
    return;
  }
  if (stopping_ && !state_->leads())
    stop_deadline_ = std::min(stop_deadline_, now + kStopGracePeriod);
  timer_.StartTimer(kTickIntervalMs, [this] { Tick(); });
}

void RegistryProcess::OnFrame(const Frame& frame) {
  const TimePoint now = LoopNow();
  if (frame.channel == Channel::kConsensus)
    state_->OnFrame(frame.payload, now);
  else if (frame.channel == Channel::kRouting)
    OnRoutingFrame(frame, now);
}

void RegistryProcess::OnRoutingFrame(const Frame& frame, TimePoint now) {
  const Result<RoutingMessage> message = DecodeRoutingMessage(frame.payload);
  if (!message) {
    logger_.Warning(now, "frame_unreadable",
                    {{"peer", frame.sender.host.value()},
                     {"error", message.error().message}});
    return;
  }
  follower_.OnProcess(frame.sender.peers, frame.sender.incarnation);
  if (const auto* request = std::get_if<DirectoryRequest>(&message.value()))
    OnDirectoryRequest(frame.sender, *request, now);
  else if (const auto* news = std::get_if<DirectoryUpdate>(&message.value()))
    follower_.OnUpdate(frame.sender.peers, *news, now);
  else if (const auto* it = std::get_if<HostHeartbeat>(&message.value()))
    OnHostHeartbeat(frame.sender, *it, now);
  else if (const auto* capacity =
               std::get_if<HostCapacityReport>(&message.value()))
    hosts_.OnCapacity(frame.sender.peers, capacity->weight, now);
  else if (const auto* update = std::get_if<RoutingUpdate>(&message.value()))
    OnRoutingUpdate(*update, now);
  else if (const auto* report =
               std::get_if<StreamOriginReport>(&message.value()))
    stream_origins_.OnReport(*report, now);
  else if (const auto* query = std::get_if<StreamOriginQuery>(&message.value()))
    SendDatagram(frame.sender.peers, stream_origins_.OnQuery(*query, now));
  else if (const auto* lease = std::get_if<KeyLeaseRequest>(&message.value()))
    OnKeyLeaseRequest(frame.sender.peers, *lease, now);
  else if (const auto* wanted =
               std::get_if<QuotaGrantRequest>(&message.value()))
    OnQuotaGrantRequest(frame.sender.peers, *wanted, now);
  else if (const auto* leaving =
               std::get_if<PersistLeavingRequest>(&message.value()))
    OnPersistLeavingRequest(frame.sender.peers, *leaving, now);
  else if (const auto* saved =
               std::get_if<PersistLeavingReply>(&message.value()))
    OnPersistLeavingReply(frame.sender.host, *saved, now);
}

void RegistryProcess::OnCall(const CallerRequestId& id,
                             RequestHead& head,
                             std::string& body) {
  current_path_ = head.target;
  RegistryCall call = read_call_(head, body);
  std::visit([&](auto& it) { Handle(id, it); }, call);
}

void RegistryProcess::Answer(const CallerRequestId& id,
                             int status,
                             std::string_view body) {
  HeaderFields fields;
  fields.Add("Content-Type", "application/json");
  listener_->Respond(id, status, fields, body);
}

void RegistryProcess::RedirectToLeader(const CallerRequestId& id,
                                       std::string_view why) {
  const HostId leader = state_->leader();
  if (leader.empty() || leader.value() == settings_.address) {
    logger_.Info(LoopNow(), "operator_call_refused", {{"why", why}});
    Answer(id, 503, "{}");
    return;
  }
  HeaderFields fields;
  fields.Add("Location", fmt::format("http://{}:{}{}", leader.value(),
                                     settings_.control.port, current_path_));
  listener_->Respond(id, 307, fields, "");
}

void RegistryProcess::Handle(const CallerRequestId& id,
                             ReplaceRoutesCall& call) {
  const TimePoint now = LoopNow();
  const std::uint64_t version = call.version;
  if (version <= state_->routes().version()) {
    logger_.Info(
        now, "routes_not_newer",
        {{"version", version}, {"in_force", state_->routes().version()}});
    Answer(id, 200, "{}");
    return;
  }
  const Result<void> proposed = state_->Replace(
      {version, std::move(call.text)},
      [this, id, version](bool confirmed) {
        logger_.Info(LoopNow(), "routes_replaced",
                     {{"version", version}, {"confirmed", confirmed}});
        Answer(id, confirmed ? 200 : 503, "{}");
      },
      now);
  if (!proposed)
    RedirectToLeader(id, proposed.error().message);
}

void RegistryProcess::Handle(const CallerRequestId& id, ReadRoutesCall&) {
  const Result<void> asked = state_->Read(
      [this, id](bool confirmed) {
        if (confirmed && state_->routes().version() > 0)
          Answer(id, 200, state_->routes().text());
        else
          Answer(id, 503, "{}");
      },
      LoopNow());
  if (!asked)
    RedirectToLeader(id, asked.error().message);
}

void RegistryProcess::Handle(const CallerRequestId& id, AnnounceCall& call) {
  const TimePoint now = LoopNow();
  metrics_.Increment(announcements_);
  if (StartsInTheFuture(call.record, UnixNowMs())) {
    InvalidCall invalid{"the server starts in the future"};
    Handle(id, invalid);
    return;
  }
  if (call.record.state == ServerState::kReady &&
      !admission_.Admit(!state_->leader().empty(), now)) {
    metrics_.Increment(announcements_put_off_);
    Answer(id, 503, "{}");
    return;
  }
  const bool changed = directory_.Merge(call.record, now);
  push_.OnAnnounced(call.record.id, changed);
  if (changed) {
    logger_.Info(now, "server_announced",
                 {{"server", call.record.id.value()},
                  {"service", call.record.service.value()},
                  {"software", call.record.software.value()},
                  {"address", ToString(call.record.address)},
                  {"state", ToString(call.record.state)},
                  {"stage", ToString(call.record.stage)},
                  {"born_ms", call.record.born_ms},
                  {"sequence", call.record.sequence}});
  }
  if (call.record.state == ServerState::kReady)
    AnswerAfterPush(id, 200);
  else
    ConfirmAfterPush(id, call.record.id);
}

void RegistryProcess::Handle(const CallerRequestId& id, DeregisterCall& call) {
  const TimePoint now = LoopNow();
  ServerRecord start;
  start.born_ms = call.born_ms;
  if (StartsInTheFuture(start, UnixNowMs())) {
    InvalidCall invalid{"the server starts in the future"};
    Handle(id, invalid);
    return;
  }
  if (MarkDeparted(call, now)) {
    logger_.Info(now, "server_departed",
                 {{"server", call.id.value()}, {"born_ms", call.born_ms}});
    push_.OnAnnounced(call.id, true);
  }
  ConfirmAfterPush(id, call.id);
}

bool RegistryProcess::MarkDeparted(const DeregisterCall& call, TimePoint now) {
  if (call.born_ms != 0)
    return directory_.MarkGone(call.id, call.born_ms, now);
  // The caller is the newest start, be it unknown as yet. The clock of the
  // newest known one may be ahead.
  const ServerDirectory::Entry* known = directory_.Find(call.id);
  const std::uint64_t known_ms = known == nullptr ? 0 : known->record.born_ms;
  return directory_.MarkLeftBy(call.id, std::max(UnixNowMs(), known_ms), now);
}

void RegistryProcess::Handle(const CallerRequestId& id, InvalidCall& call) {
  metrics_.Increment(invalid_calls_);
  logger_.Warning(LoopNow(), "call_invalid", {{"findings", call.findings}});
  HeaderFields fields;
  fields.Add("Content-Type", "text/plain");
  listener_->Respond(id, 400, fields, call.findings);
}

void RegistryProcess::Handle(const CallerRequestId& id, UnknownCall&) {
  Answer(id, 404, "{}");
}

}  // namespace briarlead
