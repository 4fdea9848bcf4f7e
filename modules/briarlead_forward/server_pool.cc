#include "briarlead_forward/server_pool.h"

#include <algorithm>

namespace briarlead {

namespace {

/// Spread by which equal servers are chosen at random.
constexpr double kTieSpread = 0.001;

}  // namespace

bool ServerPool::Fits(const ServerRecord& record,
                      const ServerQuery& query) const {
  if (record.service != query.service || record.state != ServerState::kReady ||
      record.stage != query.stage) {
    return false;
  }
  const ServerStart start = StartOf(record);
  if (std::find(query.excluded.begin(), query.excluded.end(), start) !=
      query.excluded.end()) {
    return false;
  }
  const auto state = states_.find(start);
  return state == states_.end() || !state->second.wrong_server;
}

ServerPool::Trust ServerPool::TrustOf(const ServerDirectory::Entry& entry,
                                      TimePoint now) const {
  const bool silent = now - entry.heard >= kSilenceLimit;
  const auto found = states_.find(StartOf(entry.record));
  if (found == states_.end())
    return silent ? Trust::kSilent : Trust::kWell;
  const ServerHealth& health = found->second.health;
  if (!health.Admits(found->second.in_flight, now))
    return health.on_probation() ? Trust::kEjected : Trust::kFull;
  return silent || health.on_probation() ? Trust::kSilent : Trust::kWell;
}

std::vector<ServerRecord> ServerPool::Usable(const ServerQuery& query,
                                             TimePoint now) const {
  std::vector<ServerRecord> servers;
  Trust best = Trust::kEjected;
  for (const auto& [id, entry] : directory_.entries()) {
    if (!Fits(entry.record, query))
      continue;
    const Trust trust = TrustOf(entry, now);
    if (trust < best)
      servers.clear();
    best = std::min(best, trust);
    if (trust == best)
      servers.push_back(entry.record);
  }
  return servers;
}

std::optional<ServerRecord> ServerPool::Choose(const ServerQuery& query,
                                               TimePoint now,
                                               RandomSource& random) const {
  const ServerRecord* best = nullptr;
  std::pair<Trust, double> best_cost;
  for (const auto& [id, entry] : directory_.entries()) {
    if (!Fits(entry.record, query))
      continue;
    const std::pair<Trust, double> cost = CostOf(entry, now, random);
    if (best == nullptr || cost < best_cost) {
      best = &entry.record;
      best_cost = cost;
    }
  }
  if (best == nullptr)
    return std::nullopt;
  return *best;
}

std::pair<ServerPool::Trust, double> ServerPool::CostOf(
    const ServerDirectory::Entry& entry,
    TimePoint now,
    RandomSource& random) const {
  const ServerRecord& record = entry.record;
  const Trust trust = TrustOf(entry, now);
  double cost = random.Unit() * kTieSpread;
  if (record.data_centre != own_)
    cost += kRemotePenalty;
  const auto found = states_.find(StartOf(record));
  if (found == states_.end())
    return {trust, cost};
  const State& state = found->second;
  cost += static_cast<double>(state.in_flight) /
          std::max<std::uint32_t>(record.slots, 1);
  // Of servers that are left alone, the one whose time is over first.
  if (trust >= Trust::kFull)
    cost += ToSeconds(state.health.ejected_until().time_since_epoch());
  return {trust, cost};
}

void ServerPool::OnSent(const ServerStart& server) {
  ++states_[server].in_flight;
}

bool ServerPool::OnOutcome(const ServerStart& server,
                           AttemptOutcome outcome,
                           TimePoint now) {
  State& state = states_[server];
  if (state.in_flight > 0)
    --state.in_flight;
  if (outcome == AttemptOutcome::kWrongServer)
    state.wrong_server = true;
  return state.health.OnOutcome(outcome, now);
}

bool ServerPool::OnDown(const ServerStart& server, TimePoint now) {
  return states_[server].health.OnOutcome(AttemptOutcome::kNotConnected, now);
}

std::vector<ServerRecord> ServerPool::NeighboursOf(
    const ServerRecord& down) const {
  std::vector<ServerRecord> neighbours;
  if (down.data_centre == own_)
    return neighbours;
  for (const auto& [id, entry] : directory_.entries()) {
    const ServerRecord& it = entry.record;
    if (it.id != down.id && it.data_centre == down.data_centre &&
        it.state == ServerState::kReady) {
      neighbours.push_back(it);
    }
  }
  return neighbours;
}

void ServerPool::Forget() {
  std::erase_if(states_, [this](const auto& it) {
    const ServerDirectory::Entry* entry = directory_.Find(it.first.id);
    return it.second.in_flight == 0 &&
           (entry == nullptr || StartOf(entry->record) != it.first);
  });
}

bool ServerPool::IsEjected(const ServerStart& server, TimePoint now) const {
  const auto it = states_.find(server);
  return it != states_.end() && now < it->second.health.ejected_until();
}

}  // namespace briarlead
