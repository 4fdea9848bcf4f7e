#include "briarlead_forward/stream_origins.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "briarlead_core/rendezvous_score.h"

namespace briarlead {

namespace {

/// Adds `stream` to the group of `origin`.
void Add(StreamOriginReport& report,
         const ServiceVersion& origin,
         StreamId stream) {
  const auto found =
      std::find_if(report.groups.begin(), report.groups.end(),
                   [&](const auto& it) { return it.origin == origin; });
  if (found != report.groups.end())
    found->streams.push_back(stream);
  else
    report.groups.push_back({origin, {stream}});
}

}  // namespace

std::vector<Endpoint> HoldersOf(StreamId stream,
                                std::span<const Endpoint> hosts,
                                std::size_t n) {
  const std::string key = fmt::format("{:x}", stream.value);
  std::vector<std::pair<std::uint64_t, Endpoint>> ranked;
  ranked.reserve(hosts.size());
  for (const Endpoint& it : hosts)
    ranked.emplace_back(RendezvousScore(key, it.address), it);
  std::sort(ranked.rbegin(), ranked.rend());
  ranked.resize(std::min(n, ranked.size()));
  std::vector<Endpoint> holders;
  holders.reserve(ranked.size());
  for (auto& [score, host] : ranked)
    holders.push_back(std::move(host));
  return holders;
}

void StreamOrigins::OnBegun(StreamId stream,
                            const ServiceVersion& origin,
                            TimePoint now) {
  Expire(now);
  streams_[stream] = {origin, std::nullopt, std::nullopt};
}

void StreamOrigins::OnEnded(StreamId stream, bool is_complete, TimePoint now) {
  const auto found = streams_.find(stream);
  if (found == streams_.end())
    return;
  if (is_complete)
    streams_.erase(found);
  else
    found->second.ended_at = now;
}

std::optional<ServiceVersion> StreamOrigins::Find(StreamId stream) const {
  const auto found = streams_.find(stream);
  if (found == streams_.end())
    return std::nullopt;
  return found->second.origin;
}

std::optional<SoftwareVersion> StreamOrigins::SoleVersion(
    std::span<const WeightedService> services,
    const ServiceId& service) const {
  if (!is_current_)
    return std::nullopt;
  for (const WeightedService& it : services) {
    if (it.weight > 0 && directory_.VersionsOf(it.service).size() > 1)
      return std::nullopt;
  }
  const std::vector<SoftwareVersion> versions = directory_.VersionsOf(service);
  return versions.size() == 1 ? std::optional(versions.front()) : std::nullopt;
}

std::vector<OutgoingOriginReport> StreamOrigins::TakeReports(
    std::span<const Endpoint> hosts,
    TimePoint now) {
  Expire(now);
  std::vector<OutgoingOriginReport> reports;
  if (hosts.empty() || streams_.empty())
    return reports;
  const std::set<ServiceId>& mixed = MixedServices();
  for (const Endpoint& it : hosts)
    reports.push_back({it, {}});
  std::size_t left = StreamOriginReport::kMaxStreams;
  for (auto& [id, stream] : streams_) {
    const bool is_told =
        stream.told_at.has_value() && (stream.ended_at.has_value() ||
                                       now - *stream.told_at < kRepeatInterval);
    if (is_told || !mixed.contains(stream.origin.service))
      continue;
    if (left-- == 0)
      break;
    stream.told_at = now;
    for (const Endpoint& holder : HoldersOf(id, hosts, kHolders)) {
      const auto report =
          std::find_if(reports.begin(), reports.end(),
                       [&](const auto& it) { return it.host == holder; });
      Add(report->report, stream.origin, id);
    }
  }
  std::erase_if(reports,
                [](const auto& it) { return it.report.groups.empty(); });
  return reports;
}

const std::set<ServiceId>& StreamOrigins::MixedServices() {
  if (mixed_revision_ != directory_.revision()) {
    mixed_services_ = directory_.MixedServices();
    mixed_revision_ = directory_.revision();
  }
  return mixed_services_;
}

void StreamOrigins::OnHolderRestarted() {
  for (auto& [id, stream] : streams_)
    stream.told_at.reset();
}

void StreamOrigins::Expire(TimePoint now) {
  std::erase_if(streams_, [now](const auto& it) {
    const std::optional<TimePoint>& ended = it.second.ended_at;
    return ended.has_value() && now - *ended >= kLife;
  });
}

}  // namespace briarlead
