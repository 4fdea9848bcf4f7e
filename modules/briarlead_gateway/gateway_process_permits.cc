// The part of GatewayProcess that exchanges what servers say of themselves in
// answers, and the permits to send to those that named a limit.

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

/// Shortens `notices` to what fits one message: the newest.
void KeepNewest(std::vector<ServerLimitNotice>& notices) {
  if (notices.size() <= ServerLimitReport::kMaxNotices)
    return;
  std::sort(
      notices.begin(), notices.end(),
      [](const auto& left, const auto& right) { return left.age < right.age; });
  notices.resize(ServerLimitReport::kMaxNotices);
}

}  // namespace

void GatewayProcess::SendServerLimits(std::span<const Endpoint> receivers,
                                      std::vector<ServerLimitNotice> notices) {
  if (notices.empty())
    return;
  KeepNewest(notices);
  const std::string message =
      EncodeRoutingMessage(ServerLimitReport{std::move(notices)});
  for (const Endpoint& it : receivers) {
    if (it != permit_owners_.self())
      transport_->SendDatagram(it, Channel::kRouting, message);
  }
}

void GatewayProcess::SendLeavingServers(std::span<const Endpoint> receivers) {
  LeavingReport report{pool_.LeavingByAnswers()};
  if (report.servers.empty())
    return;
  if (report.servers.size() > LeavingReport::kMaxServers)
    report.servers.resize(LeavingReport::kMaxServers);
  const std::string message = EncodeRoutingMessage(report);
  for (const Endpoint& it : receivers)
    transport_->SendDatagram(it, Channel::kRouting, message);
}

void GatewayProcess::SendNewLimitsToOwners(TimePoint now) {
  std::map<Endpoint, std::vector<ServerLimitNotice>> by_owner;
  for (const ServerLimitNotice& it : server_limits_.OwnNotices(now)) {
    const std::vector<Endpoint>& owners = permit_owners_.Of(it.server.id);
    if (it.age < kNewLimitAge && !owners.empty())
      by_owner[owners.front()].push_back(it);
  }
  for (auto& [owner, notices] : by_owner) {
    if (owner == permit_owners_.self())
      TellFleet(std::move(notices));
    else
      SendServerLimits({&owner, 1}, std::move(notices));
  }
}

void GatewayProcess::OnServerLimitReport(const ServerLimitReport& report,
                                         TimePoint now) {
  std::vector<ServerLimitNotice> news;
  for (const ServerLimitNotice& it : report.notices) {
    if (server_limits_.OnNotice(it, now) && permit_owners_.Owns(it.server.id))
      news.push_back(it);
  }
  // In a small fleet the host that read the limit has told everyone.
  if (!owners_.all_place())
    TellFleet(std::move(news));
}

void GatewayProcess::TellFleet(std::vector<ServerLimitNotice> notices) {
  std::vector<Endpoint> hosts;
  for (const EntryHost& it : entry_hosts_)
    hosts.push_back(it.peers);
  SendServerLimits(hosts, std::move(notices));
}

void GatewayProcess::TellNewHosts(std::span<const EntryHost> before,
                                  TimePoint now) {
  std::vector<ServerLimitNotice> owned = server_limits_.Limits(now);
  std::erase_if(owned, [this](const ServerLimitNotice& it) {
    return !permit_owners_.Owns(it.server.id);
  });
  std::vector<Endpoint> added;
  for (const EntryHost& it : entry_hosts_) {
    if (std::find(before.begin(), before.end(), it) == before.end())
      added.push_back(it.peers);
  }
  SendServerLimits(added, std::move(owned));
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
