#include "briarlead_forward/crash_suspects.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/container_hash/hash.hpp>
#include <utility>

#include "briarlead_forward/host_ranking.h"

namespace briarlead {

namespace {

std::uint64_t HashOf(const ServerIncarnation& server) {
  std::size_t hash = 0;
  boost::hash_combine(hash, server.id.value());
  boost::hash_combine(hash, server.born_ms);
  return hash;
}

/// Removes the entry of `map` for which `rank_of` is least.
template <typename Map, typename RankOf>
void EraseLeast(Map& map, const RankOf& rank_of) {
  const auto least = std::min_element(
      map.begin(), map.end(), [&](const auto& left, const auto& right) {
        return rank_of(left.second) < rank_of(right.second);
      });
  map.erase(least);
}

/// Appends the latest of `crashes` to a report, as many as it takes to block
/// the suspect: so the report has room for several.
void AppendLatest(std::vector<SuspectCrash>& report,
                  SuspectId id,
                  const std::map<std::uint64_t, TimePoint>& crashes,
                  TimePoint now) {
  std::vector<SuspectCrash> latest;
  latest.reserve(crashes.size());
  for (const auto& [server, at] : crashes)
    latest.push_back({id, server, now - at});
  std::sort(latest.begin(), latest.end(),
            [](const auto& it, const auto& next) { return it.age < next.age; });
  latest.resize(std::min(latest.size(), CrashSuspects::kCrashesToBlock));
  report.insert(report.end(), latest.begin(), latest.end());
}

Duration FirstTrialDelay(SuspectId id, bool is_other_caller) {
  if (!id.is_request())
    return CrashSuspects::kFirstTrialDelay;
  return is_other_caller ? CrashSuspects::kOtherCallerTrialDelay
                         : CrashSuspects::kFirstRequestTrialDelay;
}

std::vector<SuspectId> AllOf(std::span<const SuspectId> parts,
                             const std::optional<RequestNames>& names) {
  std::vector<SuspectId> all(parts.begin(), parts.end());
  if (names.has_value()) {
    const auto of_request = names->All();
    all.insert(all.end(), of_request.begin(), of_request.end());
  }
  return all;
}

Duration TimeSlack(SuspectId id) {
  return id.is_request() ? CrashSuspects::kRequestTimeSlack
                         : CrashSuspects::kTimeSlack;
}

Duration SurvivalMemory(SuspectId id) {
  return id.is_request() ? CrashSuspects::kRequestSurvivalMemory
                         : CrashSuspects::kSurvivalMemory;
}

/// Returns whether `directory` has a server that started later at the address
/// of `server`.
bool IsReplaced(const ServerDirectory& directory,
                const ServerIncarnation& server) {
  const ServerDirectory::Entry* entry = directory.Find(server.id);
  if (entry == nullptr)
    return false;
  return std::any_of(directory.entries().begin(), directory.entries().end(),
                     [&](const auto& it) {
                       const ServerRecord& other = it.second.record;
                       return other.address == entry->record.address &&
                              other.born_ms > server.born_ms;
                     });
}

}  // namespace

void CrashSuspects::SetHosts(std::span<const EntryHost> hosts) {
  hosts_.assign(hosts.begin(), hosts.end());
}

CrashSuspects::Admission CrashSuspects::Admit(
    std::span<const SuspectId> parts,
    const std::optional<RequestNames>& names,
    TimePoint now) {
  const std::vector<SuspectId> blocked = Blocked(parts, names, now);
  const bool is_other_caller =
      names.has_value() && !HasCrashed(names->by_caller, now);
  Admission admission;
  for (const SuspectId& it : blocked) {
    const Duration delay = FirstTrialDelay(it, is_other_caller);
    const TimePoint due = TrialDue(it, suspects_.at(it), delay);
    if (now < due)
      admission.admitted = false;
    admission.retry_after = std::max({admission.retry_after, due - now, delay});
  }
  if (blocked.empty())
    return admission;
  // One host tries what is blocked together.
  admission.admitted = admission.admitted && Tries(blocked.front());
  if (!admission.admitted)
    return admission;
  admission.is_trial = true;
  for (const SuspectId& it : blocked)
    suspects_.at(it).last_trial = now;
  return admission;
}

bool CrashSuspects::IsBlocked(std::span<const SuspectId> parts,
                              const std::optional<RequestNames>& names,
                              TimePoint now) const {
  return !Blocked(parts, names, now).empty();
}

std::vector<SuspectId> CrashSuspects::Blocked(
    std::span<const SuspectId> parts,
    const std::optional<RequestNames>& names,
    TimePoint now) const {
  std::vector<SuspectId> suspects = AllOf(parts, names);
  const bool is_repeated = names.has_value() && IsRepeatedByCaller(*names, now);
  std::erase_if(suspects, [&](const SuspectId& it) {
    const bool repeats = is_repeated && it == names->by_caller;
    return !repeats && !IsSuspectBlocked(it, now);
  });
  return suspects;
}

bool CrashSuspects::IsRepeatedByCaller(const RequestNames& names,
                                       TimePoint now) const {
  if (!HasCrashed(names.by_caller, now))
    return false;
  const TimePoint last_crash = suspects_.at(names.by_caller).last_crash;
  const auto blocked_before = [&](SuspectId content) {
    const auto found = suspects_.find(content);
    return found != suspects_.end() && found->second.blocked_at.has_value() &&
           last_crash >= *found->second.blocked_at + kBlockingTime;
  };
  return blocked_before(names.by_target) || blocked_before(names.by_path);
}

bool CrashSuspects::IsSuspectBlocked(SuspectId id, TimePoint now) const {
  const auto found = suspects_.find(id);
  return found != suspects_.end() &&
         found->second.crashes.size() >= CrashesToBlock(id, found->second) &&
         !HasGrace(id, found->second, now);
}

bool CrashSuspects::HasGrace(SuspectId id,
                             const Suspect& suspect,
                             TimePoint now) const {
  const bool was_blocked = id.is_request() && suspect.blocked_at.has_value();
  return !was_blocked && SurvivedLately(id, now);
}

bool CrashSuspects::HasCrashed(SuspectId suspect, TimePoint now) const {
  const auto found = suspects_.find(suspect);
  return found != suspects_.end() && !found->second.crashes.empty() &&
         !SurvivedLately(suspect, now);
}

bool CrashSuspects::SurvivedLately(SuspectId id, TimePoint now) const {
  const auto survivor = survivors_.find(id);
  return survivor != survivors_.end() &&
         now - survivor->second < SurvivalMemory(id);
}

bool CrashSuspects::KnowsRequests() const {
  return KnowsHead({SuspectId::kRequestBit});
}

bool CrashSuspects::KnowsHead(SuspectId head) const {
  // Names of requests are the greatest; those with the same head are adjacent.
  const auto next = suspects_.lower_bound(head);
  if (next == suspects_.end())
    return false;
  return head.value == SuspectId::kRequestBit ||
         (next->first.value & ~SuspectId::kBodyMask) == head.value;
}

TimePoint CrashSuspects::TrialDue(SuspectId id,
                                  const Suspect& suspect,
                                  Duration first_delay) {
  const int factor =
      id.is_request() ? kRequestTrialDelayFactor : kTrialDelayFactor;
  Duration delay = first_delay;
  for (std::size_t n = CrashesSinceBlock(id, suspect); n > 0; --n)
    delay = std::min(delay * factor, kCrashMemory);
  return std::max(suspect.last_crash,
                  suspect.last_trial.value_or(suspect.last_crash)) +
         delay;
}

std::size_t CrashSuspects::CrashesSinceBlock(SuspectId id,
                                             const Suspect& suspect) {
  const auto& crashes = suspect.crashes;
  if (!id.is_request())
    return std::max(crashes.size(), kCrashesToBlock) - kCrashesToBlock;
  return static_cast<std::size_t>(
      std::count_if(crashes.begin(), crashes.end(), [&](const auto& it) {
        return suspect.blocked_at.has_value() &&
               it.second >= *suspect.blocked_at + kBlockingTime;
      }));
}

std::size_t CrashSuspects::CrashesToBlock(SuspectId id,
                                          const Suspect& suspect) {
  return id.is_request() && suspect.blocked_at.has_value() ? 1
                                                           : kCrashesToBlock;
}

bool CrashSuspects::Tries(SuspectId suspect) const {
  const std::string key = fmt::format("suspect {:x}", suspect.value);
  const EntryHost* first =
      HighestRanked(hosts_, key, [](const EntryHost&) { return true; });
  return first == nullptr || first->peers.address == self_;
}

void CrashSuspects::OnBroken(std::span<const SuspectId> parts,
                             const std::optional<RequestNames>& names,
                             const ServerIncarnation& server,
                             TimePoint now) {
  const std::vector<SuspectId> accused = AllOf(parts, names);
  if (accused.empty())
    return;
  Unconfirmed& run = UnconfirmedOf(server);
  run.at = now;
  for (const SuspectId& it : accused) {
    const bool known = std::find(run.accused.begin(), run.accused.end(), it) !=
                       run.accused.end();
    if (!known && run.accused.size() < kMaxSuspects)
      run.accused.push_back(it);
  }
}

CrashSuspects::Unconfirmed& CrashSuspects::UnconfirmedOf(
    const ServerIncarnation& server) {
  const auto found = std::find_if(
      unconfirmed_.begin(), unconfirmed_.end(),
      [&](const auto& it) { return it.server == server && !it.found_up; });
  if (found != unconfirmed_.end())
    return *found;
  if (unconfirmed_.size() >= kMaxUnconfirmed)
    unconfirmed_.erase(unconfirmed_.begin());
  return unconfirmed_.emplace_back(Unconfirmed{server, {}, false, {}});
}

void CrashSuspects::OnServerChecked(const ServerIncarnation& server,
                                    bool up,
                                    TimePoint now) {
  std::erase_if(unconfirmed_, [&](Unconfirmed& it) {
    if (it.server != server)
      return false;
    it.found_up = it.found_up || up;
    // A server that goes down later did not end under these runs.
    const bool ended = !it.found_up && now - it.at < kConfirmationTime;
    if (ended)
      Confirm(it, now);
    return ended;
  });
}

void CrashSuspects::OnDirectoryChanged(const ServerDirectory& directory,
                                       TimePoint now) {
  std::erase_if(unconfirmed_, [&](const Unconfirmed& it) {
    const bool ended =
        now - it.at < kReplacementTime && IsReplaced(directory, it.server);
    if (ended)
      Confirm(it, now);
    return ended;
  });
}

void CrashSuspects::Confirm(const Unconfirmed& run, TimePoint now) {
  for (const SuspectId& it : run.accused)
    AddCrash(it, HashOf(run.server), run.at, now);
  ++revision_;
}

void CrashSuspects::OnSurvived(std::span<const SuspectId> suspects,
                               TimePoint now) {
  for (const SuspectId& it : suspects)
    revision_ += AddSurvival(it, now) ? 1 : 0;
}

void CrashSuspects::AddCrash(SuspectId id,
                             std::uint64_t server,
                             TimePoint at,
                             TimePoint now) {
  if (now - at >= kCrashMemory)
    return;
  Suspect& suspect = suspects_[id];
  suspect.last_crash = std::max(suspect.last_crash, at);
  const auto survivor = survivors_.find(id);
  // The entry stays: whoever reports the crash must learn of the survival.
  if (survivor != survivors_.end() && survivor->second + TimeSlack(id) >= at)
    return;
  if (suspect.crashes.size() >= kMaxCrashesOfSuspect ||
      !suspect.crashes.try_emplace(server, at).second) {
    return;
  }
  const std::size_t crashes = suspect.crashes.size();
  Record(SuspectEvent::Kind::kCrash, id, crashes);
  if (crashes == CrashesToBlock(id, suspect)) {
    suspect.blocked_at = at;
    Record(SuspectEvent::Kind::kBlocked, id, crashes);
  }
  if (suspects_.size() > kMaxSuspects) {
    // A blocked suspect goes last: it ends no servers any more, others may.
    EraseLeast(suspects_, [](const Suspect& it) {
      return std::pair(it.crashes.size() >= kCrashesToBlock, it.last_crash);
    });
  }
}

bool CrashSuspects::AddSurvival(SuspectId id, TimePoint at) {
  TimePoint& survived = survivors_[id];
  survived = std::max(survived, at);
  bool is_news = false;
  const auto found = suspects_.find(id);
  if (found != suspects_.end()) {
    auto& crashes = found->second.crashes;
    const std::size_t needed = CrashesToBlock(id, found->second);
    const bool was_blocked = crashes.size() >= needed;
    const TimePoint answered = at + TimeSlack(id);
    is_news = std::erase_if(crashes, [answered](const auto& it) {
                return it.second <= answered;
              }) > 0;
    if (was_blocked && crashes.size() < needed)
      Record(SuspectEvent::Kind::kCleared, id, crashes.size());
  }
  if (survivors_.size() > kMaxSurvivors)
    EraseLeast(survivors_, [](TimePoint it) { return it; });
  return is_news;
}

void CrashSuspects::Record(SuspectEvent::Kind kind,
                           SuspectId suspect,
                           std::size_t crashes) {
  events_.push_back({kind, suspect, crashes});
  verdict_revision_ += kind == SuspectEvent::Kind::kCrash ? 0 : 1;
}

CrashReport CrashSuspects::Report(TimePoint now) const {
  CrashReport report;
  std::vector<std::pair<std::size_t, SuspectId>> by_crashes;
  for (const auto& [id, suspect] : suspects_) {
    by_crashes.emplace_back(suspect.crashes.size(), id);
    if (SurvivedLately(id, now) &&
        report.survivals.size() < CrashReport::kMaxSurvivals) {
      report.survivals.push_back({id, now - survivors_.at(id)});
    }
  }
  std::sort(by_crashes.rbegin(), by_crashes.rend());
  for (const auto& [n, id] : by_crashes) {
    if (report.crashes.size() + std::min(n, kCrashesToBlock) >
        CrashReport::kMaxCrashes) {
      break;
    }
    AppendLatest(report.crashes, id, suspects_.at(id).crashes, now);
  }
  return report;
}

void CrashSuspects::OnReport(const CrashReport& report, TimePoint now) {
  for (const SuspectSurvival& it : report.survivals)
    AddSurvival(it.suspect, now - it.age);
  for (const SuspectCrash& it : report.crashes)
    AddCrash(it.suspect, it.server, now - it.age, now);
}

void CrashSuspects::Expire(TimePoint now) {
  std::erase_if(unconfirmed_, [now](const auto& it) {
    return now - it.at >= kReplacementTime;
  });
  std::erase_if(survivors_, [now](const auto& it) {
    return now - it.second >= kSurvivalMemory;
  });
  std::erase_if(suspects_, [&](const auto& it) {
    const Suspect& suspect = it.second;
    const bool is_cleared =
        suspect.crashes.empty() && !suspect.blocked_at.has_value();
    const Duration memory = is_cleared ? 2 * kSurvivalMemory : kCrashMemory;
    return now - suspect.last_crash >= memory;
  });
}

std::size_t CrashSuspects::BlockedCount(TimePoint now) const {
  return static_cast<std::size_t>(std::count_if(
      suspects_.begin(), suspects_.end(),
      [&](const auto& it) { return IsSuspectBlocked(it.first, now); }));
}

std::vector<SuspectEvent> CrashSuspects::TakeEvents() {
  return std::exchange(events_, {});
}

}  // namespace briarlead
