#include "briarlead_lists/lists.h"

#include <optional>
#include <utility>

namespace briarlead {

Lists::Lists(std::vector<CustomerEntry> customers, std::vector<Plan> plans)
    : customers_(std::move(customers)), plans_(std::move(plans)) {
  for (std::size_t i = 0; i < customers_.size(); ++i) {
    const std::optional<KeyDigest> digest =
        ReadKeyDigest(customers_[i].key_sha256);
    if (digest.has_value())
      customer_by_key_.Add(*digest, i);
    customer_by_id_.emplace(customers_[i].id, i);
  }
  for (std::size_t i = 0; i < plans_.size(); ++i)
    plan_by_id_.emplace(plans_[i].id, i);
}

const CustomerEntry* Lists::FindByKeyDigest(const KeyDigest& digest) const {
  const std::optional<std::size_t> position = customer_by_key_.Find(digest);
  return position.has_value() ? &customers_[*position] : nullptr;
}

const CustomerEntry* Lists::Find(const CustomerId& id) const {
  const auto it = customer_by_id_.find(id);
  return it == customer_by_id_.end() ? nullptr : &customers_[it->second];
}

const Plan* Lists::Find(const PlanId& id) const {
  const auto it = plan_by_id_.find(id);
  return it == plan_by_id_.end() ? nullptr : &plans_[it->second];
}

const Plan* Lists::PlanOf(const CustomerId& customer) const {
  const CustomerEntry* entry = Find(customer);
  return entry == nullptr ? nullptr : Find(entry->plan);
}

const Entitlement* Lists::FindEntitlement(const CustomerId& customer,
                                          const ModelId& model) const {
  const Plan* plan = PlanOf(customer);
  if (plan == nullptr || model.empty())
    return nullptr;
  for (const Entitlement& entitlement : plan->entitlements) {
    if (entitlement.model == model)
      return &entitlement;
  }
  return nullptr;
}

const Entitlement* Lists::FindEntitlement(const CustomerId& customer,
                                          const ServiceId& service) const {
  const Plan* plan = PlanOf(customer);
  if (plan == nullptr || service.empty())
    return nullptr;
  for (const Entitlement& entitlement : plan->entitlements) {
    if (entitlement.service == service)
      return &entitlement;
  }
  return nullptr;
}

}  // namespace briarlead
