#ifndef BRIARLEAD_MEMBERSHIP_SHARD_OWNER_H_
#define BRIARLEAD_MEMBERSHIP_SHARD_OWNER_H_

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

#include "briarlead_blackboard/host_table.h"
#include "briarlead_core/identifiers.h"

namespace briarlead {

/// Names the hosts that own pool shards, by rendezvous hashing over the hosts
/// of a data centre that are alive or suspect and not leaving. A suspect host
/// keeps its shards, so that a lost probe moves nothing. When a host goes, only
/// what it owned moves, and each to the next in its order.
class ShardOwner {
 public:
  /// Returns the owner of the shard of `model` in `data_centre`; nullopt when
  /// no host there can own one.
  static std::optional<HostId> OwnerOf(const DataCentreId& data_centre,
                                       const ModelId& model,
                                       const HostTable& hosts);

  /// Returns the owner and those that follow it, at most `count` hosts.
  static std::vector<HostId> InOrder(const DataCentreId& data_centre,
                                     const ModelId& model,
                                     const HostTable& hosts,
                                     std::size_t count);

  /// Returns at most `count` hosts of `data_centre` in the order of any `key`.
  static std::vector<HostId> InOrderOfKey(const DataCentreId& data_centre,
                                          std::string_view key,
                                          const HostTable& hosts,
                                          std::size_t count);
};

}  // namespace briarlead

#endif  // BRIARLEAD_MEMBERSHIP_SHARD_OWNER_H_
