#include "briarlead_forward/placement_owners.h"

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <utility>

#include "briarlead_core/rendezvous_score.h"

namespace briarlead {

namespace {

/// The key by which the owners of the engines are ranked.
constexpr std::string_view kOwnersKey = "engines";

std::uint64_t Score(const EntryHost& host) {
  return RendezvousScore(kOwnersKey, host.peers.address);
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
