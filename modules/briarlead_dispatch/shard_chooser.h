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

/// Chooses the data centre whose pool shard a request is sent to: the request's
/// own while it can serve the request soon, otherwise the better of two random
/// others by their summaries. Summaries lag; choosing between two random shards
/// keeps all data centres from moving their load to the same one.
class ShardChooser {
 public:
  /// Returns the index in `shards` of the shard to use, or nullopt when there
  /// is none. `home` is the data centre of the entry host. `shards` must
  /// contain reachable shards only. After a refusal by the shard in
  /// `refused_by`, another shard is returned only if its wait is shorter.
  [[nodiscard]] static std::optional<std::size_t> Choose(
      std::span<const ShardSummary> shards,
      const DataCentreId& home,
      Rank rank,
      const std::optional<DataCentreId>& refused_by,
      RandomSource& random);
};

}  // namespace briarlead

#endif  // BRIARLEAD_DISPATCH_SHARD_CHOOSER_H_
