#include "briarlead_entry/admission.h"

#include <algorithm>

namespace briarlead {

namespace {

AllowanceKey KeyOf(const CustomerId& customer, const Entitlement& use) {
  const bool is_model = !use.model.empty();
  return {customer, UseId(is_model ? "model " + use.model.value()
                                   : "service " + use.service.value())};
}

/// Returns the rate of one part; a plan without that rate has no limit.
double Part(double whole, double parts) {
  return whole > 0 ? whole / parts : kNoRateLimit;
}

}  // namespace

void Admission::SetLists(const Lists& lists, TimePoint now) {
  for (const CustomerEntry& customer : lists.customers()) {
    const Plan* plan = lists.Find(customer.plan);
    for (const Entitlement& use : plan->entitlements)
      meter_.SetPortion(KeyOf(customer.id, use), PortionOf(*plan, use), now);
  }
}

AllowanceDecision Admission::Admit(const CustomerId& customer,
                                   const Entitlement& use,
                                   std::uint32_t tokens,
                                   TimePoint now) {
  return meter_.Admit(KeyOf(customer, use), tokens, now);
}

void Admission::OnDone(const CustomerId& customer,
                       const Entitlement& use,
                       std::uint32_t charged_tokens,
                       std::uint32_t used_tokens,
                       TimePoint now) {
  meter_.OnDone(KeyOf(customer, use), charged_tokens, used_tokens, now);
}

AllowanceLimits Admission::PortionOf(const Plan& plan,
                                     const Entitlement& use) const {
  const auto parts = static_cast<double>(hosts_);
  AllowanceLimits portion;
  portion.requests_per_second = Part(use.requests_per_second, parts);
  portion.tokens_per_second = Part(use.tokens_per_second, parts);
  portion.concurrent = std::max<std::uint32_t>(
      1, plan.concurrency / static_cast<std::uint32_t>(hosts_));
  return portion;
}

}  // namespace briarlead
