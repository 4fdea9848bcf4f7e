#include "briarlead_entry/allowance_enforcer.h"

#include <algorithm>

namespace briarlead {

namespace {

AllowanceKey KeyOf(const CustomerId& customer, const Entitlement& use) {
  const bool is_model = !use.model.empty();
  return {customer, UseId(is_model ? "model " + use.model.value()
                                   : "service " + use.service.value())};
}

/// Returns one host's share of a fleet-wide rate; zero means no limit.
double PerHost(double fleet_rate, double hosts) {
  return fleet_rate > 0 ? fleet_rate / hosts : kNoRateLimit;
}

}  // namespace

void AllowanceEnforcer::SetLists(const Lists& lists, TimePoint now) {
  for (const CustomerEntry& customer : lists.customers()) {
    const Plan* plan = lists.Find(customer.plan);
    for (const Entitlement& use : plan->entitlements)
      meter_.SetPortion(KeyOf(customer.id, use), HostLimits(*plan, use), now);
  }
}

AllowanceDecision AllowanceEnforcer::Admit(const CustomerId& customer,
                                           const Entitlement& use,
                                           std::uint32_t tokens,
                                           TimePoint now) {
  return meter_.Admit(KeyOf(customer, use), tokens, now);
}

void AllowanceEnforcer::OnDone(const CustomerId& customer,
                               const Entitlement& use,
                               std::uint32_t charged_tokens,
                               std::uint32_t used_tokens,
                               TimePoint now) {
  meter_.OnDone(KeyOf(customer, use), charged_tokens, used_tokens, now);
}

AllowanceLimits AllowanceEnforcer::HostLimits(const Plan& plan,
                                              const Entitlement& use) const {
  const auto hosts = static_cast<double>(hosts_);
  AllowanceLimits limits;
  limits.requests_per_second = PerHost(use.requests_per_second, hosts);
  limits.tokens_per_second = PerHost(use.tokens_per_second, hosts);
  limits.concurrent = std::max<std::uint32_t>(
      1, plan.concurrency / static_cast<std::uint32_t>(hosts_));
  return limits;
}

}  // namespace briarlead
