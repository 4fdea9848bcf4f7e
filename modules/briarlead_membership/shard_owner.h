#ifndef BRIARLEAD_MEMBERSHIP_SHARD_OWNER_H_
#define BRIARLEAD_MEMBERSHIP_SHARD_OWNER_H_

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

#include "briarlead_blackboard/host_table.h"
#include "briarlead_core/identifiers.h"

namespace briarlead {

/// Assigns pool shards to hosts by rendezvous hashing over the hosts of a data
/// centre that are alive or suspect, and not leaving. A suspect host keeps its
/// shards, so that a lost probe moves none. When a host leaves or dies, only
/// its own shards move, each to the next host in the shard's rendezvous order.
class ShardOwner {
 public:
  /// Returns the owner of the shard of `model` in `data_centre`; nullopt when
  /// no host of the data centre is eligible.
  static std::optional<HostId> OwnerOf(const DataCentreId& data_centre,
                                       const ModelId& model,
                                       const HostTable& hosts);

  /// Returns at most `count` eligible hosts in the rendezvous order of the
  /// shard of `model`, its owner first.
  static std::vector<HostId> RankHosts(const DataCentreId& data_centre,
                                       const ModelId& model,
                                       const HostTable& hosts,
                                       std::size_t count);

  /// As RankHosts(), for an arbitrary `key` instead of a model.
  static std::vector<HostId> RankHostsByKey(const DataCentreId& data_centre,
                                            std::string_view key,
                                            const HostTable& hosts,
                                            std::size_t count);
};

}  // namespace briarlead

#endif  // BRIARLEAD_MEMBERSHIP_SHARD_OWNER_H_
