#ifndef BRIARLEAD_ACCOUNTS_REQUEST_RANK_H_
#define BRIARLEAD_ACCOUNTS_REQUEST_RANK_H_

#include <algorithm>

namespace briarlead {

/// Ranks of routes that are distinguished within one rank of accounts.
inline constexpr unsigned kRouteRanks = 10;
/// Account ranks above this one are treated as equal.
inline constexpr unsigned kLastAccountRank = 1000;
/// The least urgent priority of a request at an engine.
inline constexpr unsigned kLastEnginePriority = 9;
/// Ranks of routes that engines distinguish within one rank of accounts.
inline constexpr unsigned kEngineRouteRanks = 3;

/// Returns the rank of a request of an account: by the account's rank, then by
/// the route's. 0 is the most urgent.
constexpr unsigned RankOfAccountRequest(unsigned account_rank,
                                        unsigned route_rank) {
  return std::min(account_rank, kLastAccountRank) * kRouteRanks +
         std::min(route_rank, kRouteRanks - 1);
}

/// Returns the priority at an engine, 0 to kLastEnginePriority, of a request of
/// an account: in the order of RankOfAccountRequest(), with fewer steps.
constexpr unsigned EnginePriorityOf(unsigned account_rank,
                                    unsigned route_rank) {
  return std::min(std::min(account_rank, kLastAccountRank) * kEngineRouteRanks +
                      std::min(route_rank, kEngineRouteRanks - 1),
                  kLastEnginePriority);
}

}  // namespace briarlead

#endif  // BRIARLEAD_ACCOUNTS_REQUEST_RANK_H_
