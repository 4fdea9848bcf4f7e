#ifndef BRIARLEAD_ENTRY_ALLOWANCE_ENFORCER_H_
#define BRIARLEAD_ENTRY_ALLOWANCE_ENFORCER_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "briarlead_core/identifiers.h"
#include "briarlead_core/time.h"
#include "briarlead_dispatch/briarlead_dispatch.h"
#include "briarlead_lists/briarlead_lists.h"

namespace briarlead {

/// Enforces the allowances of each customer's plan on this host. Each host has
/// an equal share of every fleet-wide allowance, so that the total is kept even
/// while data centres are disconnected from each other.
class AllowanceEnforcer {
 public:
  /// @param hosts number of entry hosts in the fleet
  explicit AllowanceEnforcer(std::size_t hosts) : hosts_(hosts) {}

  /// Sets the limits of every customer and entitlement from new lists.
  void SetLists(const Lists& lists, TimePoint now);

  /// Charges a request of `customer` for `use`, or refuses it. OnDone() must be
  /// called once for each admitted request.
  AllowanceDecision Admit(const CustomerId& customer,
                          const Entitlement& use,
                          std::uint32_t tokens,
                          TimePoint now);

  /// An admitted request ended; of `charged_tokens`, it used `used_tokens`.
  void OnDone(const CustomerId& customer,
              const Entitlement& use,
              std::uint32_t charged_tokens,
              std::uint32_t used_tokens,
              TimePoint now);

 private:
  [[nodiscard]] AllowanceLimits HostLimits(const Plan& plan,
                                           const Entitlement& use) const;

  std::size_t hosts_;
  AllowanceMeter meter_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ENTRY_ALLOWANCE_ENFORCER_H_
