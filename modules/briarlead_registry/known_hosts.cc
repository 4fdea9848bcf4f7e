#include "briarlead_registry/known_hosts.h"

namespace briarlead {

bool KnownHosts::OnHeartbeat(const Endpoint& endpoint,
                             const HostHeartbeat& heartbeat,
                             TimePoint now) {
  const auto [it, is_new] = hosts_.try_emplace(endpoint);
  it->second = {heartbeat, now};
  return is_new;
}

void KnownHosts::Expire(TimePoint now) {
  std::erase_if(hosts_, [now](const auto& it) {
    return now - it.second.last_heard >= kHostTimeout;
  });
}

std::vector<EntryHost> KnownHosts::EntryHosts() const {
  std::vector<EntryHost> entry_hosts;
  for (const auto& [endpoint, host] : hosts_) {
    if (host.heartbeat.role == HostRole::kEntry)
      entry_hosts.push_back({endpoint, host.heartbeat.data_centre});
  }
  return entry_hosts;
}

std::vector<Endpoint> KnownHosts::EndpointsWithRole(HostRole role) const {
  std::vector<Endpoint> endpoints;
  for (const auto& [endpoint, host] : hosts_) {
    if (host.heartbeat.role == role)
      endpoints.push_back(endpoint);
  }
  return endpoints;
}

}  // namespace briarlead
