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

/// A message to the owner of a pool shard.
struct OwnerMessage {
  HostId owner;
  DispatchMessage message;
  /// The address of an owner in another data centre; not set for an owner in
  /// this one.
  std::optional<Endpoint> remote;
};

/// A request whose shard has no owner; it is refused.
struct OwnerlessRequest {
  RequestId request;
};

/// The placement requests and running attempts of this entry host. Knows which
/// host owns each pool shard and tells a new owner about the requests of its
/// shard. Does no I/O.
///
/// The owner changes when hosts join, leave or die. All requests in progress
/// are then registered with the new owner, so hosts don't need to agree on the
/// owner: even with two owners for a moment, the engines' own limits bound the
/// harm.
class PlacementClient {
 public:
  /// Requests a placement from the owner of the shard of `placement`. Replaces
  /// the earlier placement request of the same request, if there is one.
  void RequestPlacement(const PlacementRequest& placement, TimePoint now);

  /// Requests a placement from `remote`, the owner of a shard in another data
  /// centre, instead.
  void RequestRemotePlacement(const PlacementRequest& placement,
                              const ShardOwnerAddress& remote,
                              TimePoint now);

  /// Handles a grant of an owner; `remote` is the address of an owner in
  /// another data centre. Returns false when the grant must not be used: the
  /// request has ended, another owner was asked since, or the grant is not
  /// newer than one that was accepted. In the first two cases, a remote owner
  /// is told to cancel the request.
  bool OnGrant(const PlacementGrant& grant,
               const std::optional<Endpoint>& remote);

  /// Returns the placement request of `id` with its waiting time as of `now`;
  /// nullopt unless it waits for a placement.
  [[nodiscard]] std::optional<PlacementRequest> FindQueued(const RequestId& id,
                                                           TimePoint now) const;

  /// Returns the owner in another data centre that was asked for the placement;
  /// null when the request belongs to a shard of this data centre.
  [[nodiscard]] const ShardOwnerAddress* RemoteOwnerOf(
      const RequestId& id) const;

  /// Returns the placement requests that wait at owners in other data centres
  /// for which `is_lost` returns true, with their waiting time as of `now`.
  [[nodiscard]] std::vector<PlacementRequest> QueuedAtLostOwners(
      const std::function<bool(const ShardOwnerAddress& owner,
                               const ModelId& model)>& is_lost,
      TimePoint now) const;

  /// Sends an event of `request` to the owner of its shard, and updates the
  /// request's stage. Ignored for an unknown request.
  void Report(const RequestId& request, const DispatchMessage& event);

  /// Removes a request that has ended.
  void Forget(const RequestId& request);

  /// Sets the owner of the shard of `model`; nullopt when there is none.
  /// Registers all requests of the shard with a new owner.
  void SetOwner(const ModelId& model,
                const std::optional<HostId>& owner,
                TimePoint now);

  /// Registers all requests of the shards of `owner` with it again; called when
  /// it may have missed messages or given up these requests.
  void ReRegisterWith(const HostId& owner, TimePoint now);

  /// Returns the messages since the last call, in order.
  std::vector<OwnerMessage> TakeMessages();

  /// Returns the requests since the last call whose shard had no owner.
  std::vector<OwnerlessRequest> TakeOwnerless();

  /// Returns the number of requests in progress.
  [[nodiscard]] std::size_t size() const { return requests_.size(); }

 private:
  struct Entry {
    InFlightPlacement in_flight;
    TimePoint requested_at;  ///< When `in_flight.placement.waited` was set.
    /// Output tokens that had been delivered when the placement was requested.
    std::uint32_t delivered_before = 0;
    /// The owner that was asked, when the shard is in another data centre.
    std::optional<ShardOwnerAddress> remote;
  };

  /// Stores the placement request and returns its entry. Cancels the earlier
  /// placement request at its owner when `remote` names another one.
  Entry& UpdateEntry(const PlacementRequest& placement,
                     const std::optional<ShardOwnerAddress>& remote,
                     TimePoint now);
  /// Returns the placement request with its waiting time as of `now`.
  static PlacementRequest RequestAsOf(const Entry& entry, TimePoint now);
  void ReRegister(Entry& entry, const HostId& owner, TimePoint now);
  void SendTo(const Entry& entry, const DispatchMessage& message);
  [[nodiscard]] const HostId* OwnerOf(const ModelId& model) const;

  std::map<ModelId, HostId> owners_;
  std::unordered_map<RequestId, Entry> requests_;
  std::vector<OwnerMessage> messages_;
  std::vector<OwnerlessRequest> ownerless_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ENTRY_PLACEMENT_CLIENT_H_
