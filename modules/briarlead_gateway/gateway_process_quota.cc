// The part of GatewayProcess that asks for amounts of quotas, and issues them
// to the hosts of its data centre.

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

#include "briarlead_gateway/gateway_process.h"
#include "briarlead_net/loop_clock.h"

namespace briarlead {

void GatewayProcess::AskQuota(RequestKey key, const AskForQuota& ask) {
  const TimePoint now = LoopNow();
  quota_client_.Ask({key, ask.account, ask.quota, ask.amount, ask.latest}, now);
  ScheduleQuotas(now);
}

void GatewayProcess::OnQuotaFrame(const Endpoint& peer,
                                  const RoutingMessage& message,
                                  TimePoint now) {
  if (const auto* request = std::get_if<QuotaRequest>(&message))
    quota_issuer_.OnRequest(peer, *request, now);
  else if (const auto* reply = std::get_if<QuotaReply>(&message))
    quota_client_.OnReply(peer, *reply, now);
  else if (const auto* grant = std::get_if<QuotaGrantReply>(&message))
    quota_issuer_.OnGrantReply(peer, *grant, now);
  else
    return;
  RunQuotas(now);
}

void GatewayProcess::SetQuotaAccounts(TimePoint now) {
  quota_issuer_.SetAccounts(
      table_->list().accounts.value_or(std::vector<ClientAccount>()), now);
}

void GatewayProcess::Execute(const SendQuotaRequest& it, TimePoint now) {
  if (it.issuer == permit_owners_.self())
    quota_issuer_.OnRequest(it.issuer, it.request, now);
  else
    transport_->SendDatagram(it.issuer, Channel::kRouting,
                             EncodeRoutingMessage(it.request));
}

void GatewayProcess::Execute(const QuotaAnswer& it, TimePoint) {
  if (it.refusal == QuotaRefusal::kNone)
    quota_counters_.OnUsed(it.account, it.amount);
  else
    quota_counters_.OnRefused(it.account, it.refusal);
  ActiveRequest* request = FindRequest(it.key);
  if (request != nullptr)
    request->OnQuota(it);
}

void GatewayProcess::Execute(const QuotaGranted& it, TimePoint) {
  quota_counters_.OnGranted(it.account, it.amount);
}

void GatewayProcess::Execute(const SendQuotaReply& it, TimePoint now) {
  if (it.host == permit_owners_.self())
    quota_client_.OnReply(it.host, it.reply, now);
  else
    transport_->SendDatagram(it.host, Channel::kRouting,
                             EncodeRoutingMessage(it.reply));
}

void GatewayProcess::Execute(const SendGrantRequest& it, TimePoint) {
  const std::string message = EncodeRoutingMessage(it.request);
  if (it.control_host.has_value()) {
    transport_->SendDatagram(*it.control_host, Channel::kRouting, message);
    return;
  }
  for (const auto& [peer, host] : control_hosts_)
    transport_->SendDatagram(peer, Channel::kRouting, message);
}

void GatewayProcess::RunQuotas(TimePoint now) {
  // This host may be its own issuer, so each side may cause commands of the
  // other one.
  while (quota_client_.has_commands() || quota_issuer_.has_commands()) {
    for (const QuotaClientCommand& command : quota_client_.TakeCommands())
      std::visit([&](const auto& it) { Execute(it, now); }, command);
    for (const QuotaIssuerCommand& command : quota_issuer_.TakeCommands())
      std::visit([&](const auto& it) { Execute(it, now); }, command);
  }
  ScheduleQuotas(now);
}

void GatewayProcess::ScheduleQuotas(TimePoint now) {
  // Deferred to the main loop: requests may be on the call stack.
  const bool has_commands =
      quota_client_.has_commands() || quota_issuer_.has_commands();
  const TimePoint due = has_commands ? now
                                     : std::min(quota_client_.NextWake(),
                                                quota_issuer_.NextWake());
  if (due == TimePoint::max()) {
    quota_timer_.Reset();
    return;
  }
  const auto wait =
      std::chrono::ceil<std::chrono::milliseconds>(std::max(due, now) - now);
  quota_timer_.StartTimer(static_cast<guint>(wait.count()), [this] {
    const TimePoint later = LoopNow();
    quota_client_.OnWake(later);
    quota_issuer_.OnWake(later);
    RunQuotas(later);
  });
}

}  // namespace briarlead
