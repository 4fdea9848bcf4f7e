#ifndef BRIARLEAD_LISTS_LISTS_H_
#define BRIARLEAD_LISTS_LISTS_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "briarlead_lists/plan.h"

namespace briarlead {

/// Both lists, checked: every customer is on a known plan, and names and keys
/// are unique. Lookups take constant time. Pointers that are returned stay
/// good for as long as this object lives unchanged.
class Lists {
 public:
  /// Makes empty lists of revision 0.
  Lists() = default;

  /// Takes entries that ParseLists() has checked. Of entries with one name or
  /// key, lookups find the first.
  Lists(std::vector<CustomerEntry> customers, std::vector<Plan> plans);

  /// Revision under which the lists were accepted; 0 before that.
  [[nodiscard]] std::uint64_t revision() const { return revision_; }
  void set_revision(std::uint64_t revision) { revision_ = revision; }

  [[nodiscard]] std::span<const CustomerEntry> customers() const {
    return customers_;
  }
  [[nodiscard]] std::span<const Plan> plans() const { return plans_; }

  /// Returns the customer whose key has the SHA-256 digest `key_sha256` (lower
  /// case), or null.
  [[nodiscard]] const CustomerEntry* FindByKeyDigest(
      std::string_view key_sha256) const;

  /// Returns the customer `id`, or null.
  [[nodiscard]] const CustomerEntry* Find(const CustomerId& id) const;

  /// Returns the plan `id`, or null.
  [[nodiscard]] const Plan* Find(const PlanId& id) const;

  /// Returns the plan that `customer` is on, or null for an unknown customer.
  [[nodiscard]] const Plan* PlanOf(const CustomerId& customer) const;

  /// Returns what `customer` may use of a model or a service, or null when its
  /// plan does not name it.
  [[nodiscard]] const Entitlement* FindEntitlement(const CustomerId& customer,
                                                   const ModelId& model) const;
  [[nodiscard]] const Entitlement* FindEntitlement(
      const CustomerId& customer,
      const ServiceId& service) const;

 private:
  std::uint64_t revision_ = 0;
  std::vector<CustomerEntry> customers_;
  std::vector<Plan> plans_;
  // Positions in the vectors above, which stay right when this is copied.
  std::unordered_map<std::string, std::size_t> customer_by_key_;
  std::unordered_map<CustomerId, std::size_t> customer_by_id_;
  std::unordered_map<PlanId, std::size_t> plan_by_id_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_LISTS_LISTS_H_
