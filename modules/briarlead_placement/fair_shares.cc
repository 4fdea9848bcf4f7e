#include "briarlead_placement/fair_shares.h"

#include <algorithm>
#include <cmath>

namespace briarlead {

namespace {

/// Time without a request after which an account takes no part.
constexpr Duration kIdleTime = 3 * FairShares::kMemory;
/// Least weight, so that no account's share is nought.
constexpr double kMinWeight = 1e-3;

}  // namespace

double FairShares::AmountAt(const Usage& usage, TimePoint now) {
  const double age = ToSeconds(std::max(now - usage.at, Duration::zero()));
  return usage.amount * std::exp(-age / ToSeconds(kMemory));
}

void FairShares::OnServed(const CustomerId& account,
                          double weight,
                          double amount,
                          TimePoint now) {
  Expire(now);
  Usage& usage = usages_.try_emplace(account, Usage{0, 1, now}).first->second;
  usage.amount = AmountAt(usage, now) + amount;
  usage.weight = std::max(weight, kMinWeight);
  usage.at = now;
}

bool FairShares::IsAbove(const CustomerId& account, TimePoint now) const {
  if (refreshed_at_ == TimePoint::min() ||
      now - refreshed_at_ >= kRefreshInterval) {
    Refresh(now);
  }
  return above_.contains(account);
}

void FairShares::Refresh(TimePoint now) const {
  refreshed_at_ = now;
  above_.clear();
  double amounts = 0;
  double weights = 0;
  for (const auto& [id, it] : usages_) {
    amounts += AmountAt(it, now);
    weights += it.weight;
  }
  for (const auto& [id, it] : usages_) {
    const double share = amounts * it.weight / weights;
    if (AmountAt(it, now) > share * (1 + kTolerance))
      above_.insert(id);
  }
}

double FairShares::ShareOf(const CustomerId& account, double weight) const {
  weight = std::max(weight, kMinWeight);
  double weights = weight;
  for (const auto& [id, it] : usages_)
    weights += id == account ? 0 : it.weight;
  return weight / weights;
}

void FairShares::Expire(TimePoint now) {
  if (now < next_expiry_)
    return;
  next_expiry_ = now + kMemory;
  std::erase_if(usages_, [now](const auto& it) {
    return now - it.second.at >= kIdleTime;
  });
}

}  // namespace briarlead
