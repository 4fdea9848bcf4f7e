// The part of RegistryProcess that grants amounts of quotas, as the leader.

#include <utility>

#include "briarlead_registry/registry_process.h"

namespace briarlead {

void RegistryProcess::UpdateQuotaLedger(TimePoint now) {
  if (!state_->leads())
    return;
  const RouteStore& routes = state_->routes();
  if (std::exchange(quota_routes_version_, routes.version()) !=
      routes.version()) {
    Findings findings;
    const std::optional<RouteList> list = read_routes_(routes.text(), findings);
    if (list.has_value())
      quota_ledger_.SetAccounts(
          list->accounts.value_or(std::vector<ClientAccount>()), now);
    else
      logger_.Failure(now, "routes_unreadable",
                      {{"findings", findings.Format()}});
  }
  // Another host may have led, and granted, in between.
  if (std::exchange(quota_term_, state_->led_term()) != state_->led_term())
    quota_ledger_.Start(now);
}

void RegistryProcess::OnQuotaGrantRequest(const Endpoint& issuer,
                                          const QuotaGrantRequest& request,
                                          TimePoint now) {
  // A deposed leader has lost its lease before another one can grant.
  if (!state_->leads() || !state_->HasMajorityContact(now))
    return;
  UpdateQuotaLedger(now);
  SendDatagram(issuer, quota_ledger_.OnRequest(issuer, request, now));
}

}  // namespace briarlead
