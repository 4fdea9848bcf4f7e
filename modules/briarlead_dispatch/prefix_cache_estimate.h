#ifndef BRIARLEAD_DISPATCH_PREFIX_CACHE_ESTIMATE_H_
#define BRIARLEAD_DISPATCH_PREFIX_CACHE_ESTIMATE_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <span>
#include <unordered_map>

#include "briarlead_core/identifiers.h"

namespace briarlead {

/// Estimates which prompt prefixes each prefill engine has cached, from what
/// was placed there; cache events of the engines, late and with gaps, correct
/// it. Holds a bounded number of blocks an engine, the oldest leave first.
class PrefixCacheEstimate {
 public:
  /// Tokens that one block stands for.
  static constexpr std::uint32_t kBlockTokens = 256;

  explicit PrefixCacheEstimate(std::size_t blocks_per_engine)
      : blocks_per_engine_(blocks_per_engine) {}

  /// `server` read, or said that it holds, the blocks.
  void OnCached(const BackendServerId& server,
                std::span<const std::uint64_t> blocks);

  /// `server` said that it dropped the blocks.
  void OnEvicted(const BackendServerId& server,
                 std::span<const std::uint64_t> blocks);

  /// `server` began anew, with nothing cached.
  void Forget(const BackendServerId& server) { engines_.erase(server); }

  /// Returns the tokens of the longest prefix that `server` should hold.
  [[nodiscard]] std::uint32_t CachedTokens(
      const BackendServerId& server,
      std::span<const std::uint64_t> blocks) const;

 private:
  struct Engine {
    std::list<std::uint64_t> by_age;  ///< Latest used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
        blocks;
  };

  std::size_t blocks_per_engine_;
  std::unordered_map<BackendServerId, Engine> engines_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_DISPATCH_PREFIX_CACHE_ESTIMATE_H_
