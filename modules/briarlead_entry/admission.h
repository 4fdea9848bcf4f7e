#ifndef BRIARLEAD_ENTRY_ADMISSION_H_
#define BRIARLEAD_ENTRY_ADMISSION_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "briarlead_core/identifiers.h"
#include "briarlead_core/time.h"
#include "briarlead_dispatch/briarlead_dispatch.h"
#include "briarlead_lists/briarlead_lists.h"

namespace briarlead {

/// Holds each customer to what its plan allows, on this host. A host has an
/// even part of each fleet-wide allowance, so that the whole is kept also
/// while data centres are cut off from each other.
class Admission {
 public:
  /// @param hosts number of entry hosts in the whole fleet
  explicit Admission(std::size_t hosts) : hosts_(hosts) {}

  /// Takes new lists: sets the portions of every customer and use.
  void SetLists(const Lists& lists, TimePoint now);

  /// Charges a request of `customer` for `use`, or refuses it. Each admitted
  /// request needs one call of OnDone().
  AllowanceDecision Admit(const CustomerId& customer,
                          const Entitlement& use,
                          std::uint32_t tokens,
                          TimePoint now);

  /// An admitted request ended and used `used_tokens` of those charged.
  void OnDone(const CustomerId& customer,
              const Entitlement& use,
              std::uint32_t charged_tokens,
              std::uint32_t used_tokens,
              TimePoint now);

 private:
  [[nodiscard]] AllowanceLimits PortionOf(const Plan& plan,
                                          const Entitlement& use) const;

  std::size_t hosts_;
  AllowanceMeter meter_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ENTRY_ADMISSION_H_
