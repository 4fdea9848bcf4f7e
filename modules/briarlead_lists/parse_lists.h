#ifndef BRIARLEAD_LISTS_PARSE_LISTS_H_
#define BRIARLEAD_LISTS_PARSE_LISTS_H_

#include <cstddef>
#include <optional>
#include <string_view>

#include "briarlead_core/findings.h"
#include "briarlead_lists/lists.h"

namespace briarlead {

/// File names under which findings are reported.
struct ListFileNames {
  std::string_view customers = "customers.json";
  std::string_view plans = "plans.json";
};

inline constexpr std::size_t kMaxListBytes = 2'097'152;
inline constexpr std::size_t kMaxCustomers = 20'000;
inline constexpr std::size_t kMaxPlans = 2000;
inline constexpr std::size_t kMaxUsesInPlan = 64;

/// Reads and checks both lists, JSON with comments. Every fault goes into
/// `findings`: each list by itself, then the references between them.
/// @returns the lists at revision 0, or nullopt when anything was found.
std::optional<Lists> ParseLists(std::string_view customers_text,
                                std::string_view plans_text,
                                Findings& findings,
                                const ListFileNames& names = {});

}  // namespace briarlead

#endif  // BRIARLEAD_LISTS_PARSE_LISTS_H_
