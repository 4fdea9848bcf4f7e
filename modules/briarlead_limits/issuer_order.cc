#include "briarlead_limits/issuer_order.h"

#include <algorithm>
#include <string>
#include <utility>

#include "briarlead_core/rendezvous_score.h"

namespace briarlead {

std::vector<EntryHost> HostsOfDataCentre(std::span<const EntryHost> hosts,
                                         const Endpoint& self,
                                         const DataCentreId& data_centre) {
  std::vector<EntryHost> own;
  bool has_self = false;
  for (const EntryHost& it : hosts) {
    if (it.data_centre != data_centre)
      continue;
    own.push_back(it);
    has_self = has_self || it.peers == self;
  }
  if (!has_self)
    own.push_back({self, data_centre});
  return own;
}

std::vector<Endpoint> IssuerOrder(std::span<const EntryHost> hosts,
                                  const CustomerId& account,
                                  std::size_t count) {
  // The same key as that of other owners would put all work on the same hosts.
  const std::string key = "quota " + account.value();
  std::vector<std::pair<std::uint64_t, Endpoint>> ranked;
  for (const EntryHost& it : hosts)
    ranked.emplace_back(RendezvousScore(key, it.peers.address), it.peers);
  count = std::min(count, ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end(), std::greater<>());
  std::vector<Endpoint> order;
  for (std::size_t i = 0; i < count; ++i)
    order.push_back(std::move(ranked[i].second));
  return order;
}

}  // namespace briarlead
