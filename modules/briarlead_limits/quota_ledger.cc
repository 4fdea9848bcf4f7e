#include "briarlead_limits/quota_ledger.h"

#include <algorithm>
#include <cmath>

namespace briarlead {

void QuotaLedger::Start(TimePoint now) {
  replies_.clear();
  for (auto& [account, bucket] : buckets_) {
    bucket.amount = 0;
    bucket.filled_at = now;
    bucket.retry_times = RetryTimes();
  }
}

void QuotaLedger::SetAccounts(std::span<const ClientAccount> accounts,
                              TimePoint now) {
  std::map<CustomerId, Bucket> buckets;
  for (const ClientAccount& it : accounts) {
    if (!it.quota.limited())
      continue;
    const auto before = buckets_.find(it.id);
    Bucket bucket;
    bucket.filled_at = now;
    if (before != buckets_.end()) {
      Fill(before->second, now);
      bucket = before->second;
    }
    bucket.quota = it.quota;
    Fill(bucket, now);
    buckets.emplace(it.id, bucket);
  }
  buckets_ = std::move(buckets);
}

void QuotaLedger::Fill(Bucket& bucket, TimePoint now) const {
  if (now >= bucket.large_until)
    bucket.large_amount = 0;
  const double more =
      bucket.quota.rate_per_second * ToSeconds(now - bucket.filled_at);
  bucket.filled_at = now;
  bucket.amount =
      std::min(bucket.amount + more,
               BucketCapacity(bucket.quota, bucket.large_amount, bounds_));
}

QuotaGrantReply::Grant QuotaLedger::Grant(Bucket& bucket,
                                          const QuotaGrantRequest::Want& want,
                                          TimePoint now) const {
  QuotaGrantReply::Grant grant;
  grant.account = want.account;
  std::uint64_t largest = 0;
  for (const std::uint64_t it : want.amounts)
    largest = std::max(largest, it);
  if (static_cast<double>(largest) > bucket.quota.burst) {
    bucket.large_amount = std::max(bucket.large_amount, largest);
    bucket.large_until = now + kLargeRequestTime;
  }
  Fill(bucket, now);
  const double rate = bucket.quota.rate_per_second;
  for (std::size_t i = 0; i < want.amounts.size(); ++i) {
    const auto amount = static_cast<double>(want.amounts[i]);
    if (grant.granted == i && amount <= bucket.amount) {
      bucket.amount -= amount;
      ++grant.granted;
      continue;
    }
    const TimePoint room_at =
        now + FromSeconds(std::max(0.0, amount - bucket.amount) / rate);
    const TimePoint told =
        bucket.retry_times.Tell(room_at, FromSeconds(amount / rate));
    if (grant.granted == i)
      grant.next_in = told - now;
  }
  const double spare = bucket.amount - kAheadShare * bucket.quota.burst;
  if (grant.granted == want.amounts.size() && spare >= 1) {
    grant.ahead =
        std::min(want.ahead, static_cast<std::uint64_t>(std::floor(spare)));
    bucket.amount -= static_cast<double>(grant.ahead);
  }
  return grant;
}

QuotaGrantReply QuotaLedger::OnRequest(const Endpoint& issuer,
                                       const QuotaGrantRequest& request,
                                       TimePoint now) {
  const auto before = replies_.find(issuer);
  if (before != replies_.end() && before->second.number == request.number)
    return before->second;
  QuotaGrantReply reply;
  reply.number = request.number;
  for (const QuotaGrantRequest::Want& it : request.wants) {
    const auto found = buckets_.find(it.account);
    if (found != buckets_.end())
      reply.grants.push_back(Grant(found->second, it, now));
  }
  replies_[issuer] = reply;
  return reply;
}

}  // namespace briarlead
