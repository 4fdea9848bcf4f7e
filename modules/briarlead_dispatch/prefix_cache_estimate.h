#ifndef BRIARLEAD_DISPATCH_PREFIX_CACHE_ESTIMATE_H_
#define BRIARLEAD_DISPATCH_PREFIX_CACHE_ESTIMATE_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

#include "briarlead_core/identifiers.h"

namespace briarlead {

/// Estimates which prompt prefixes each prefill engine has cached, from the
/// requests placed there, and corrects the estimate with the engines' cache
/// events, which may be late or missing. Holds a bounded number of blocks per
/// engine and evicts the least recently used ones first.
class PrefixCacheEstimate {
 public:
  /// Number of tokens in a block.
  static constexpr std::uint32_t kBlockTokens = 256;

  explicit PrefixCacheEstimate(std::size_t blocks_per_engine)
      : blocks_per_engine_(blocks_per_engine) {}

  /// `server` processed the blocks, or reported that it has them cached.
  void OnCached(const BackendServerId& server,
                std::span<const std::uint64_t> blocks);

  /// `server` reported that it evicted the blocks.
  void OnEvicted(const BackendServerId& server,
                 std::span<const std::uint64_t> blocks);

  /// `server` restarted with an empty cache.
  void Forget(const BackendServerId& server) { engines_.erase(server); }

  /// Returns the number of tokens in the longest prefix of `blocks` that
  /// `server` is estimated to have cached.
  [[nodiscard]] std::uint32_t CachedTokens(
      const BackendServerId& server,
      std::span<const std::uint64_t> blocks) const;

 private:
  struct Engine {
    std::list<std::uint64_t> by_recency;  ///< Most recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
        blocks;
  };

  std::size_t blocks_per_engine_;
  std::unordered_map<BackendServerId, Engine> engines_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_DISPATCH_PREFIX_CACHE_ESTIMATE_H_
