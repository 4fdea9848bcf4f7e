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

/// Where the owner of a shard is reached.
struct ShardOwnerAddress {
  DataCentreId data_centre;
  HostId host;
  Endpoint peers;
  std::uint64_t incarnation = 0;  ///< Of the owner's process.

  friend bool operator==(const ShardOwnerAddress&,
                         const ShardOwnerAddress&) = default;
};

/// The shards of every data centre as their owners described them lately.
/// Summaries that are not renewed are forgotten, so that a data centre that is
/// cut off is left alone. Does no I/O.
class ShardDirectory {
 public:
  /// How often an owner describes its shards.
  static constexpr Duration kSummaryInterval = std::chrono::milliseconds(200);
  /// Age at which a summary is no longer believed.
  static constexpr Duration kSummaryLife = std::chrono::seconds(1);

  /// @param home this host's own data centre
  explicit ShardDirectory(DataCentreId home) : home_(std::move(home)) {}

  /// Takes a summary from the shard's owner.
  void OnSummary(const ShardSummary& summary,
                 const PeerName& owner,
                 TimePoint now);

  /// Chooses the shard of another data centre that a request for `model` goes
  /// to; nullopt when it stays at home, or, after a refusal by `tried`, when
  /// no other shard has a shorter wait.
  std::optional<ShardOwnerAddress> ChooseElsewhere(
      const ModelId& model,
      Rank rank,
      const std::optional<DataCentreId>& tried,
      RandomSource& random,
      TimePoint now) const;

  /// Returns whether `owner` described its shard of `model` lately and no
  /// other process did since: if not, what waits there may be lost.
  [[nodiscard]] bool StillOwns(const ShardOwnerAddress& owner,
                               const ModelId& model,
                               TimePoint now) const;

 private:
  struct Known {
    ShardSummary summary;
    ShardOwnerAddress owner;
    TimePoint heard;
  };
  struct ShardKey {
    ModelId model;
    DataCentreId data_centre;

    friend auto operator<=>(const ShardKey&, const ShardKey&) = default;
  };

  DataCentreId home_;
  std::map<ShardKey, Known> shards_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ENTRY_SHARD_DIRECTORY_H_
