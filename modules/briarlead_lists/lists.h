#ifndef BRIARLEAD_LISTS_LISTS_H_
#define BRIARLEAD_LISTS_LISTS_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

#include "briarlead_accounts/key_index.h"
#include "briarlead_lists/plan.h"

namespace briarlead {

/// The checked lists of customers and plans: every customer is on a plan of the
/// list, and names and keys are unique. Customers and plans are looked up in
/// constant time. Returned pointers are valid until this object is changed or
/// destroyed.
class Lists {
 public:
  /// Creates empty lists of revision 0.
  Lists() = default;

  /// Creates lists of revision 0 from entries that ParseLists() has checked. Of
  /// several entries with the same name or key, lookups find the first.
  Lists(std::vector<CustomerEntry> customers, std::vector<Plan> plans);

  /// Revision under which the lists were accepted; 0 until they are.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }
  void set_revision(std::uint64_t revision) { revision_ = revision; }

  [[nodiscard]] std::span<const CustomerEntry> customers() const {
    return customers_;
  }
  [[nodiscard]] std::span<const Plan> plans() const { return plans_; }

  /// Returns the customer whose bearer key has `digest`, or null.
  [[nodiscard]] const CustomerEntry* FindByKeyDigest(
      const KeyDigest& digest) const;

  /// Returns the customer `id`, or null.
  [[nodiscard]] const CustomerEntry* Find(const CustomerId& id) const;

  /// Returns the plan `id`, or null.
  [[nodiscard]] const Plan* Find(const PlanId& id) const;

  /// Returns the plan of `customer`, or null for an unknown customer.
  [[nodiscard]] const Plan* PlanOf(const CustomerId& customer) const;

  /// Returns the entitlement of `customer` to a model or a service, or null if
  /// the customer is unknown or its plan does not include it.
  [[nodiscard]] const Entitlement* FindEntitlement(const CustomerId& customer,
                                                   const ModelId& model) const;
  [[nodiscard]] const Entitlement* FindEntitlement(
      const CustomerId& customer,
      const ServiceId& service) const;

 private:
  std::uint64_t revision_ = 0;
  std::vector<CustomerEntry> customers_;
  std::vector<Plan> plans_;
  // Indexes into the vectors above. Unlike pointers, they stay valid in a copy.
  KeyIndex customer_by_key_;
  std::unordered_map<CustomerId, std::size_t> customer_by_id_;
  std::unordered_map<PlanId, std::size_t> plan_by_id_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_LISTS_LISTS_H_
