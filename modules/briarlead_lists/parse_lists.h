#ifndef BRIARLEAD_LISTS_PARSE_LISTS_H_
#define BRIARLEAD_LISTS_PARSE_LISTS_H_

#include <cstddef>
#include <optional>
#include <string_view>

#include "briarlead_core/findings.h"
#include "briarlead_lists/lists.h"

namespace briarlead {

/// File names that findings report.
struct ListFileNames {
  std::string_view customers = "customers.json";
  std::string_view plans = "plans.json";
};

/// Largest size of each file.
inline constexpr std::size_t kMaxListBytes = 2'097'152;
inline constexpr std::size_t kMaxCustomers = 20'000;
inline constexpr std::size_t kMaxPlans = 2000;
inline constexpr std::size_t kMaxEntitlementsPerPlan = 64;

/// Reads and checks both lists, which are JSON with comments. Adds a finding to
/// `findings` for each fault: first those within each list, then customers
/// whose plan does not exist.
/// @returns the lists at revision 0, or nullopt if there was a fault.
std::optional<Lists> ParseLists(std::string_view customers_text,
                                std::string_view plans_text,
                                Findings& findings,
                                const ListFileNames& names = {});

}  // namespace briarlead

#endif  // BRIARLEAD_LISTS_PARSE_LISTS_H_
