#include "briarlead_forward/placement_owners.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "briarlead_forward/host_ranking.h"

namespace briarlead {

namespace {

/// The key by which the owners of the engines are ranked.
constexpr std::string_view kOwnersKey = "engines";

}  // namespace

void PlacementOwners::SetHosts(std::span<const EntryHost> hosts,
                               const HostWeights& weights) {
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
  std::sort(ranked.begin(), ranked.end(),
            [&](const EntryHost& left, const EntryHost& right) {
              return RankOf(left, kOwnersKey, weights) >
                     RankOf(right, kOwnersKey, weights);
            });
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
