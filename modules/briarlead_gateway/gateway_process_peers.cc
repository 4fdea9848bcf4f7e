// The part of GatewayProcess that exchanges messages with other hosts.

#include <utility>

#include "briarlead_gateway/gateway_process.h"
#include "briarlead_net/loop_clock.h"

namespace briarlead {

namespace {

/// Maximum time between two load messages to the other entry hosts.
constexpr Duration kMaxLoadInterval = std::chrono::milliseconds(300);
/// Time after which a control host that is no longer listed gets no heartbeats.
constexpr Duration kControlHostLife = std::chrono::seconds(30);
/// Time without a response after which a control host counts as unreachable.
constexpr Duration kControlSilence = std::chrono::milliseconds(1300);

}  // namespace

void GatewayProcess::SendHeartbeats(TimePoint now) {
  for (const Endpoint& it : settings_.seeds)
    control_hosts_[{it.address, settings_.control_peer_port}].last_named = now;
  std::erase_if(control_hosts_, [now](const auto& it) {
    return now - it.second.last_named >= kControlHostLife;
  });
  const HostHeartbeat heartbeat{HostRole::kEntry,
                                table_ ? table_->list().version : 0,
                                directory_.Digest()};
  const std::string message = EncodeRoutingMessage(heartbeat);
  for (const auto& [peer, host] : control_hosts_)
    transport_->Send(peer, Channel::kRouting, message);
}

void GatewayProcess::OnFrame(const Frame& frame) {
  if (frame.channel != Channel::kRouting)
    return;
  const TimePoint now = LoopNow();
  const Result<RoutingMessage> message = DecodeRoutingMessage(frame.payload);
  if (!message) {
    logger_.Warning(now, "frame_unreadable",
                    {{"peer", frame.sender.host.value()},
                     {"error", message.error().message}});
    return;
  }
  if (const auto* it = std::get_if<RoutingUpdate>(&message.value()))
    OnRoutingUpdate(*it, frame.sender.peers, now);
  else if (const auto* load = std::get_if<HostLoad>(&message.value()))
    OnHostLoad(frame.sender.host, *load, now);
  ScheduleLoadUpdate(now);
}

void GatewayProcess::OnRoutingUpdate(const RoutingUpdate& update,
                                     const Endpoint& peer,
                                     TimePoint now) {
  control_hosts_[peer].last_heard = now;
  for (const Endpoint& it : update.control_hosts)
    control_hosts_[it].last_named = now;
  if (!update.entry_hosts.empty()) {
    entry_hosts_ = update.entry_hosts;
    budget_.SetHostCount(static_cast<std::uint32_t>(entry_hosts_.size()));
  }
  for (const AnnouncedServer& it : update.servers) {
    if (!directory_.Merge(it.record, now - it.age))
      continue;
    logger_.Info(now, "server_changed",
                 {{"server", it.record.id.value()},
                  {"service", it.record.service.value()},
                  {"address", ToString(it.record.address)},
                  {"state", ToString(it.record.state)},
                  {"stage", ToString(it.record.stage)},
                  {"told_by", peer.address}});
  }
  directory_received_ = directory_received_ || !update.servers.empty();
  if (update.routes.has_value())
    ApplyRoutes(*update.routes, now);
}

void GatewayProcess::ApplyRoutes(std::string_view text, TimePoint now) {
  Findings findings;
  std::optional<RouteList> list = codec_.read_routes(text, findings);
  if (!list.has_value()) {
    logger_.Failure(now, "routes_unreadable",
                    {{"findings", findings.Format()}});
    return;
  }
  const std::uint64_t held = table_ ? table_->list().version : 0;
  if (list->version <= held)
    return;
  const RequestLimits& limits = list->limits;
  callers_->SetLimits({{limits.max_head_bytes, limits.max_body_bytes},
                       limits.head_timeout,
                       limits.idle_timeout});
  table_ = std::make_shared<const RouteTable>(std::move(*list));
  logger_.Info(now, "routes_in_force",
               {{"version", table_->list().version},
                {"before", held},
                {"routes", table_->list().routes.size()}});
}

bool GatewayProcess::HearsControlMajority(TimePoint now) const {
  std::size_t responding = 0;
  for (const auto& [peer, host] : control_hosts_)
    responding += now - host.last_heard < kControlSilence ? 1 : 0;
  return 2 * responding > control_hosts_.size();
}

void GatewayProcess::UpdateIsolation(TimePoint now) {
  // Each condition alone may have another cause: stopped servers or stopped
  // control hosts.
  const bool isolated = pool_.SeemsIsolated() && !HearsControlMajority(now);
  if (isolated == isolated_)
    return;
  isolated_ = isolated;
  logger_.Info(
      now, isolated ? "cut_off" : "back_in_touch",
      {{"servers_down", pool_.Down().size()}, {"requests", requests_.size()}});
  // Callers that reconnect may reach a host of another data centre.
  callers_->SetKeeping(!isolated && !stopping_);
}

void GatewayProcess::ScheduleLoadUpdate(TimePoint now) {
  const bool settled = load_tracker_.revision() == handled_revision_ &&
                       LocalRevision() == sent_revision_;
  if (settled && now < next_load_broadcast_)
    return;
  if (load_timer_.active())
    return;
  // Deferred to the main loop: requests may be on the call stack, and
  // simultaneous changes are sent in one message.
  load_timer_.StartTimer(0, [this] {
    const TimePoint later = LoopNow();
    if (load_tracker_.revision() != handled_revision_) {
      handled_revision_ = load_tracker_.revision();
      ForEachRequest([](ActiveRequest& it) { it.OnEnginesChanged(); });
    }
    if (LocalRevision() != sent_revision_ || later >= next_load_broadcast_)
      BroadcastLoad(later);
  });
}

std::uint64_t GatewayProcess::LocalRevision() const {
  return load_tracker_.local_revision() + pool_.down_revision() +
         budget_.local_revision();
}

HostReport GatewayProcess::LocalReport(TimePoint now) const {
  HostReport report;
  for (const ServerRecord& it : pool_.Down()) {
    if (report.down.size() < HostReport::kMaxServers)
      report.down.push_back(IncarnationOf(it));
  }
  report.retry_usage = budget_.Usage(now);
  if (report.retry_usage.size() > HostReport::kMaxServices)
    report.retry_usage.resize(HostReport::kMaxServices);
  return report;
}

void GatewayProcess::BroadcastLoad(TimePoint now) {
  sent_revision_ = LocalRevision();
  next_load_broadcast_ = now + kMaxLoadInterval;
  HostLoad load = load_tracker_.LocalLoad(now);
  load.report = LocalReport(now);
  const std::string message = EncodeRoutingMessage(std::move(load));
  const bool fits = message.size() <= PeerTransport::kMaxDatagramPayloadBytes;
  for (const Endpoint& it : entry_hosts_) {
    if (it.address == settings_.address)
      continue;
    if (fits)
      transport_->SendDatagram(it, Channel::kRouting, message);
    else
      transport_->Send(it, Channel::kRouting, message);
  }
}

void GatewayProcess::OnHostLoad(const HostId& host,
                                const HostLoad& load,
                                TimePoint now) {
  load_tracker_.OnHostLoad(host, load, now);
  budget_.OnPeerUsage(host, load.report.retry_usage, now);
  for (const ServerIncarnation& it : load.report.down) {
    const std::optional<ServerRecord> server = pool_.OnReportedDown(it, now);
    if (server.has_value())
      checker_.Check(*server, now);
  }
}

}  // namespace briarlead
