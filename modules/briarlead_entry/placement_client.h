#ifndef BRIARLEAD_ENTRY_PLACEMENT_CLIENT_H_
#define BRIARLEAD_ENTRY_PLACEMENT_CLIENT_H_

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "briarlead_core/identifiers.h"
#include "briarlead_core/request_id.h"
#include "briarlead_core/time.h"
#include "briarlead_dispatch/dispatch_messages.h"
#include "briarlead_dispatch/placement.h"
#include "briarlead_entry/shard_directory.h"

namespace briarlead {

/// A message for the owner of a pool shard.
struct OwnerMessage {
  HostId owner;
  DispatchMessage message;
  /// Set for an owner in another data centre: where it is reached.
  std::optional<Endpoint> remote;
};

/// A request that no owner could be asked for; it gets its final answer.
struct NoOwner {
  RequestId request;
};

/// The entry host's view of its own requests at the dispatchers: which host
/// owns each shard, and what a new owner must be told. Does no I/O.
///
/// Owners change when hosts join, leave or die. Every request under way is
/// then registered with the new owner, so that no agreement is needed on who
/// the owner is: engines bound the harm of two owners for a moment.
class PlacementClient {
 public:
  /// Asks the owner of the shard of `placement` for a placement. `placement`
  /// of a request that is known already replaces what was asked before.
  void Ask(const PlacementRequest& placement, TimePoint now);

  /// Asks the owner `remote` of a shard in another data centre instead.
  void AskElsewhere(const PlacementRequest& placement,
                    const ShardOwnerAddress& remote,
                    TimePoint now);

  /// Takes the grant of an owner: `remote` is where it is reached when it is in
  /// another data centre. Returns false for a grant that must not be used: the
  /// request is gone or was asked elsewhere since, which its owner is told, or
  /// the grant is older than one that was taken.
  bool OnGrant(const PlacementGrant& grant,
               const std::optional<Endpoint>& remote);

  /// Returns the request as it must be asked for at `now`, while it waits for a
  /// placement; nullopt otherwise.
  [[nodiscard]] std::optional<PlacementRequest> FindQueued(const RequestId& id,
                                                           TimePoint now) const;

  /// Returns the data centre that the request was asked for in, if it is
  /// another one.
  [[nodiscard]] const ShardOwnerAddress* RemoteOf(const RequestId& id) const;

  /// Returns the requests that wait for the remote owners that `is_lost` names,
  /// as they must be asked for at `now`.
  [[nodiscard]] std::vector<PlacementRequest> QueuedAt(
      const std::function<bool(const ShardOwnerAddress& owner,
                               const ModelId& model)>& is_lost,
      TimePoint now) const;

  /// Tells the owner of the request's shard an event of the request, and notes
  /// the stage that follows from it. Ignored for an unknown request.
  void Report(const RequestId& request, const DispatchMessage& event);

  /// Forgets a request that has ended.
  void Forget(const RequestId& request);

  /// Sets the owner of the shard of `model`; nullopt when there is none. All
  /// requests of the shard are registered with a new owner.
  void SetOwner(const ModelId& model,
                const std::optional<HostId>& owner,
                TimePoint now);

  /// Messages to `owner` may have been lost: tells it again all that it must
  /// know.
  void OnOwnerUnsure(const HostId& owner, TimePoint now);

  /// Returns the messages since the last call, in order.
  std::vector<OwnerMessage> TakeMessages();

  /// Returns the requests since the last call that found no owner.
  std::vector<NoOwner> TakeOwnerless();

  /// Returns the number of requests under way.
  [[nodiscard]] std::size_t size() const { return requests_.size(); }

 private:
  struct Entry {
    InFlightPlacement in_flight;
    TimePoint asked;  ///< When `in_flight.placement.waited` was right.
    /// Tokens that the caller had when the request was asked for.
    std::uint32_t delivered_when_asked = 0;
    /// Set while the request belongs to a shard in another data centre.
    std::optional<ShardOwnerAddress> remote;
  };

  /// Notes what is asked for, tells a former owner elsewhere that it is over,
  /// and returns the entry.
  Entry& Renew(const PlacementRequest& placement,
               const std::optional<ShardOwnerAddress>& remote,
               TimePoint now);
  /// Returns the request with the time that it has waited until `now`.
  static PlacementRequest AsOf(const Entry& entry, TimePoint now);
  void Register(Entry& entry, const HostId& owner, TimePoint now);
  void SendTo(const Entry& entry, const DispatchMessage& message);
  [[nodiscard]] const HostId* OwnerOf(const ModelId& model) const;

  std::map<ModelId, HostId> owners_;
  std::unordered_map<RequestId, Entry> requests_;
  std::vector<OwnerMessage> messages_;
  std::vector<NoOwner> ownerless_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ENTRY_PLACEMENT_CLIENT_H_
