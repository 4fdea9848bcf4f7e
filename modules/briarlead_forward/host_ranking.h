#ifndef BRIARLEAD_FORWARD_HOST_RANKING_H_
#define BRIARLEAD_FORWARD_HOST_RANKING_H_

#include <concepts>
#include <cstdint>
#include <span>
#include <string_view>
#include <tuple>
#include <utility>

#include "briarlead_core/rendezvous_score.h"
#include "briarlead_placement/host_weights.h"
#include "briarlead_routes/routing_message.h"

namespace briarlead {

/// The rank of a host for a key; the greatest one is the first.
using HostRank = std::tuple<double, std::uint64_t, Endpoint>;

/// Returns the rank of `host` for `key`. Among equal weights, the order is that
/// of the rendezvous scores: the second part decides where the first one is
/// rounded.
inline HostRank RankOf(const EntryHost& host,
                       std::string_view key,
                       const HostWeights& weights) {
  const std::uint64_t score = RendezvousScore(key, host.peers.address);
  return {WeightedScore(score, weights.Of(host.peers)), score, host.peers};
}

/// Returns the host with the highest rank for `key` of those that `accepts`
/// accepts; null if there is none. Every host finds the same one.
template <std::predicate<const EntryHost&> Accepts>
const EntryHost* HighestRanked(std::span<const EntryHost> hosts,
                               std::string_view key,
                               Accepts accepts,
                               const HostWeights& weights = {}) {
  const EntryHost* best = nullptr;
  HostRank best_rank;
  for (const EntryHost& it : hosts) {
    if (!accepts(it))
      continue;
    HostRank rank = RankOf(it, key, weights);
    if (best != nullptr && rank <= best_rank)
      continue;
    best = &it;
    best_rank = std::move(rank);
  }
  return best;
}

}  // namespace briarlead

#endif  // BRIARLEAD_FORWARD_HOST_RANKING_H_
