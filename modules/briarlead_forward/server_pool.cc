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
  const bool silent = now - entry.last_heard >= kSilenceLimit;
  const auto found = states_.find(StartOf(entry.record));
  if (found == states_.end())
    return silent ? Trust::kSilent : Trust::kWell;
  const State& state = found->second;
  const ServerHealth& health = state.health;
  if (state.down)
    return Trust::kEjected;
  if (!health.Admits(state.in_flight, now))
    return health.on_probation() ? Trust::kEjected : Trust::kFull;
  const bool doubted = health.on_probation() || now < state.doubted_until;
  return silent || doubted ? Trust::kSilent : Trust::kWell;
}

std::vector<ServerRecord> ServerPool::Usable(const ServerQuery& query,
                                             TimePoint now) const {
  std::vector<ServerRecord> servers;
  Trust best = Trust::kEjected;
  for (const auto& [id, entry] : directory_.entries()) {
    if (!Fits(entry.record, query))
      continue;
    if (IsDown(entry.record))
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
  if (outcome == AttemptOutcome::kNotConnected)
    SetDown(state, true);
  else if (outcome == AttemptOutcome::kServed)
    SetDown(state, false);
  return state.health.OnOutcome(outcome, now);
}

void ServerPool::SetDown(State& state, bool down) {
  if (state.down == down)
    return;
  state.down = down;
  ++down_revision_;
}

bool ServerPool::OnDown(const ServerStart& server, TimePoint now) {
  State& state = states_[server];
  if (state.down)
    return false;
  SetDown(state, true);
  state.health.OnOutcome(AttemptOutcome::kNotConnected, now);
  return true;
}

void ServerPool::OnUp(const ServerStart& server, TimePoint now) {
  const auto found = states_.find(server);
  if (found == states_.end() || !found->second.down)
    return;
  SetDown(found->second, false);
  found->second.health.EndEjection(now);
}

std::optional<ServerRecord> ServerPool::OnReportedDown(
    const ServerStart& server,
    TimePoint now) {
  const ServerDirectory::Entry* entry = directory_.Find(server.id);
  if (entry == nullptr || StartOf(entry->record) != server)
    return std::nullopt;
  State& state = states_[server];
  // A report is repeated as long as the server is down there.
  if (state.down || now < state.doubted_until)
    return std::nullopt;
  state.doubted_until = now + kDoubtTime;
  return entry->record;
}

std::vector<ServerRecord> ServerPool::Down() const {
  std::vector<ServerRecord> servers;
  for (const auto& [start, state] : states_) {
    if (!state.down)
      continue;
    const ServerDirectory::Entry* entry = directory_.Find(start.id);
    if (entry != nullptr && StartOf(entry->record) == start &&
        entry->record.state == ServerState::kReady) {
      servers.push_back(entry->record);
    }
  }
  return servers;
}

bool ServerPool::IsDown(const ServerRecord& record) const {
  const auto found = states_.find(StartOf(record));
  return found != states_.end() && found->second.down;
}

bool ServerPool::SeemsCutOff() const {
  bool any = false;
  for (const auto& [id, entry] : directory_.entries()) {
    const ServerRecord& it = entry.record;
    if (it.data_centre == own_ || it.state != ServerState::kReady)
      continue;
    if (!IsDown(it))
      return false;
    any = true;
  }
  return any;
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

}  // namespace briarlead
