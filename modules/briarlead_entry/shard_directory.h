#ifndef BRIARLEAD_ENTRY_SHARD_DIRECTORY_H_
#define BRIARLEAD_ENTRY_SHARD_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <optional>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/identifiers.h"
#include "briarlead_core/random_source.h"
#include "briarlead_core/rank.h"
#include "briarlead_core/time.h"
#include "briarlead_dispatch/briarlead_dispatch.h"
#include "briarlead_net/frame_codec.h"

namespace briarlead {

/// The process that owns a pool shard, and its address.
struct ShardOwnerAddress {
  DataCentreId data_centre;
  HostId host;
  Endpoint peers;                 ///< Its port for other hosts.
  std::uint64_t incarnation = 0;  ///< Of the owner's process.

  friend bool operator==(const ShardOwnerAddress&,
                         const ShardOwnerAddress&) = default;
};

/// The latest summary of the pool shards of every data centre, as received from
/// their owners. A summary that is not renewed expires, so that a disconnected
/// data centre is not chosen. Does no I/O.
class ShardDirectory {
 public:
  /// Interval at which an owner sends the summary of a shard.
  static constexpr Duration kSummaryInterval = std::chrono::milliseconds(200);
  /// Age at which a summary expires.
  static constexpr Duration kSummaryLifetime = std::chrono::seconds(1);

  /// @param home the data centre of this host
  explicit ShardDirectory(DataCentreId home) : home_(std::move(home)) {}

  /// Stores a summary that came from the owner of the shard.
  void OnSummary(const ShardSummary& summary,
                 const PeerName& owner,
                 TimePoint now);

  /// Chooses the shard of another data centre to which a request for `model` is
  /// sent. Returns nullopt when the request stays in the home data centre and,
  /// after a refusal by the shard in `refused_by`, when no other shard has a
  /// shorter wait.
  std::optional<ShardOwnerAddress> ChooseRemoteShard(
      const ModelId& model,
      Rank rank,
      const std::optional<DataCentreId>& refused_by,
      RandomSource& random,
      TimePoint now) const;

  /// Returns whether `owner` has sent an unexpired summary of its shard of
  /// `model` and no other process has sent a later one. If not, the requests
  /// queued there may be lost.
  [[nodiscard]] bool StillOwns(const ShardOwnerAddress& owner,
                               const ModelId& model,
                               TimePoint now) const;

 private:
  struct Entry {
    ShardSummary summary;
    ShardOwnerAddress owner;
    TimePoint last_heard;
  };
  struct ShardKey {
    ModelId model;
    DataCentreId data_centre;

    friend auto operator<=>(const ShardKey&, const ShardKey&) = default;
  };

  DataCentreId home_;
  std::map<ShardKey, Entry> shards_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ENTRY_SHARD_DIRECTORY_H_
