// The part of GatewayProcess that exchanges the limits of servers and the
// permits to send to them.

#include <algorithm>
#include <chrono>
#include <map>
#include <utility>

#include "briarlead_gateway/gateway_process.h"
#include "briarlead_net/loop_clock.h"

namespace briarlead {

namespace {

/// Age up to which a host sends a limit to its owner, in case a datagram is
/// lost.
constexpr Duration kNewLimitAge = std::chrono::milliseconds(800);

/// Shortens `report` to what fits one message: the newest limits.
void KeepNewest(ServerLimitReport& report) {
  if (report.notices.size() <= ServerLimitReport::kMaxNotices)
    return;
  std::sort(
      report.notices.begin(), report.notices.end(),
      [](const auto& left, const auto& right) { return left.age < right.age; });
  report.notices.resize(ServerLimitReport::kMaxNotices);
}

}  // namespace

void GatewayProcess::SendServerLimits(std::span<const Endpoint> receivers,
                                      TimePoint now) {
  ServerLimitReport report{server_limits_.OwnNotices(now)};
  if (report.notices.empty())
    return;
  KeepNewest(report);
  const std::string message = EncodeRoutingMessage(report);
  for (const Endpoint& it : receivers)
    transport_->SendDatagram(it, Channel::kRouting, message);
}

void GatewayProcess::SendNewLimitsToOwners(TimePoint now) {
  std::map<Endpoint, ServerLimitReport> by_owner;
  for (const ServerLimitNotice& it : server_limits_.OwnNotices(now)) {
    const std::vector<Endpoint>& owners = permit_owners_.Of(it.server.id);
    if (it.age < kNewLimitAge && !owners.empty())
      by_owner[owners.front()].notices.push_back(it);
  }
  for (auto& [owner, report] : by_owner) {
    KeepNewest(report);
    if (owner == permit_owners_.self())
      TellFleet(report);
    else
      transport_->SendDatagram(owner, Channel::kRouting,
                               EncodeRoutingMessage(report));
  }
}

void GatewayProcess::OnServerLimitReport(const ServerLimitReport& report,
                                         TimePoint now) {
  ServerLimitReport news;
  for (const ServerLimitNotice& it : report.notices) {
    if (server_limits_.OnNotice(it, now) && permit_owners_.Owns(it.server.id))
      news.notices.push_back(it);
  }
  // In a small fleet the host that read the limit has told everyone.
  if (!owners_.all_place() && !news.notices.empty())
    TellFleet(news);
}

void GatewayProcess::TellFleet(const ServerLimitReport& report) {
  const std::string message = EncodeRoutingMessage(report);
  for (const EntryHost& it : entry_hosts_) {
    if (it.peers != permit_owners_.self())
      transport_->SendDatagram(it.peers, Channel::kRouting, message);
  }
}

void GatewayProcess::TellNewHosts(std::span<const EntryHost> before,
                                  TimePoint now) {
  ServerLimitReport report{server_limits_.Limits(now)};
  std::erase_if(report.notices, [this](const ServerLimitNotice& it) {
    return !permit_owners_.Owns(it.server.id);
  });
  if (report.notices.empty())
    return;
  KeepNewest(report);
  const std::string message = EncodeRoutingMessage(report);
  for (const EntryHost& it : entry_hosts_) {
    const bool is_new =
        std::find(before.begin(), before.end(), it) == before.end();
    if (is_new && it.peers != permit_owners_.self())
      transport_->SendDatagram(it.peers, Channel::kRouting, message);
  }
}

void GatewayProcess::LogServerLimits(TimePoint now) {
  for (const ServerLimitEvent& it : server_limits_.TakeEvents()) {
    logger_.Info(now, "server_limit_changed",
                 {{"server", it.server.id.value()},
                  {"per_second", it.per_second},
                  {"before", it.before},
                  {"read_here", it.read_here}});
  }
}

void GatewayProcess::AskForSendPermits(TimePoint now) {
  for (const AskForPermits& it : permits_.TakeQuestions()) {
    if (it.owner != permit_owners_.self()) {
      transport_->SendDatagram(it.owner, Channel::kRouting,
                               EncodeRoutingMessage(it.request));
      continue;
    }
    // Deferred to the main loop: requests may be on the call stack.
    const SendPermitReply reply = permit_issuer_.OnRequest(it.request, now);
    own_permit_replies_.push_back(reply);
    own_permit_timer_.StartTimer(0, [this] {
      for (const SendPermitReply& own : std::exchange(own_permit_replies_, {}))
        OnSendPermitReply(own, permit_owners_.self(), LoopNow());
    });
  }
}

void GatewayProcess::OnSendPermitReply(const SendPermitReply& reply,
                                       const Endpoint& owner,
                                       TimePoint now) {
  server_limits_.OnNotice(reply.limit, now);
  if (!permits_.OnReply(owner, reply, now))
    return;
  ForEachRequest([](ActiveRequest& it) { it.OnPermitsChanged(); });
  PlaceWaitingSoon(now);
}

}  // namespace briarlead
