// The part of GatewayProcess that exchanges with the control hosts at which
// versions streams began.

#include <algorithm>
#include <chrono>
#include <utility>

#include "briarlead_gateway/gateway_process.h"
#include "briarlead_net/loop_clock.h"

namespace briarlead {

namespace {

/// Interval at which the control hosts are told of streams that began.
constexpr Duration kReportInterval = std::chrono::milliseconds(200);

}  // namespace

void GatewayProcess::SendOriginReports(TimePoint now) {
  if (now < next_origin_report_)
    return;
  next_origin_report_ = now + kReportInterval;
  for (const OutgoingOriginReport& it :
       origins_.TakeReports(RespondingControlHosts(now), now)) {
    transport_->Send(it.host, Channel::kRouting,
                     EncodeRoutingMessage(it.report));
  }
}

std::vector<Endpoint> GatewayProcess::RespondingControlHosts(
    TimePoint now) const {
  std::vector<Endpoint> hosts;
  for (const auto& [peer, host] : control_hosts_) {
    if (Responds(host, now))
      hosts.push_back(peer);
  }
  return hosts;
}

void GatewayProcess::NoteIncarnation(ControlHost& control,
                                     std::uint64_t incarnation) {
  const std::uint64_t before = std::exchange(control.incarnation, incarnation);
  if (before != 0 && before != incarnation)
    origins_.OnHolderRestarted();
}

void GatewayProcess::FindOrigin(RequestKey key, const AskForStreamOrigin& ask) {
  const TimePoint now = LoopNow();
  std::vector<Endpoint> hosts = RespondingControlHosts(now);
  // Just after the start of this process, few have had the time to answer.
  if (!HearsControlMajority(now)) {
    hosts.clear();
    for (const auto& [peer, host] : control_hosts_)
      hosts.push_back(peer);
  }
  origin_finder_.Ask(key, ask.stream, hosts, now);
  ScheduleOriginFinder(now);
}

void GatewayProcess::OnOriginReply(const Endpoint& peer,
                                   const StreamOriginReply& reply,
                                   TimePoint now) {
  origin_finder_.OnReply(peer, reply);
  ScheduleOriginFinder(now);
}

void GatewayProcess::RunOriginFinder(TimePoint now) {
  origins_.SetCurrent(HasCurrentDirectory(now));
  for (const OriginFinderCommand& command : origin_finder_.TakeCommands()) {
    if (const auto* send = std::get_if<SendOriginQuery>(&command)) {
      transport_->SendDatagram(send->host, Channel::kRouting,
                               EncodeRoutingMessage(send->query));
      continue;
    }
    const auto& found = std::get<OriginFound>(command);
    ActiveRequest* request = FindRequest(found.key);
    if (request != nullptr)
      request->OnStreamOrigin(found.origin);
  }
}

void GatewayProcess::ScheduleOriginFinder(TimePoint now) {
  // Deferred to the main loop: requests may be on the call stack.
  const TimePoint due =
      origin_finder_.has_commands() ? now : origin_finder_.NextWake();
  if (due == TimePoint::max()) {
    origin_timer_.Reset();
    return;
  }
  const auto wait =
      std::chrono::ceil<std::chrono::milliseconds>(std::max(due, now) - now);
  origin_timer_.StartTimer(static_cast<guint>(wait.count()), [this] {
    const TimePoint later = LoopNow();
    origin_finder_.OnWake(later);
    RunOriginFinder(later);
    ScheduleOriginFinder(later);
  });
}

bool GatewayProcess::HasCurrentDirectory(TimePoint now) const {
  return directory_received_ &&
         freshness_.IsCurrent(HearsLatestAnswers(now), now);
}

}  // namespace briarlead
