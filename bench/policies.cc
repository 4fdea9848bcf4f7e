#include "bench/policies.h"

namespace briarlead::bench {

std::optional<std::size_t> BaselinePolicy::ChooseShard(
    std::span<const ShardSummary> shards,
    const DataCentreId& /*home*/,
    Rank /*rank*/,
    const std::optional<DataCentreId>& tried,
    RandomSource& /*random*/) {
  std::optional<std::size_t> best;
  for (std::size_t n = 0; n < shards.size(); ++n) {
    const std::size_t i = (turn_ + n) % shards.size();
    const bool left_out = tried && shards[i].data_centre == *tried;
    if (left_out || shards[i].decode_slots == 0)
      continue;
    if (best && (way_ == Baseline::kRoundRobin ||
                 shards[i].expected_patient_wait >=
                     shards[*best].expected_patient_wait))
      continue;
    best = i;
  }
  ++turn_;
  return best;
}

}  // namespace briarlead::bench
