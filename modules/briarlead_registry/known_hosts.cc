#include "briarlead_registry/known_hosts.h"

#include <utility>

namespace briarlead {

bool KnownHosts::OnHeartbeat(const Endpoint& endpoint,
                             const HostHeartbeat& heartbeat,
                             TimePoint now) {
  const auto [it, is_new] = hosts_.try_emplace(endpoint);
  Host& host = it->second;
  const std::uint64_t before = host.heartbeat.routes_version;
  const bool restarted = heartbeat.routes_version < before;
  if (is_new || host.heartbeat.role != heartbeat.role ||
      host.heartbeat.data_centre != heartbeat.data_centre) {
    entry_hosts_changed_ = true;
  }
  host.heartbeat = heartbeat;
  host.last_heard = now;
  if (is_new || heartbeat.routes_version != before)
    host.behind_since = now;
  if (restarted || heartbeat.routes_version >= host.sent_version)
    host.bytes_in_flight = 0;
  if (restarted)
    host.told_revision = 0;
  return is_new;
}

bool KnownHosts::MaySendRoutes(const Endpoint& endpoint,
                               std::uint64_t version,
                               std::size_t bytes,
                               TimePoint now) const {
  const auto found = hosts_.find(endpoint);
  if (found == hosts_.end())
    return false;
  const Host& host = found->second;
  if (host.heartbeat.routes_version >= version)
    return false;
  if (bytes <= kSmallRouteBytes)
    return true;
  const bool is_on_its_way =
      host.bytes_in_flight > 0 && now - host.sent_at < kRoutesResendTime;
  return !is_on_its_way && BytesInFlight(now) + bytes <= kMaxRouteBytesInFlight;
}

std::size_t KnownHosts::BytesInFlight(TimePoint now) const {
  std::size_t bytes = 0;
  for (const auto& [endpoint, host] : hosts_) {
    if (now - host.sent_at < kRoutesResendTime)
      bytes += host.bytes_in_flight;
  }
  return bytes;
}

void KnownHosts::OnRoutesSent(const Endpoint& endpoint,
                              std::uint64_t version,
                              std::size_t bytes,
                              TimePoint now) {
  const auto found = hosts_.find(endpoint);
  if (found == hosts_.end())
    return;
  Host& host = found->second;
  if (bytes <= kSmallRouteBytes)
    return;
  host.sent_version = version;
  host.sent_at = now;
  host.bytes_in_flight = bytes;
}

void KnownHosts::OnLinkFailure(const Endpoint& endpoint) {
  const auto found = hosts_.find(endpoint);
  if (found == hosts_.end())
    return;
  found->second.bytes_in_flight = 0;
  found->second.hosts_sent = 0;
  found->second.told_revision = 0;
}

void KnownHosts::OnCapacity(const Endpoint& endpoint,
                            double weight,
                            TimePoint now) {
  const auto found = hosts_.find(endpoint);
  if (found == hosts_.end() || !(weight > 0))
    return;
  found->second.weight_heard = now;
  if (std::exchange(found->second.weight, weight) != weight)
    ++weights_revision_;
}

std::optional<HostCapacities> KnownHosts::TakeCapacitiesFor(
    const Endpoint& endpoint,
    TimePoint now) {
  const auto found = hosts_.find(endpoint);
  if (found == hosts_.end() || weights_revision_ == 0)
    return std::nullopt;
  Host& receiver = found->second;
  if (receiver.heartbeat.role != HostRole::kEntry)
    return std::nullopt;
  if (receiver.told_revision == weights_revision_ &&
      now - receiver.capacities_told_at < kCapacitiesInterval) {
    return std::nullopt;
  }
  receiver.told_revision = weights_revision_;
  receiver.capacities_told_at = now;
  HostCapacities capacities;
  for (const auto& [peers, host] : hosts_) {
    if (host.heartbeat.role == HostRole::kEntry && host.weight != 1)
      capacities.hosts.push_back({peers, host.weight});
  }
  return capacities;
}

void KnownHosts::OnRoutesChanged(std::uint64_t version, TimePoint now) {
  for (auto& [endpoint, host] : hosts_) {
    if (host.heartbeat.routes_version >= version_in_force_)
      host.behind_since = now;
  }
  version_in_force_ = version;
}

TimePoint KnownHosts::BehindSince(const Endpoint& endpoint,
                                  TimePoint now) const {
  const auto found = hosts_.find(endpoint);
  return found == hosts_.end() ? now : found->second.behind_since;
}

KnownHosts::HostsBehind KnownHosts::FindHostsBehind(TimePoint now) const {
  HostsBehind behind;
  for (const auto& [endpoint, host] : hosts_) {
    if (host.heartbeat.role != HostRole::kEntry ||
        host.heartbeat.routes_version >= version_in_force_) {
      continue;
    }
    ++behind.count;
    if (now - host.behind_since < behind.longest)
      continue;
    behind.slowest = endpoint;
    behind.longest = now - host.behind_since;
  }
  return behind;
}

void KnownHosts::OnDirectoryRequest(const Endpoint& endpoint,
                                    std::uint64_t incarnation,
                                    TimePoint now) {
  const auto found = hosts_.find(endpoint);
  if (found == hosts_.end())
    return;
  Host& host = found->second;
  if (host.requested_by != incarnation) {
    host.hosts_sent_at.reset();
    host.control_hosts_sent_at.reset();
    // What was on its way to the process before is lost.
    host.bytes_in_flight = 0;
  }
  host.requested_by = incarnation;
  host.last_request = now;
}

bool KnownHosts::HasRequested(const Endpoint& endpoint,
                              std::uint64_t incarnation,
                              TimePoint since) const {
  const auto found = hosts_.find(endpoint);
  return found != hosts_.end() && found->second.requested_by == incarnation &&
         found->second.last_request >= since;
}

bool KnownHosts::TakeHostsTurn(const Endpoint& endpoint,
                               bool follows,
                               TimePoint now) {
  const auto found = hosts_.find(endpoint);
  if (found == hosts_.end())
    return false;
  Host& host = found->second;
  const std::uint64_t digest = EntryHostsDigest();
  if (host.heartbeat.hosts_digest == digest)
    return false;
  Duration interval = follows ? kHostsInterval : kStandbyHostsInterval;
  if (host.heartbeat.hosts_digest != 0 && host.hosts_sent == digest)
    interval = kSameHostsInterval;
  else if (EntryHosts().size() <= kSmallHostCount)
    interval = Duration::zero();
  if (host.hosts_sent_at.has_value() && now - *host.hosts_sent_at < interval)
    return false;
  host.hosts_sent_at = now;
  host.hosts_sent = digest;
  return true;
}

bool KnownHosts::TakeControlHostsTurn(const Endpoint& endpoint,
                                      Duration interval,
                                      TimePoint now) {
  const auto found = hosts_.find(endpoint);
  if (found == hosts_.end())
    return false;
  std::optional<TimePoint>& sent_at = found->second.control_hosts_sent_at;
  if (sent_at.has_value() && now - *sent_at < interval)
    return false;
  sent_at = now;
  return true;
}

void KnownHosts::Expire(TimePoint now) {
  for (auto& [endpoint, host] : hosts_) {
    // A host that restarted with weight 1 reports none.
    if (host.weight != 1 && now - host.weight_heard >= kHostTimeout) {
      host.weight = 1;
      ++weights_revision_;
    }
  }
  const std::size_t n = std::erase_if(hosts_, [now](const auto& it) {
    return now - it.second.last_heard >= kHostTimeout;
  });
  entry_hosts_changed_ = entry_hosts_changed_ || n > 0;
}

const std::vector<EntryHost>& KnownHosts::EntryHosts() const {
  UpdateEntryHosts();
  return entry_hosts_;
}

std::uint64_t KnownHosts::EntryHostsDigest() const {
  UpdateEntryHosts();
  return entry_hosts_digest_;
}

void KnownHosts::UpdateEntryHosts() const {
  if (!std::exchange(entry_hosts_changed_, false))
    return;
  entry_hosts_.clear();
  for (const auto& [endpoint, host] : hosts_) {
    if (host.heartbeat.role == HostRole::kEntry)
      entry_hosts_.push_back({endpoint, host.heartbeat.data_centre});
  }
  entry_hosts_digest_ = DigestOf(entry_hosts_);
}

std::vector<Endpoint> KnownHosts::EndpointsWithRole(HostRole role) const {
  std::vector<Endpoint> endpoints;
  for (const auto& [endpoint, host] : hosts_) {
    if (host.heartbeat.role == role)
      endpoints.push_back(endpoint);
  }
  return endpoints;
}

}  // namespace briarlead
