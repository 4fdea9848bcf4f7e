#include "briarlead_registry/stream_origin_table.h"

#include <algorithm>

namespace briarlead {

void StreamOriginTable::OnReport(const StreamOriginReport& report,
                                 TimePoint now) {
  for (const StreamOriginReport::Group& group : report.groups) {
    const std::uint32_t version = IndexOf(group.origin);
    for (const StreamId it : group.streams) {
      streams_[it.value] = {version, now};
      reported_.push_back({it.value, now});
    }
  }
  while (reported_.size() > max_reports_)
    RemoveOldest();
}

StreamOriginReply StreamOriginTable::OnQuery(const StreamOriginQuery& query,
                                             TimePoint now) const {
  const auto found = streams_.find(query.stream.value);
  if (found == streams_.end() || now - found->second.told_at >= kLife)
    return {query.stream, std::nullopt};
  return {query.stream, versions_[found->second.version]};
}

void StreamOriginTable::Expire(TimePoint now) {
  while (!reported_.empty() && now - reported_.front().told_at >= kLife)
    RemoveOldest();
  if (streams_.empty())
    versions_.clear();
}

std::uint32_t StreamOriginTable::IndexOf(const ServiceVersion& version) {
  const auto found = std::find(versions_.begin(), versions_.end(), version);
  if (found == versions_.end()) {
    versions_.push_back(version);
    return static_cast<std::uint32_t>(versions_.size() - 1);
  }
  return static_cast<std::uint32_t>(found - versions_.begin());
}

void StreamOriginTable::RemoveOldest() {
  const Reported& oldest = reported_.front();
  const auto found = streams_.find(oldest.stream);
  // A stream that was told again stays until its last report is the oldest.
  if (found != streams_.end() && found->second.told_at == oldest.told_at)
    streams_.erase(found);
  reported_.pop_front();
}

}  // namespace briarlead
