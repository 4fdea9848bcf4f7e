#include "briarlead_forward/relay_hosts.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include "briarlead_forward/placement_owners.h"

namespace briarlead {

namespace {

constexpr std::array<RelayRefusal, 6> kRefusals = {
    RelayRefusal::kUnreachable, RelayRefusal::kStopping,
    RelayRefusal::kBusy,        RelayRefusal::kCutOff,
    RelayRefusal::kNoLease,     RelayRefusal::kNoServer};

}  // namespace

std::string_view ToString(RelayRefusal refusal) {
  switch (refusal) {
    case RelayRefusal::kUnreachable:
      return "unreachable";
    case RelayRefusal::kStopping:
      return "stopping";
    case RelayRefusal::kBusy:
      return "busy";
    case RelayRefusal::kCutOff:
      return "cut_off";
    case RelayRefusal::kNoLease:
      return "no_lease";
    case RelayRefusal::kNoServer:
      return "no_server";
  }
  return "unknown";
}

std::optional<RelayRefusal> ReadRelayRefusal(std::string_view name) {
  for (const RelayRefusal it : kRefusals) {
    if (ToString(it) == name)
      return it;
  }
  return std::nullopt;
}

void RelayHosts::SetHosts(std::span<const EntryHost> hosts,
                          const HostWeights& weights) {
  weights_ = weights;
  hosts_.assign(hosts.begin(), hosts.end());
  std::erase_if(hosts_,
                [this](const EntryHost& it) { return it.peers == self_; });
  all_report_ = hosts.size() <= PlacementOwners::kMaxPlacingHosts;
  std::erase_if(views_, [this](const auto& it) {
    return DataCentreOf(it.first) == nullptr;
  });
}

const DataCentreId* RelayHosts::DataCentreOf(const Endpoint& host) const {
  const auto found =
      std::find_if(hosts_.begin(), hosts_.end(),
                   [&](const EntryHost& it) { return it.peers == host; });
  return found == hosts_.end() ? nullptr : &found->data_centre;
}

void RelayHosts::OnReport(const Endpoint& host,
                          std::span<const ServerIncarnation> down,
                          TimePoint now) {
  if (views_.size() >= kMaxViews && !views_.contains(host))
    return;
  View& view = views_[host];
  view.heard = now;
  view.down.assign(down.begin(), down.end());
}

void RelayHosts::OnRefused(const Endpoint& host,
                           const ServerIncarnation& server,
                           RelayRefusal why,
                           TimePoint now) {
  if (views_.size() >= kMaxViews && !views_.contains(host))
    return;
  View& view = views_[host];
  if (why != RelayRefusal::kNoServer) {
    view.avoided_until = now + kRefusalLife;
  } else {
    std::erase_if(view.refused_until,
                  [now](const auto& it) { return it.second <= now; });
    view.refused_until[server] = now + kRefusalLife;
  }
  const DataCentreId* data_centre = DataCentreOf(host);
  if (why == RelayRefusal::kCutOff && data_centre != nullptr &&
      *data_centre == data_centre_) {
    others_first_until_ = now + kRefusalLife;
  }
}

bool RelayHosts::MayReach(const EntryHost& host,
                          const ServerIncarnation& server,
                          TimePoint now) const {
  const auto found = views_.find(host.peers);
  if (found == views_.end())
    return true;
  const View& view = found->second;
  if (now < view.avoided_until)
    return false;
  const bool heard = view.heard.has_value() && now - *view.heard < kHostSilence;
  if (all_report_ && view.heard.has_value() && !heard)
    return false;
  const auto refused = view.refused_until.find(server);
  if (refused != view.refused_until.end() && now < refused->second)
    return false;
  return !heard || std::find(view.down.begin(), view.down.end(), server) ==
                       view.down.end();
}

std::optional<Endpoint> RelayHosts::Choose(const ServerIncarnation& server,
                                           TimePoint now,
                                           RandomSource& random) const {
  const EntryHost* best = nullptr;
  double best_cost = 0;
  for (const EntryHost& it : hosts_) {
    if (!MayReach(it, server, now))
      continue;
    const bool is_near = it.data_centre == data_centre_;
    const bool comes_last = is_near == (now < others_first_until_);
    // The minimum falls on a host in proportion to its weight. Below 1, so that
    // the preference for a data centre comes first.
    const double weight = weights_.Of(it.peers);
    const double unit = random.Unit();
    const double draw = weight == 1 ? unit : 1 - std::pow(1 - unit, 1 / weight);
    const double cost = draw + (comes_last ? 1 : 0);
    if (best != nullptr && cost >= best_cost)
      continue;
    best = &it;
    best_cost = cost;
  }
  if (best == nullptr)
    return std::nullopt;
  return best->peers;
}

bool RelayHosts::CanReach(const ServerIncarnation& server,
                          TimePoint now) const {
  return std::any_of(hosts_.begin(), hosts_.end(), [&](const EntryHost& it) {
    return MayReach(it, server, now);
  });
}

}  // namespace briarlead
