// The parts of GatewayProcess that talk with other hosts of briarlead.

#include <utility>

#include "briarlead_gateway/gateway_process.h"
#include "briarlead_net/loop_clock.h"

namespace briarlead {

namespace {

/// Longest time between two messages to the other entry hosts.
constexpr Duration kLoadInterval = std::chrono::milliseconds(300);
/// A control host that nobody names for this long is not asked any more.
constexpr Duration kControlHostLife = std::chrono::seconds(30);
/// Time after which a control host that answers no heartbeat counts as silent.
constexpr Duration kControlSilence = std::chrono::milliseconds(1300);

}  // namespace

void GatewayProcess::SendHeartbeats(TimePoint now) {
  for (const Endpoint& it : settings_.seeds)
    control_hosts_[{it.address, settings_.control_peer_port}].named = now;
  std::erase_if(control_hosts_, [now](const auto& it) {
    return now - it.second.named >= kControlHostLife;
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
    OnNews(*it, frame.sender.peers, now);
  else if (const auto* load = std::get_if<HostLoad>(&message.value()))
    OnLoad(frame.sender.host, *load, now);
  SettleBook(now);
}

void GatewayProcess::OnNews(const RoutingUpdate& news,
                            const Endpoint& peer,
                            TimePoint now) {
  control_hosts_[peer].heard = now;
  for (const Endpoint& it : news.control_hosts)
    control_hosts_[it].named = now;
  if (!news.entry_hosts.empty()) {
    entry_hosts_ = news.entry_hosts;
    budget_.SetHosts(static_cast<std::uint32_t>(entry_hosts_.size()));
  }
  for (const AnnouncedServer& it : news.servers) {
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
  directory_told_ = directory_told_ || !news.servers.empty();
  if (news.routes.has_value())
    TakeRoutes(*news.routes, now);
}

void GatewayProcess::TakeRoutes(std::string_view text, TimePoint now) {
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

bool GatewayProcess::HearsControlHosts(TimePoint now) const {
  std::size_t heard = 0;
  for (const auto& [peer, host] : control_hosts_)
    heard += now - host.heard < kControlSilence ? 1 : 0;
  return 2 * heard > control_hosts_.size();
}

void GatewayProcess::CheckReach(TimePoint now) {
  // Either alone has other causes: servers that end, control hosts that do.
  const bool cut_off = pool_.SeemsCutOff() && !HearsControlHosts(now);
  if (cut_off == cut_off_)
    return;
  cut_off_ = cut_off;
  logger_.Info(
      now, cut_off ? "cut_off" : "back_in_touch",
      {{"servers_down", pool_.Down().size()}, {"requests", requests_.size()}});
  // Callers that come anew may reach another data centre.
  callers_->SetKeeping(!cut_off && !stopping_);
}

void GatewayProcess::SettleBook(TimePoint now) {
  const bool settled =
      book_.revision() == seen_revision_ && OwnRevision() == told_revision_;
  if (settled && now < next_load_)
    return;
  if (book_timer_.active())
    return;
  // From the loop: requests may be in the middle of a step, and changes of the
  // same moment go out together.
  book_timer_.StartTimer(0, [this] {
    const TimePoint later = LoopNow();
    if (book_.revision() != seen_revision_) {
      seen_revision_ = book_.revision();
      ForEachRequest([](ActiveRequest& it) { it.OnEnginesChanged(); });
    }
    if (OwnRevision() != told_revision_ || later >= next_load_)
      TellLoad(later);
  });
}

std::uint64_t GatewayProcess::OwnRevision() const {
  return book_.own_revision() + pool_.down_revision() + budget_.own_revision();
}

HostFindings GatewayProcess::OwnFindings(TimePoint now) const {
  HostFindings findings;
  for (const ServerRecord& it : pool_.Down()) {
    if (findings.down.size() < HostFindings::kMostServers)
      findings.down.push_back(StartOf(it));
  }
  findings.retries = budget_.Own(now);
  if (findings.retries.size() > HostFindings::kMostServices)
    findings.retries.resize(HostFindings::kMostServices);
  return findings;
}

void GatewayProcess::TellLoad(TimePoint now) {
  told_revision_ = OwnRevision();
  next_load_ = now + kLoadInterval;
  HostLoad load = book_.Own(now);
  load.findings = OwnFindings(now);
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

void GatewayProcess::OnLoad(const HostId& host,
                            const HostLoad& load,
                            TimePoint now) {
  book_.OnHostLoad(host, load, now);
  budget_.OnOtherHost(host, load.findings.retries, now);
  for (const ServerStart& it : load.findings.down) {
    const std::optional<ServerRecord> server = pool_.OnReportedDown(it, now);
    if (server.has_value())
      checker_.Check(*server, now);
  }
}

}  // namespace briarlead
