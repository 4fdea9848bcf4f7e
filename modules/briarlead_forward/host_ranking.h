#ifndef BRIARLEAD_FORWARD_HOST_RANKING_H_
#define BRIARLEAD_FORWARD_HOST_RANKING_H_

#include <concepts>
#include <span>
#include <string_view>
#include <utility>

#include "briarlead_core/rendezvous_score.h"
#include "briarlead_routes/routing_message.h"

namespace briarlead {

/// Returns the host with the highest rendezvous score for `key` of those that
/// `accepts` accepts; null if there is none. Every host finds the same one.
template <std::predicate<const EntryHost&> Accepts>
const EntryHost* HighestRanked(std::span<const EntryHost> hosts,
                               std::string_view key,
                               Accepts accepts) {
  const EntryHost* best = nullptr;
  std::pair<std::uint64_t, Endpoint> best_rank;
  for (const EntryHost& it : hosts) {
    if (!accepts(it))
      continue;
    std::pair rank(RendezvousScore(key, it.peers.address), it.peers);
    if (best != nullptr && rank <= best_rank)
      continue;
    best = &it;
    best_rank = std::move(rank);
  }
  return best;
}

}  // namespace briarlead

#endif  // BRIARLEAD_FORWARD_HOST_RANKING_H_
