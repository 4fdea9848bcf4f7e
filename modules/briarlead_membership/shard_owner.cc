#include "briarlead_membership/shard_owner.h"

#include <algorithm>
#include <cstdint>

#include "briarlead_core/rendezvous_score.h"

namespace briarlead {

namespace {

struct ScoredHost {
  std::uint64_t score = 0;
  const HostRecord* host = nullptr;
};

bool MayOwn(const HostRecord& host, const DataCentreId& data_centre) {
  return host.data_centre == data_centre &&
         (host.state == HostState::kAlive || host.state == HostState::kSuspect);
}

bool RanksBefore(const ScoredHost& left, const ScoredHost& right) {
  if (left.score != right.score)
    return left.score > right.score;
  return left.host->id < right.host->id;
}

}  // namespace

std::vector<HostId> ShardOwner::RankHostsByKey(const DataCentreId& data_centre,
                                               std::string_view key,
                                               const HostTable& hosts,
                                               std::size_t count) {
  std::vector<ScoredHost> scored;
  for (const auto& [id, host] : hosts.items()) {
    if (MayOwn(host, data_centre))
      scored.push_back({RendezvousScore(key, id.value()), &host});
  }
  const std::size_t n = std::min(count, scored.size());
  std::partial_sort(scored.begin(),
                    scored.begin() + static_cast<std::ptrdiff_t>(n),
                    scored.end(), RanksBefore);
  std::vector<HostId> order;
  for (std::size_t i = 0; i < n; ++i)
    order.push_back(scored[i].host->id);
  return order;
}

std::vector<HostId> ShardOwner::RankHosts(const DataCentreId& data_centre,
                                          const ModelId& model,
                                          const HostTable& hosts,
                                          std::size_t count) {
  return RankHostsByKey(data_centre, model.value(), hosts, count);
}

std::optional<HostId> ShardOwner::OwnerOf(const DataCentreId& data_centre,
                                          const ModelId& model,
                                          const HostTable& hosts) {
  auto order = RankHosts(data_centre, model, hosts, 1);
  if (order.empty())
    return std::nullopt;
  return std::move(order.front());
}

}  // namespace briarlead
