#include "briarlead_forward/placement_owners.h"

#include <algorithm>
#include <boost/container_hash/hash.hpp>
#include <cstdint>
#include <utility>

namespace briarlead {

namespace {

/// Rendezvous score of a host: the highest one owns the engines. The multiplier
/// spreads the hashes of similar addresses.
std::uint64_t Score(const EntryHost& host) {
  constexpr std::uint64_t kOddMultiplier = 0x9e3779b97f4a7c15U;
  std::uint64_t score = boost::hash<std::string>()(host.peers.address);
  score = (score ^ (score >> 32)) * kOddMultiplier;
  return score ^ (score >> 29);
}

bool RanksBefore(const EntryHost& left, const EntryHost& right) {
  return std::pair(Score(left), left.peers) >
         std::pair(Score(right), right.peers);
}

}  // namespace

void PlacementOwners::SetHosts(std::span<const EntryHost> hosts) {
  owners_.clear();
  load_receivers_.clear();
  all_place_ = hosts.size() <= kMaxPlacingHosts;
  places_locally_ = all_place_;
  owns_engines_ = false;
  if (all_place_) {
    for (const EntryHost& it : hosts) {
      if (it.peers != self_)
        load_receivers_.push_back(it.peers);
    }
    return;
  }
  std::vector<EntryHost> ranked(hosts.begin(), hosts.end());
  std::sort(ranked.begin(), ranked.end(), RanksBefore);
  const auto add = [this](const EntryHost& host) {
    if (std::find(owners_.begin(), owners_.end(), host.peers) == owners_.end())
      owners_.push_back(host.peers);
  };
  const EntryHost& first = ranked.front();
  add(first);
  const auto second = std::find_if(
      ranked.begin(), ranked.end(),
      [&](const EntryHost& it) { return it.data_centre != first.data_centre; });
  add(second == ranked.end() ? ranked[1] : *second);
  const auto nearest = std::find_if(
      ranked.begin(), ranked.end(),
      [this](const EntryHost& it) { return it.data_centre == data_centre_; });
  if (nearest != ranked.end())
    add(*nearest);
  places_locally_ = first.peers == self_;
  owns_engines_ = std::erase(owners_, self_) > 0;
  load_receivers_ = owners_;
}

}  // namespace briarlead
