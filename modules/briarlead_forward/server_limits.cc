#include "briarlead_forward/server_limits.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace briarlead {

namespace {

/// Returns whether `after` differs so much that hosts should learn it at once.
bool IsNews(double before, double after) {
  if (std::isinf(before) || std::isinf(after))
    return before != after;
  return std::abs(after - before) > ServerLimits::kNewsShare * before;
}

}  // namespace

void ServerLimits::OnAnswer(const ServerIncarnation& server,
                            double per_second,
                            TimePoint sent_at,
                            TimePoint now) {
  const auto found = entries_.find(server);
  if (per_second == kNoRateLimit) {
    // The server may have written this answer before it named the limit.
    if (found == entries_.end() || sent_at <= found->second.read_at)
      return;
    if (found->second.per_second == kNoRateLimit)
      return;
  }
  if (Set(server, {per_second, now, true}))
    ++revision_;
}

bool ServerLimits::OnNotice(const ServerLimitNotice& notice, TimePoint now) {
  // Also false for what is no number.
  const bool valid = notice.per_second >= 0 && notice.age >= Duration::zero();
  if (!valid)
    return false;
  const TimePoint read_at = now - notice.age;
  const auto found = entries_.find(notice.server);
  if (found == entries_.end() && notice.per_second == kNoRateLimit)
    return false;
  if (found != entries_.end() && found->second.read_at >= read_at)
    return false;
  return Set(notice.server, {notice.per_second, read_at, false});
}

bool ServerLimits::Set(const ServerIncarnation& server, const Entry& entry) {
  if (entries_.size() >= kMaxServers && !entries_.contains(server)) {
    entries_.erase(std::min_element(
        entries_.begin(), entries_.end(), [](const auto& it, const auto& next) {
          return it.second.read_at < next.second.read_at;
        }));
  }
  const Entry before = std::exchange(entries_[server], entry);
  if (!IsNews(before.per_second, entry.per_second))
    return false;
  events_.push_back(
      {server, entry.per_second, before.per_second, entry.read_here});
  return true;
}

double ServerLimits::LimitOf(const ServerIncarnation& server) const {
  const auto found = entries_.find(server);
  return found == entries_.end() ? kNoRateLimit : found->second.per_second;
}

std::size_t ServerLimits::LimitedCount() const {
  return static_cast<std::size_t>(std::count_if(
      entries_.begin(), entries_.end(),
      [](const auto& it) { return it.second.per_second != kNoRateLimit; }));
}

ServerLimitNotice ServerLimits::NoticeOf(const ServerIncarnation& server,
                                         TimePoint now) const {
  const auto found = entries_.find(server);
  if (found == entries_.end())
    return {server, kNoRateLimit, Duration::zero()};
  return {server, found->second.per_second, now - found->second.read_at};
}

std::vector<ServerLimitNotice> ServerLimits::OwnNotices(TimePoint now) const {
  std::vector<ServerLimitNotice> notices;
  for (const auto& [server, entry] : entries_) {
    if (entry.read_here)
      notices.push_back({server, entry.per_second, now - entry.read_at});
  }
  return notices;
}

std::vector<ServerLimitNotice> ServerLimits::Limits(TimePoint now) const {
  std::vector<ServerLimitNotice> notices;
  for (const auto& [server, entry] : entries_) {
    if (entry.per_second != kNoRateLimit)
      notices.push_back({server, entry.per_second, now - entry.read_at});
  }
  return notices;
}

void ServerLimits::Expire(const ServerDirectory& directory, TimePoint now) {
  std::erase_if(entries_, [&](const auto& it) {
    const auto& [server, entry] = it;
    const bool old = now - entry.read_at >= kEndMemory;
    const ServerDirectory::Entry* known = directory.Find(server.id);
    const bool gone = known == nullptr ||
                      IncarnationOf(known->record) != server ||
                      known->record.state == ServerState::kGone;
    return old && (gone || entry.per_second == kNoRateLimit);
  });
}

std::vector<ServerLimitEvent> ServerLimits::TakeEvents() {
  return std::exchange(events_, {});
}

}  // namespace briarlead
