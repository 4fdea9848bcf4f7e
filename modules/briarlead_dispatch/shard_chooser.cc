#include "briarlead_dispatch/shard_chooser.h"

#include <algorithm>
#include <chrono>
#include <vector>

namespace briarlead {
namespace {

/// Minimum reduction of the wait for which a request leaves its data centre.
constexpr Duration kMinGainUrgent = std::chrono::milliseconds(50);
constexpr Duration kMinGainPatient = std::chrono::milliseconds(300);

Duration WaitOf(const ShardSummary& shard, Rank rank) {
  return rank == Rank::kUrgent ? shard.expected_urgent_wait
                               : shard.expected_patient_wait;
}

/// Returns whether `a` is expected to serve the request sooner than `b`.
bool IsBetter(const ShardSummary& a, const ShardSummary& b, Rank rank) {
  const Duration wait_a = WaitOf(a, rank);
  const Duration wait_b = WaitOf(b, rank);
  if (wait_a != wait_b)
    return wait_a < wait_b;
  return a.free_decode_slots > b.free_decode_slots;
}

}  // namespace

std::optional<std::size_t> ShardChooser::Choose(
    std::span<const ShardSummary> shards,
    const DataCentreId& home,
    Rank rank,
    const std::optional<DataCentreId>& refused_by,
    RandomSource& random) {
  std::optional<std::size_t> own;
  std::optional<Duration> wait_of_refuser;
  std::vector<std::size_t> others;
  for (std::size_t i = 0; i < shards.size(); ++i) {
    if (shards[i].decode_slots == 0)
      continue;
    if (refused_by && shards[i].data_centre == *refused_by)
      wait_of_refuser = WaitOf(shards[i], rank);
    else if (shards[i].data_centre == home)
      own = i;
    else
      others.push_back(i);
  }
  const Duration min_gain =
      rank == Rank::kUrgent ? kMinGainUrgent : kMinGainPatient;
  const auto is_worth_trying = [&](std::size_t i) {
    return !wait_of_refuser ||
           WaitOf(shards[i], rank) + min_gain < *wait_of_refuser;
  };
  std::optional<std::size_t> best = own;
  if (!others.empty() && (!own || WaitOf(shards[*own], rank) >= min_gain)) {
    std::size_t other = others[random.Below(others.size())];
    const std::size_t second = others[random.Below(others.size())];
    if (IsBetter(shards[second], shards[other], rank))
      other = second;
    if (!own ||
        WaitOf(shards[other], rank) + min_gain <= WaitOf(shards[*own], rank))
      best = other;
  }
  if (best && !is_worth_trying(*best))
    return std::nullopt;
  return best;
}

}  // namespace briarlead
