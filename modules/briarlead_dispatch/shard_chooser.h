#ifndef BRIARLEAD_DISPATCH_SHARD_CHOOSER_H_
#define BRIARLEAD_DISPATCH_SHARD_CHOOSER_H_

#include <cstddef>
#include <optional>
#include <span>

#include "briarlead_core/identifiers.h"
#include "briarlead_core/random_source.h"
#include "briarlead_core/rank.h"
#include "briarlead_dispatch/placement.h"

namespace briarlead {

/// Chooses the data centre whose pool shard a request is sent to: its own
/// while that can take it, else the better of two others by their summaries,
/// which lag; two choices keep the data centres from moving together.
class ShardChooser {
 public:
  /// Returns the index in `shards` of the shard to use, `home` being the data
  /// centre of the entry host. Shards that can't be reached must not
  /// be in `shards`. After a refusal by `tried`, returns a shard only if its
  /// wait is shorter. Returns nullopt when there is none to use.
  [[nodiscard]] static std::optional<std::size_t> Choose(
      std::span<const ShardSummary> shards,
      const DataCentreId& home,
      Rank rank,
      const std::optional<DataCentreId>& tried,
      RandomSource& random);
};

}  // namespace briarlead

#endif  // BRIARLEAD_DISPATCH_SHARD_CHOOSER_H_
