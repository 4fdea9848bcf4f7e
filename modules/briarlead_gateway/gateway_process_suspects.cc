// The part of GatewayProcess that exchanges what ends backend servers.

#include <fmt/format.h>

#include <chrono>

#include "briarlead_gateway/gateway_process.h"
#include "briarlead_net/loop_clock.h"

namespace briarlead {

namespace {

/// Interval at which the fleet is told at most, and how often it is told again
/// while anything is blocked, for hosts that restarted.
constexpr Duration kMinRelayInterval = std::chrono::milliseconds(300);
constexpr Duration kRepeatRelayInterval = std::chrono::seconds(5);

}  // namespace

void GatewayProcess::SendCrashReport(std::span<const Endpoint> receivers,
                                     TimePoint now) {
  const CrashReport report = suspects_.Report(now);
  if (report.empty())
    return;
  const std::string message = EncodeRoutingMessage(report);
  for (const Endpoint& it : receivers)
    transport_->SendDatagram(it, Channel::kRouting, message);
}

void GatewayProcess::LogSuspects(TimePoint now) {
  for (const SuspectEvent& it : suspects_.TakeEvents()) {
    const bool crash = it.kind == SuspectEvent::Kind::kCrash;
    const bool blocked = it.kind == SuspectEvent::Kind::kBlocked;
    logger_.Write(
        now, blocked ? LogLevel::kWarning : LogLevel::kInfo,
        crash     ? "suspect_crash"
        : blocked ? "suspect_blocked"
                  : "suspect_cleared",
        {{"suspect", fmt::format("{:x}", it.suspect.value)},
         {"kind", it.suspect.is_request() ? "request" : "prompt_part"},
         {"crashes", it.crashes}});
  }
}

void GatewayProcess::RelayCrashReport(TimePoint now) {
  // In a small fleet every host tells every other one itself.
  if (owners_.all_place() || !owners_.places_locally())
    return;
  const std::uint64_t revision = suspects_.verdict_revision();
  const Duration since = now - last_relay_;
  const bool is_news = revision != relayed_revision_;
  const bool repeats =
      since >= kRepeatRelayInterval && suspects_.BlockedCount(now) > 0;
  if (since < kMinRelayInterval || (!is_news && !repeats))
    return;
  last_relay_ = now;
  relayed_revision_ = revision;
  std::vector<Endpoint> others;
  for (const EntryHost& it : entry_hosts_) {
    if (it.peers != permit_owners_.self())
      others.push_back(it.peers);
  }
  SendCrashReport(others, now);
}

}  // namespace briarlead
