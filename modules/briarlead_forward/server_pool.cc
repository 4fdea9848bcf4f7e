#include "briarlead_forward/server_pool.h"

#include <algorithm>
#include <utility>

namespace briarlead {

namespace {

/// Time for which the report of another host that a server is down counts; it
/// repeats the report every 300 ms.
constexpr Duration kReportLife = std::chrono::milliseconds(700);
/// Random cost that decides between equal servers.
constexpr double kTieBreakSpread = 0.001;

/// Returns whether the server is ready and what `query` asks for, whatever is
/// known of it otherwise.
bool IsOfKind(const ServerRecord& record, const ServerQuery& query) {
  return record.service == query.service &&
         record.state == ServerState::kReady && record.stage == query.stage &&
         (!query.software.has_value() || record.software == *query.software);
}

}  // namespace

bool ServerPool::Matches(const ServerRecord& record,
                         const ServerQuery& query,
                         TimePoint now) const {
  if (!IsOfKind(record, query))
    return false;
  const ServerIncarnation start = IncarnationOf(record);
  if (std::find(query.excluded.begin(), query.excluded.end(), start) !=
      query.excluded.end()) {
    return false;
  }
  const auto state = states_.find(start);
  if (state == states_.end())
    return true;
  return !state->second.wrong_server && !IsBarred(start, now);
}

ServerPool::Tier ServerPool::TierOf(const ServerDirectory::Entry& entry,
                                    TimePoint now) const {
  const bool silent = now - entry.last_heard >= kSilenceLimit;
  const auto found = states_.find(IncarnationOf(entry.record));
  if (found == states_.end())
    return silent ? Tier::kSuspect : Tier::kHealthy;
  const State& state = found->second;
  const ServerHealth& health = state.health;
  if (state.down) {
    const bool relayed = relays_.CanReach(IncarnationOf(entry.record), now) &&
                         state.relayed_health.Admits(state.in_flight, now);
    return relayed ? Tier::kRelayed : Tier::kEjected;
  }
  if (!health.Admits(state.in_flight, now))
    return health.on_probation() ? Tier::kEjected : Tier::kFull;
  const bool suspected = health.on_probation() || now < state.suspected_until;
  return silent || suspected ? Tier::kSuspect : Tier::kHealthy;
}

std::vector<ServerRecord> ServerPool::Usable(const ServerQuery& query,
                                             TimePoint now) const {
  std::vector<ServerRecord> servers;
  Tier best = Tier::kEjected;
  for (const auto& [id, entry] : directory_.entries()) {
    if (!IsSendable(entry.record, query, now))
      continue;
    if (IsOutOfReach(entry.record, now))
      continue;
    const Tier tier = TierOf(entry, now);
    if (tier < best)
      servers.clear();
    best = std::min(best, tier);
    if (tier == best)
      servers.push_back(entry.record);
  }
  return servers;
}

std::optional<ServerRecord> ServerPool::Choose(const ServerQuery& query,
                                               TimePoint now,
                                               RandomSource& random) const {
  const ServerRecord* best = nullptr;
  std::pair<Tier, double> best_cost;
  for (const auto& [id, entry] : directory_.entries()) {
    if (!IsSendable(entry.record, query, now))
      continue;
    // Where nothing answers, one more connection would only take time.
    if (IsCutOff() && IsOutOfReach(entry.record, now))
      continue;
    const std::pair<Tier, double> cost = CostOf(entry, now, random);
    if (best == nullptr || cost < best_cost) {
      best = &entry.record;
      best_cost = cost;
    }
  }
  if (best == nullptr)
    return std::nullopt;
  return *best;
}

std::pair<ServerPool::Tier, double> ServerPool::CostOf(
    const ServerDirectory::Entry& entry,
    TimePoint now,
    RandomSource& random) const {
  const ServerRecord& record = entry.record;
  const Tier tier = TierOf(entry, now);
  double cost = random.Unit() * kTieBreakSpread;
  if (record.data_centre != local_data_centre_)
    cost += kRemotePenalty;
  if (permits_.IsNeeded(IncarnationOf(record)))
    cost -= kPermitBonus;
  const auto found = states_.find(IncarnationOf(record));
  if (found == states_.end())
    return {tier, cost};
  const State& state = found->second;
  cost += static_cast<double>(state.in_flight) /
          std::max<std::uint32_t>(record.slots, 1);
  const ServerHealth& health = state.down ? state.relayed_health : state.health;
  // Among ejected and full servers, prefer the one that is released first.
  if (tier >= Tier::kFull)
    cost += ToSeconds(health.ejected_until().time_since_epoch());
  return {tier, cost};
}

std::vector<ServerIncarnation> ServerPool::LackingPermit(
    const ServerQuery& query,
    TimePoint now) const {
  std::vector<ServerIncarnation> servers;
  if (!permits_.IsAnyNeeded())
    return servers;
  for (const auto& [id, entry] : directory_.entries()) {
    const ServerIncarnation start = IncarnationOf(entry.record);
    if (!permits_.MaySend(start, now) && !IsOutOfReach(entry.record, now) &&
        Matches(entry.record, query, now)) {
      servers.push_back(start);
    }
  }
  return servers;
}

bool ServerPool::LacksPermit(const ServerQuery& query, TimePoint now) const {
  return !LackingPermit(query, now).empty();
}

std::optional<SendPermit> ServerPool::ClaimPermit(const ServerQuery& query,
                                                  TimePoint latest,
                                                  TimePoint now) {
  std::optional<SendPermit> first;
  for (const ServerIncarnation& it : LackingPermit(query, now)) {
    std::optional<SendPermit> permit = permits_.Claim(it, latest, now);
    if (!permit.has_value())
      continue;
    if (first.has_value() && first->starts_at < permit->starts_at)
      std::swap(first, permit);
    if (first.has_value())
      permits_.Return(*first);
    first = permit;
  }
  return first;
}

std::optional<TimePoint> ServerPool::WantPermit(const ServerQuery& query,
                                                Duration within,
                                                TimePoint now) {
  const std::vector<ServerIncarnation> servers = LackingPermit(query, now);
  if (servers.empty())
    return std::nullopt;
  const auto first = std::min_element(
      servers.begin(), servers.end(), [&](const auto& it, const auto& next) {
        return permits_.EarliestStart(it, now) <
               permits_.EarliestStart(next, now);
      });
  permits_.Want(*first, within, now);
  return permits_.EarliestStart(*first, now);
}

std::optional<ServerRecord> ServerPool::ServerOf(const SendPermit& permit,
                                                 TimePoint now) const {
  const ServerDirectory::Entry* entry = directory_.Find(permit.server.id);
  if (entry == nullptr || IncarnationOf(entry->record) != permit.server ||
      IsOutOfReach(entry->record, now) || !Accepts(entry->record, now)) {
    return std::nullopt;
  }
  return entry->record;
}

bool ServerPool::Accepts(const ServerRecord& server, TimePoint now) const {
  const ServerDirectory::Entry* entry = directory_.Find(server.id);
  return entry != nullptr &&
         IncarnationOf(entry->record) == IncarnationOf(server) &&
         Matches(entry->record, {server.service, server.stage, {}}, now);
}

bool ServerPool::HasReady(const ServerQuery& query) const {
  const auto& entries = directory_.entries();
  return std::any_of(entries.begin(), entries.end(), [&](const auto& it) {
    return IsOfKind(it.second.record, query);
  });
}

void ServerPool::OnSent(const ServerIncarnation& server) {
  ++states_[server].in_flight;
}

bool ServerPool::OnOutcome(const ServerIncarnation& server,
                           AttemptOutcome outcome,
                           SendPath path,
                           TimePoint now) {
  State& state = states_[server];
  if (state.in_flight > 0)
    --state.in_flight;
  if (outcome == AttemptOutcome::kWrongServer)
    state.wrong_server = true;
  if (path == SendPath::kRelayed)
    return state.relayed_health.OnOutcome(outcome, now);
  if (outcome == AttemptOutcome::kNotConnected)
    SetDown(server, state, true);
  else if (outcome == AttemptOutcome::kServed)
    SetDown(server, state, false);
  return state.health.OnOutcome(outcome, now);
}

void ServerPool::SetDown(const ServerIncarnation& server,
                         State& state,
                         bool down) {
  if (state.down == down)
    return;
  state.down = down;
  if (down)
    down_since_contact_.insert(server);
  ++down_revision_;
}

void ServerPool::OnContact(TimePoint now) {
  last_contact_ = now;
  if (IsCutOff())
    ++down_revision_;
  down_since_contact_.clear();
}

bool ServerPool::NeedsRelay(const ServerIncarnation& server) const {
  return IsCutOff() || IsDown(server);
}

bool ServerPool::OnDown(const ServerIncarnation& server, TimePoint now) {
  State& state = states_[server];
  if (state.down)
    return false;
  SetDown(server, state, true);
  state.health.OnOutcome(AttemptOutcome::kNotConnected, now);
  return true;
}

void ServerPool::OnCheckFailed(const ServerIncarnation& server,
                               bool refused,
                               TimePoint now) {
  State& state = states_[server];
  state.failed_check_before = std::exchange(state.last_failed_check, now);
  if (refused)
    state.last_refusal = now;
}

bool ServerPool::IsKnownDown(const ServerIncarnation& server,
                             TimePoint last_heard,
                             TimePoint now) const {
  const auto found = states_.find(server);
  if (found == states_.end() || IsCutOff())
    return false;
  const State& state = found->second;
  // An unset time is less than any other.
  const bool reported =
      state.last_report > last_heard && now - *state.last_report < kReportLife;
  return state.last_refusal > last_heard ||
         state.failed_check_before > last_heard ||
         (reported && state.last_failed_check > last_heard);
}

void ServerPool::OnUp(const ServerIncarnation& server, TimePoint now) {
  const auto found = states_.find(server);
  if (found == states_.end())
    return;
  found->second.last_failed_check.reset();
  found->second.failed_check_before.reset();
  found->second.last_refusal.reset();
  found->second.last_report.reset();
  if (!found->second.down)
    return;
  SetDown(server, found->second, false);
  found->second.health.EndEjection(now);
}

void ServerPool::OnLeaving(const ServerIncarnation& server) {
  State& state = states_[server];
  leaving_revision_ += state.leaving ? 0 : 1;
  state.leaving = true;
  state.told_leaving_here = true;
}

void ServerPool::OnToldLeaving(const ServerIncarnation& server) {
  const ServerDirectory::Entry* entry = directory_.Find(server.id);
  if (entry != nullptr && IncarnationOf(entry->record) == server)
    states_[server].leaving = true;
}

std::vector<ServerIncarnation> ServerPool::LeavingByAnswers() const {
  std::vector<ServerIncarnation> servers;
  for (const auto& [start, state] : states_) {
    const ServerDirectory::Entry* entry = directory_.Find(start.id);
    if (state.told_leaving_here && entry != nullptr &&
        IncarnationOf(entry->record) == start &&
        entry->record.state == ServerState::kReady) {
      servers.push_back(start);
    }
  }
  return servers;
}

void ServerPool::OnPauseWanted(const ServerIncarnation& server,
                               Duration pause,
                               TimePoint now) {
  TimePoint& until = states_[server].paused_until;
  until = std::max(until, now + std::min(pause, kMaxPause));
}

std::optional<TimePoint> ServerPool::PauseEnd(const ServiceId& service,
                                              TimePoint now) const {
  std::optional<TimePoint> first;
  for (const auto& [start, state] : states_) {
    const ServerDirectory::Entry* entry = directory_.Find(start.id);
    if (state.paused_until <= now || state.leaving || entry == nullptr ||
        IncarnationOf(entry->record) != start ||
        entry->record.service != service) {
      continue;
    }
    first = std::min(first.value_or(state.paused_until), state.paused_until);
  }
  return first;
}

bool ServerPool::IsBarred(const ServerIncarnation& server,
                          TimePoint now) const {
  const auto found = states_.find(server);
  return found != states_.end() &&
         (found->second.leaving || now < found->second.paused_until);
}

std::vector<ServerIncarnation> ServerPool::Barred(TimePoint now) const {
  std::vector<ServerIncarnation> barred;
  for (const auto& [start, state] : states_) {
    if (IsBarred(start, now))
      barred.push_back(start);
  }
  return barred;
}

std::optional<ServerRecord> ServerPool::OnReportedDown(
    const ServerIncarnation& server,
    TimePoint now) {
  const ServerDirectory::Entry* entry = directory_.Find(server.id);
  if (entry == nullptr || IncarnationOf(entry->record) != server)
    return std::nullopt;
  State& state = states_[server];
  state.last_report = now;
  // The other host repeats its report for as long as it sees the server down.
  if (state.down || now < state.suspected_until)
    return std::nullopt;
  state.suspected_until = now + kSuspicionTime;
  return entry->record;
}

std::vector<ServerRecord> ServerPool::Down() const {
  std::vector<ServerRecord> servers;
  for (const auto& [start, state] : states_) {
    if (!state.down)
      continue;
    const ServerDirectory::Entry* entry = directory_.Find(start.id);
    if (entry != nullptr && IncarnationOf(entry->record) == start &&
        entry->record.state == ServerState::kReady) {
      servers.push_back(entry->record);
    }
  }
  return servers;
}

bool ServerPool::IsDown(const ServerIncarnation& server) const {
  const auto found = states_.find(server);
  return found != states_.end() && found->second.down;
}

bool ServerPool::IsOutOfReach(const ServerRecord& record, TimePoint now) const {
  const ServerIncarnation start = IncarnationOf(record);
  return IsDown(start) && !relays_.CanReach(start, now);
}

bool ServerPool::SeemsIsolated() const {
  bool any = false;
  for (const auto& [id, entry] : directory_.entries()) {
    const ServerRecord& it = entry.record;
    if (it.data_centre == local_data_centre_ || it.state != ServerState::kReady)
      continue;
    if (!IsDown(IncarnationOf(it)))
      return false;
    any = true;
  }
  return any;
}

std::vector<ServerRecord> ServerPool::OthersInDataCentreOf(
    const ServerRecord& down) const {
  std::vector<ServerRecord> others;
  if (down.data_centre == local_data_centre_)
    return others;
  for (const auto& [id, entry] : directory_.entries()) {
    const ServerRecord& it = entry.record;
    if (it.id != down.id && it.data_centre == down.data_centre &&
        it.state == ServerState::kReady) {
      others.push_back(it);
    }
  }
  return others;
}

std::vector<ServerRecord> ServerPool::Witnesses(
    const ServerRecord& down) const {
  std::vector<ServerRecord> witnesses;
  if (!down_since_contact_.contains(IncarnationOf(down)))
    return witnesses;
  for (const auto& [id, entry] : directory_.entries()) {
    const ServerRecord& it = entry.record;
    if (witnesses.size() < kMaxWitnesses && it.state == ServerState::kReady &&
        !IsDown(IncarnationOf(it))) {
      witnesses.push_back(it);
    }
  }
  return witnesses;
}

void ServerPool::RemoveUnknown() {
  std::erase_if(states_, [this](const auto& it) {
    const ServerDirectory::Entry* entry = directory_.Find(it.first.id);
    return it.second.in_flight == 0 &&
           (entry == nullptr || IncarnationOf(entry->record) != it.first);
  });
}

}  // namespace briarlead
