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

void RetryBudget::OnPeerUsage(const HostId& host,
                              std::span<const RetryUsage> usages,
                              TimePoint now) {
  std::erase_if(peers_, [&](const auto& it) {
    return now - it.second.last_heard >=
           limits_.window + limits_.window / kBuckets;
  });
  Peer& peer = peers_[host];
  peer.last_heard = now;
  peer.usages.clear();
  for (const RetryUsage& it : usages)
    peer.usages[it.service] = it;
}

void RetryBudget::OnRequest(const ServiceId& service, TimePoint now) {
  ++BucketAt(services_[service], now).requests;
}

double RetryBudget::LocalAllowance(std::uint32_t requests) const {
  return kUsableShare *
         (limits_.ratio * requests + kLocalShare * limits_.slack / host_count_);
}

double RetryBudget::SharedPartUsed(const RetryUsage& usage) const {
  return std::max(0.0, usage.retries - LocalAllowance(usage.requests));
}

double RetryBudget::Available(const RetryUsage& local, TimePoint now) const {
  const double shared = kUsableShare * (1 - kLocalShare) * limits_.slack;
  double used_by_reachable = SharedPartUsed(local);
  double used_by_unreachable = 0;
  std::uint32_t reachable = 1;
  for (const auto& [host, peer] : peers_) {
    const bool is_reachable = now - peer.last_heard < kPeerTimeout;
    reachable += is_reachable ? 1 : 0;
    const auto found = peer.usages.find(local.service);
    if (found == peer.usages.end())
      continue;
    (is_reachable ? used_by_reachable : used_by_unreachable) +=
        SharedPartUsed(found->second);
  }
  const double hosts = std::max(host_count_, reachable);
  // Hosts beyond a network partition use their portion without reporting it.
  const double reachable_part =
      std::min(shared * reachable / hosts, shared - used_by_unreachable);
  const double rest = (reachable_part - used_by_reachable) / reachable;
  const double local_left =
      std::max(0.0, LocalAllowance(local.requests) - local.retries);
  return local_left + std::max(0.0, rest);
}

void RetryBudget::DropPropagated(LocalUsage& usage, TimePoint now) const {
  // A host whose report came in long enough after a retry knows of that retry.
  // One that has not reported since may be partitioned and may spend the same
  // part of the budget again.
  TimePoint heard_from_all = now;
  for (const auto& [host, peer] : peers_) {
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
  counts_.made += count;
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
  counts_.made -= count;
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
