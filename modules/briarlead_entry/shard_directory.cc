#include "briarlead_entry/shard_directory.h"

#include <vector>

namespace briarlead {

void ShardDirectory::OnSummary(const ShardSummary& summary,
                               const PeerName& owner,
                               TimePoint now) {
  shards_[{summary.model, summary.data_centre}] = {
      summary,
      {summary.data_centre, owner.host, owner.peers, owner.incarnation},
      now};
}

std::optional<ShardOwnerAddress> ShardDirectory::ChooseRemoteShard(
    const ModelId& model,
    Rank rank,
    const std::optional<DataCentreId>& refused_by,
    RandomSource& random,
    TimePoint now) const {
  std::vector<ShardSummary> summaries;
  std::vector<const Entry*> candidates;
  for (const auto& [key, it] : shards_) {
    if (key.model != model || now - it.last_heard >= kSummaryLifetime)
      continue;
    summaries.push_back(it.summary);
    candidates.push_back(&it);
  }
  const std::optional<std::size_t> chosen =
      ShardChooser::Choose(summaries, home_, rank, refused_by, random);
  if (!chosen.has_value() || candidates[*chosen]->owner.data_centre == home_)
    return std::nullopt;
  return candidates[*chosen]->owner;
}

bool ShardDirectory::StillOwns(const ShardOwnerAddress& owner,
                               const ModelId& model,
                               TimePoint now) const {
  const auto it = shards_.find({model, owner.data_centre});
  return it != shards_.end() && it->second.owner == owner &&
         now - it->second.last_heard < kSummaryLifetime;
}

}  // namespace briarlead
