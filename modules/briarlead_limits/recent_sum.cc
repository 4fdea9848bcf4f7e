#include "briarlead_limits/recent_sum.h"

namespace briarlead {

void RecentSum::Add(std::uint64_t amount, TimePoint now) {
  if (cells_.empty() || now - cells_.back().began >= kCell)
    cells_.push_back({now, 0, 0});
  cells_.back().sum += static_cast<double>(amount);
  ++cells_.back().count;
  sum_ += static_cast<double>(amount);
  ++count_;
}

void RecentSum::Expire(TimePoint now) {
  while (!cells_.empty() && now - cells_.front().began > window_ + kCell) {
    sum_ -= cells_.front().sum;
    count_ -= cells_.front().count;
    cells_.pop_front();
  }
  if (cells_.empty())
    sum_ = 0;
}

double RecentSum::Sum(TimePoint now) {
  Expire(now);
  return sum_;
}

std::size_t RecentSum::Count(TimePoint now) {
  Expire(now);
  return count_;
}

}  // namespace briarlead
