#include "briarlead_dispatch/prefix_cache_estimate.h"

namespace briarlead {

void PrefixCacheEstimate::OnCached(const BackendServerId& server,
                                   std::span<const std::uint64_t> blocks) {
  if (blocks.empty())
    return;
  Engine& engine = engines_[server];
  for (const std::uint64_t block : blocks) {
    const auto it = engine.blocks.find(block);
    if (it != engine.blocks.end()) {
      engine.by_recency.splice(engine.by_recency.begin(), engine.by_recency,
                               it->second);
      continue;
    }
    engine.by_recency.push_front(block);
    engine.blocks[block] = engine.by_recency.begin();
    if (engine.blocks.size() > blocks_per_engine_) {
      engine.blocks.erase(engine.by_recency.back());
      engine.by_recency.pop_back();
    }
  }
}

void PrefixCacheEstimate::OnEvicted(const BackendServerId& server,
                                    std::span<const std::uint64_t> blocks) {
  const auto found = engines_.find(server);
  if (found == engines_.end())
    return;
  Engine& engine = found->second;
  for (const std::uint64_t block : blocks) {
    const auto it = engine.blocks.find(block);
    if (it == engine.blocks.end())
      continue;
    engine.by_recency.erase(it->second);
    engine.blocks.erase(it);
  }
}

std::uint32_t PrefixCacheEstimate::CachedTokens(
    const BackendServerId& server,
    std::span<const std::uint64_t> blocks) const {
  const auto found = engines_.find(server);
  if (found == engines_.end())
    return 0;
  std::uint32_t tokens = 0;
  for (const std::uint64_t block : blocks) {
    if (!found->second.blocks.contains(block))
      break;
    tokens += kBlockTokens;
  }
  return tokens;
}

}  // namespace briarlead
