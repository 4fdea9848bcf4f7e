#include "briarlead_forward/permit_owners.h"

#include <algorithm>
#include <set>

#include "briarlead_forward/host_ranking.h"

namespace briarlead {

void PermitOwners::SetHosts(std::span<const EntryHost> hosts,
                            const HostWeights& weights) {
  weights_ = weights;
  hosts_.assign(hosts.begin(), hosts.end());
  owners_.clear();
  std::set<DataCentreId> data_centres;
  for (const EntryHost& it : hosts_) {
    data_centres.insert(it.data_centre);
    if (it.peers == self_)
      data_centre_ = it.data_centre;
  }
  data_centre_count_ = data_centres.size();
}

const std::vector<Endpoint>& PermitOwners::Of(
    const BackendServerId& server) const {
  if (owners_.size() >= kMaxServers)
    owners_.clear();
  const auto [found, is_new] = owners_.try_emplace(server);
  std::vector<Endpoint>& owners = found->second;
  if (!is_new || hosts_.empty())
    return owners;
  const EntryHost* owner = HighestRanked(
      hosts_, server.value(), [](const EntryHost&) { return true; }, weights_);
  owners.push_back(owner->peers);
  const EntryHost* standby = HighestRanked(
      hosts_, server.value(),
      [&](const EntryHost& it) {
        return it.data_centre == data_centre_ && it.peers != owner->peers;
      },
      weights_);
  if (standby != nullptr)
    owners.push_back(standby->peers);
  return owners;
}

bool PermitOwners::Owns(const BackendServerId& server) const {
  const std::vector<Endpoint>& owners = Of(server);
  return !owners.empty() && owners.front() == self_;
}

double PermitOwners::ShareOf(const BackendServerId& server) const {
  const std::vector<Endpoint>& owners = Of(server);
  if (Owns(server))
    return 1;
  const bool is_standby = owners.size() > 1 && owners[1] == self_;
  return is_standby ? kStandbyShare / static_cast<double>(data_centre_count_)
                    : 0;
}

}  // namespace briarlead
