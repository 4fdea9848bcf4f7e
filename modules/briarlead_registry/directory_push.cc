#include "briarlead_registry/directory_push.h"

#include <algorithm>

namespace briarlead {

void DirectoryPush::OnAnnounced(const BackendServerId& id, bool changed) {
  heard_.insert(id);
  if (changed)
    changed_.insert(id);
}

Duration DirectoryPush::DelayFor(std::size_t entry_host_count,
                                 TimePoint now) const {
  const Duration interval =
      kIntervalPerHost * static_cast<std::int64_t>(entry_host_count);
  return std::max(last_taken_ + interval - now, Duration::zero());
}

DirectoryPush::Changes DirectoryPush::TakeChanges(std::size_t entry_host_count,
                                                  TimePoint now) {
  Changes changes;
  for (const BackendServerId& it : changed_) {
    const ServerDirectory::Entry* entry = directory_.Find(it);
    if (entry != nullptr)
      changes.all.push_back({entry->record, now - entry->last_heard});
  }
  changed_.clear();
  std::stable_partition(changes.all.begin(), changes.all.end(),
                        [](const AnnouncedServer& it) {
                          return it.record.state != ServerState::kReady;
                        });
  tokens_ += kBytesPerSecond * ToSeconds(now - last_taken_);
  tokens_ = std::min(tokens_, kBurstBytes);
  last_taken_ = now;
  const std::size_t cost =
      kServerBytes * std::max<std::size_t>(entry_host_count, 1);
  changes.for_entry_hosts =
      std::min(changes.all.size(),
               static_cast<std::size_t>(tokens_ / static_cast<double>(cost)));
  tokens_ -= static_cast<double>(changes.for_entry_hosts * cost);
  return changes;
}

std::optional<DirectoryUpdate> DirectoryPush::TakeHeard(TimePoint now) {
  if (now - heard_since_ < kHeardInterval)
    return std::nullopt;
  DirectoryUpdate update;
  for (const BackendServerId& it : heard_)
    update.heard.push_back(ShortNameOf(it));
  // The first list covers what was heard since the start.
  const Duration within =
      heard_since_ == TimePoint() ? kHeardInterval : now - heard_since_;
  update.heard_within_ms = static_cast<std::uint32_t>(
      std::chrono::ceil<std::chrono::milliseconds>(within).count());
  heard_since_ = now;
  heard_.clear();
  if (update.heard.empty())
    return std::nullopt;
  return update;
}

}  // namespace briarlead
