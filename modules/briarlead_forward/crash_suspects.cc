#include "briarlead_forward/crash_suspects.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/container_hash/hash.hpp>
#include <utility>

#include "briarlead_forward/host_ranking.h"

namespace briarlead {

namespace {

std::uint64_t HashOf(const ServerIncarnation& engine) {
  std::size_t hash = 0;
  boost::hash_combine(hash, engine.id.value());
  boost::hash_combine(hash, engine.born_ms);
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

}  // namespace

void CrashSuspects::SetHosts(std::span<const EntryHost> hosts) {
  hosts_.assign(hosts.begin(), hosts.end());
}

CrashSuspects::Admission CrashSuspects::Admit(std::span<const SuspectId> parts,
                                              TimePoint now) {
  Admission admission;
  std::vector<Part*> trials;
  for (const SuspectId& it : parts) {
    if (!IsPartBlocked(it, now))
      continue;
    Part& part = parts_.at(it);
    const TimePoint due = TrialDue(part);
    if (now < due || !Tries(it)) {
      admission.admitted = false;
      admission.retry_after =
          std::max({admission.retry_after, due - now, kFirstTrialDelay});
    } else {
      trials.push_back(&part);
    }
  }
  if (!admission.admitted)
    return admission;
  admission.is_trial = !trials.empty();
  for (Part* it : trials)
    it->last_trial = now;
  return admission;
}

bool CrashSuspects::IsBlocked(std::span<const SuspectId> parts,
                              TimePoint now) const {
  return std::any_of(parts.begin(), parts.end(), [&](const SuspectId& it) {
    return IsPartBlocked(it, now);
  });
}

bool CrashSuspects::IsPartBlocked(SuspectId part, TimePoint now) const {
  const auto found = parts_.find(part);
  return found != parts_.end() &&
         found->second.crashes.size() >= kCrashesToBlock &&
         !SurvivedLately(part, now);
}

bool CrashSuspects::SurvivedLately(SuspectId part, TimePoint now) const {
  const auto survivor = survivors_.find(part);
  return survivor != survivors_.end() &&
         now - survivor->second < kSurvivalMemory;
}

TimePoint CrashSuspects::TrialDue(const Part& part) {
  Duration delay = kFirstTrialDelay;
  for (std::size_t n = kCrashesToBlock; n < part.crashes.size(); ++n)
    delay *= kTrialDelayFactor;
  return std::max(part.last_crash, part.last_trial.value_or(part.last_crash)) +
         delay;
}

bool CrashSuspects::Tries(SuspectId part) const {
  const std::string key = fmt::format("part {:x}", part.value);
  const EntryHost* first =
      HighestRanked(hosts_, key, [](const EntryHost&) { return true; });
  return first == nullptr || first->peers.address == self_;
}

void CrashSuspects::OnBroken(std::span<const SuspectId> parts,
                             const ServerIncarnation& engine,
                             TimePoint now) {
  if (parts.empty())
    return;
  Unconfirmed& run = unconfirmed_[engine];
  run.at = now;
  for (const SuspectId& it : parts) {
    const bool known =
        std::find(run.parts.begin(), run.parts.end(), it) != run.parts.end();
    if (!known && run.parts.size() < kMaxSuspects)
      run.parts.push_back(it);
  }
}

void CrashSuspects::OnEngineChecked(const ServerIncarnation& engine,
                                    bool up,
                                    TimePoint now) {
  const auto found = unconfirmed_.find(engine);
  if (found == unconfirmed_.end())
    return;
  const Unconfirmed run = std::move(found->second);
  unconfirmed_.erase(found);
  if (up || now - run.at >= kConfirmationTime)
    return;
  for (const SuspectId& it : run.parts)
    AddCrash(it, HashOf(engine), run.at, now);
  ++revision_;
}

void CrashSuspects::OnSurvived(std::span<const SuspectId> parts,
                               TimePoint now) {
  for (const SuspectId& it : parts)
    revision_ += AddSurvival(it, now) ? 1 : 0;
}

void CrashSuspects::AddCrash(SuspectId id,
                             std::uint64_t engine,
                             TimePoint at,
                             TimePoint now) {
  if (now - at >= kCrashMemory)
    return;
  Part& part = parts_[id];
  part.last_crash = std::max(part.last_crash, at);
  const auto survivor = survivors_.find(id);
  // The entry stays: whoever reports the crash must learn of the survival.
  if (survivor != survivors_.end() && survivor->second + kTimeSlack >= at)
    return;
  if (part.crashes.size() >= kMaxCrashesOfPart ||
      !part.crashes.try_emplace(engine, at).second) {
    return;
  }
  const std::size_t engines = part.crashes.size();
  events_.push_back({SuspectEvent::Kind::kCrash, id, engines});
  if (engines == kCrashesToBlock)
    events_.push_back({SuspectEvent::Kind::kBlocked, id, engines});
  if (parts_.size() > kMaxSuspects) {
    // A blocked part goes last: it ends no engines any more, the others may.
    EraseLeast(parts_, [](const Part& it) {
      return std::pair(it.crashes.size() >= kCrashesToBlock, it.last_crash);
    });
  }
}

bool CrashSuspects::AddSurvival(SuspectId id, TimePoint at) {
  TimePoint& survived = survivors_[id];
  survived = std::max(survived, at);
  bool is_news = false;
  const auto found = parts_.find(id);
  if (found != parts_.end()) {
    auto& crashes = found->second.crashes;
    const bool was_blocked = crashes.size() >= kCrashesToBlock;
    is_news = std::erase_if(crashes, [at](const auto& it) {
                return it.second <= at + kTimeSlack;
              }) > 0;
    if (was_blocked && crashes.size() < kCrashesToBlock)
      events_.push_back({SuspectEvent::Kind::kCleared, id, crashes.size()});
  }
  if (survivors_.size() > kMaxSurvivors)
    EraseLeast(survivors_, [](TimePoint it) { return it; });
  return is_news;
}

CrashReport CrashSuspects::Report(TimePoint now) const {
  CrashReport report;
  std::vector<std::pair<std::size_t, SuspectId>> by_crashes;
  for (const auto& [id, part] : parts_) {
    by_crashes.emplace_back(part.crashes.size(), id);
    if (SurvivedLately(id, now) &&
        report.survivals.size() < CrashReport::kMaxSurvivals) {
      report.survivals.push_back({id, now - survivors_.at(id)});
    }
  }
  std::sort(by_crashes.rbegin(), by_crashes.rend());
  for (const auto& [n, id] : by_crashes) {
    if (report.crashes.size() + n > CrashReport::kMaxCrashes)
      break;
    for (const auto& [engine, at] : parts_.at(id).crashes)
      report.crashes.push_back({id, engine, now - at});
  }
  return report;
}

void CrashSuspects::OnReport(const CrashReport& report, TimePoint now) {
  for (const SuspectSurvival& it : report.survivals)
    AddSurvival(it.part, now - it.age);
  for (const SuspectCrash& it : report.crashes)
    AddCrash(it.part, it.engine, now - it.age, now);
}

void CrashSuspects::Expire(TimePoint now) {
  std::erase_if(unconfirmed_, [now](const auto& it) {
    return now - it.second.at >= kConfirmationTime;
  });
  std::erase_if(survivors_, [now](const auto& it) {
    return now - it.second >= kSurvivalMemory;
  });
  std::erase_if(parts_, [&](const auto& it) {
    const Part& part = it.second;
    const Duration memory =
        part.crashes.empty() ? 2 * kSurvivalMemory : kCrashMemory;
    return now - part.last_crash >= memory;
  });
}

std::size_t CrashSuspects::BlockedCount(TimePoint now) const {
  return static_cast<std::size_t>(std::count_if(
      parts_.begin(), parts_.end(),
      [&](const auto& it) { return IsPartBlocked(it.first, now); }));
}

std::vector<SuspectEvent> CrashSuspects::TakeEvents() {
  return std::exchange(events_, {});
}

}  // namespace briarlead
