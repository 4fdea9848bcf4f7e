#include "briarlead_forward/retry_budget.h"

#include <algorithm>

namespace briarlead {

std::int64_t RetryBudget::BucketNumber(TimePoint now) const {
  return now.time_since_epoch().count() /
         (limits_.window.count() / static_cast<std::int64_t>(kBuckets));
}

RetryBudget::Bucket& RetryBudget::BucketAt(LocalUsage& usage,
                                           TimePoint now) const {
  const std::int64_t number = BucketNumber(now);
  Bucket& bucket =
      usage.buckets[static_cast<std::size_t>(number) % usage.buckets.size()];
  if (bucket.number != number)
    bucket = {number, 0, 0};
  return bucket;
}

RetryUsage RetryBudget::SumOf(const ServiceId& service,
                              const LocalUsage& usage,
                              TimePoint now) const {
  const std::int64_t oldest =
      BucketNumber(now) - static_cast<std::int64_t>(kBuckets);
  RetryUsage sum{service, 0, 0};
  for (const Bucket& it : usage.buckets) {
    if (it.number >= oldest)
      sum.retries += it.retries;
    if (it.number > oldest)
      sum.requests += it.requests;
  }
  return sum;
}

void RetryBudget::SetHostCount(std::uint32_t hosts, TimePoint now) {
  if (hosts == 0)
    return;
  if (!hosts_known_since_.has_value())
    hosts_known_since_ = now;
  std::erase_if(former_counts_,
                [now](const FormerCount& it) { return it.valid_until <= now; });
  if (hosts < host_count_)
    former_counts_.push_back({host_count_, now + Memory()});
  host_count_ = hosts;
}

std::uint32_t RetryBudget::HostCount(TimePoint now) const {
  std::uint32_t hosts = host_count_;
  for (const FormerCount& it : former_counts_) {
    if (now < it.valid_until)
      hosts = std::max(hosts, it.hosts);
  }
  return hosts;
}

std::uint32_t RetryBudget::SharingHosts(TimePoint now) const {
  // An earlier process of this host may have used its part until it ended.
  const bool has_part =
      hosts_known_since_.has_value() && now - *hosts_known_since_ >= Memory();
  return has_part ? HostCount(now) : 0;
}

void RetryBudget::OnPeerUsage(const HostId& host,
                              std::uint64_t incarnation,
                              std::span<const RetryUsage> usages,
                              TimePoint now) {
  std::erase_if(peers_, [&](const auto& it) {
    return now - it.second.last_heard >= Memory();
  });
  // The hosts of a large fleet report their load without their usage.
  if (!HostsReport(now))
    return;
  Peer& peer = peers_[{host, incarnation}];
  peer.last_heard = now;
  peer.usages.clear();
  for (const RetryUsage& it : usages)
    peer.usages[it.service] = it;
}

void RetryBudget::OnRequest(const ServiceId& service, TimePoint now) {
  ++BucketAt(services_[service], now).requests;
}

double RetryBudget::Earned(std::uint32_t requests) const {
  return kUsableShare * limits_.ratio * requests;
}

double RetryBudget::LocalAllowance(std::uint32_t requests,
                                   TimePoint now) const {
  const std::uint32_t hosts = std::max(1U, HostCount(now));
  return Earned(requests) + kUsableShare * kLocalShare * limits_.slack / hosts;
}

double RetryBudget::SharedPartUsed(const RetryUsage& usage,
                                   TimePoint now) const {
  return std::max(0.0, usage.retries - LocalAllowance(usage.requests, now));
}

double RetryBudget::Available(const RetryUsage& local, TimePoint now) const {
  const std::uint32_t hosts = SharingHosts(now);
  if (hosts == 0)
    return std::max(0.0, Earned(local.requests) - local.retries);
  if (!HostsReport(now)) {
    const double part =
        Earned(local.requests) + kUsableShare * limits_.slack / hosts;
    return std::max(0.0, part + rounding_ - local.retries);
  }
  const double local_left =
      std::max(0.0, LocalAllowance(local.requests, now) - local.retries);
  return local_left + std::max(0.0, SharedRest(local, now));
}

double RetryBudget::SharedRest(const RetryUsage& local, TimePoint now) const {
  const double shared = kUsableShare * (1 - kLocalShare) * limits_.slack;
  double used_by_reachable = SharedPartUsed(local, now);
  double used_by_unreachable = 0;
  std::uint32_t reachable = 1;
  for (const auto& [process, peer] : peers_) {
    const bool is_reachable = now - peer.last_heard < kPeerTimeout;
    reachable += is_reachable ? 1 : 0;
    const auto found = peer.usages.find(local.service);
    if (found == peer.usages.end())
      continue;
    (is_reachable ? used_by_reachable : used_by_unreachable) +=
        SharedPartUsed(found->second, now);
  }
  const double hosts = std::max(HostCount(now), reachable);
  // Hosts beyond a network partition use their portion without reporting it.
  const double reachable_part =
      std::min(shared * reachable / hosts, shared - used_by_unreachable);
  return (reachable_part - used_by_reachable) / reachable;
}

void RetryBudget::DropPropagated(LocalUsage& usage, TimePoint now) const {
  // A host whose report came in long enough after a retry knows of that retry.
  // One that has not reported since may be partitioned and may spend the same
  // part of the budget again.
  TimePoint heard_from_all = now;
  for (const auto& [process, peer] : peers_) {
    if (now - peer.last_heard < kPeerTimeout)
      heard_from_all = std::min(heard_from_all, peer.last_heard);
  }
  while (!usage.unconfirmed_retries.empty() &&
         usage.unconfirmed_retries.front() + kPropagationTime <=
             heard_from_all) {
    usage.unconfirmed_retries.pop_front();
  }
}

bool RetryBudget::TryAcquire(const ServiceId& service,
                             unsigned count,
                             TimePoint now) {
  LocalUsage& usage = services_[service];
  DropPropagated(usage, now);
  const auto unconfirmed =
      static_cast<unsigned>(usage.unconfirmed_retries.size());
  RetryUsage known = SumOf(service, usage, now);
  known.retries -= std::min(known.retries, unconfirmed);
  if (unconfirmed + count > Available(known, now)) {
    counts_.refused += count;
    return false;
  }
  AddRetries(service, count, now);
  return true;
}

void RetryBudget::Charge(const ServiceId& service, TimePoint now) {
  ++counts_.beyond_budget;
  AddRetries(service, 1, now);
}

void RetryBudget::AddRetries(const ServiceId& service,
                             unsigned count,
                             TimePoint now) {
  LocalUsage& usage = services_[service];
  BucketAt(usage, now).retries += count;
  usage.unconfirmed_retries.insert(usage.unconfirmed_retries.end(), count, now);
  counts_.taken += count;
  ++local_revision_;
}

void RetryBudget::Release(const ServiceId& service,
                          unsigned count,
                          TimePoint now) {
  if (count == 0)
    return;
  LocalUsage& usage = services_[service];
  Bucket& bucket = BucketAt(usage, now);
  bucket.retries -= std::min(bucket.retries, count);
  for (unsigned i = 0; i < count && !usage.unconfirmed_retries.empty(); ++i)
    usage.unconfirmed_retries.pop_back();
  ++local_revision_;
}

std::vector<RetryUsage> RetryBudget::Usage(TimePoint now) const {
  std::vector<RetryUsage> usages;
  for (const auto& [service, usage] : services_) {
    const RetryUsage sum = SumOf(service, usage, now);
    if (sum.requests > 0 || sum.retries > 0)
      usages.push_back(sum);
  }
  return usages;
}

}  // namespace briarlead
