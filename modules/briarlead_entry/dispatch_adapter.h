#ifndef BRIARLEAD_ENTRY_DISPATCH_ADAPTER_H_
#define BRIARLEAD_ENTRY_DISPATCH_ADAPTER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/random_source.h"
#include "briarlead_core/request_id.h"
#include "briarlead_core/time.h"
#include "briarlead_dispatch/briarlead_dispatch.h"
#include "briarlead_entry/entry_context.h"
#include "briarlead_entry/owned_shards.h"
#include "briarlead_entry/placement_client.h"
#include "briarlead_entry/shard_directory.h"
#include "briarlead_net/peer_transport.h"

namespace briarlead {

/// Connects the placement requests of this entry host and the pool shards that
/// it owns to the other hosts, over the network.
class DispatchAdapter {
 public:
  /// Called with the results of the placement requests of this host.
  struct Handlers {
    std::function<void(const PlacementGrant& grant, TimePoint now)> on_grant;
    std::function<void(const PlacementRefusal& refusal, TimePoint now)>
        on_refusal;
  };

  DispatchAdapter(const EntryContext& context,
                  PeerTransport& transport,
                  Handlers handlers);

  /// Number of shards that are asked during one attempt before the request is
  /// refused.
  static constexpr std::uint32_t kMaxShardsTried = 3;

  /// Requests a placement from the shard of this data centre while that has no
  /// wait, otherwise from one in another data centre that can serve the request
  /// sooner.
  void RequestPlacement(const PlacementRequest& placement, TimePoint now);

  /// Sends an event of `request` to the owner of its shard.
  void Report(const RequestId& request,
              const DispatchMessage& event,
              TimePoint now);

  /// Removes a request that has ended.
  void Forget(const RequestId& request);

  /// Returns the address of a backend server; nullopt when it is unknown.
  [[nodiscard]] std::optional<Endpoint> AddressOf(
      const BackendServerId& server) const;

  /// Handles a dispatch message from the host `sender`.
  void OnMessage(const PeerName& sender,
                 const DispatchMessage& message,
                 TimePoint now);

  /// The link to the process at `peer` failed: messages may have been lost.
  void OnLinkFailure(const Endpoint& peer, TimePoint now);

  /// Registers all requests with the owners of their shards again; called when
  /// the owners may have given up this host's requests.
  void ReRegisterAll(TimePoint now);

  /// Determines the owners of the shards anew; called after a change of the
  /// blackboard's hosts.
  void OnHostsChanged(TimePoint now);

  /// Every process of `host` up to `incarnation` is dead.
  void OnHostDead(const HostId& host, std::uint64_t incarnation, TimePoint now);

  /// Must be called after a change of the blackboard's backend servers.
  void OnServersChanged(TimePoint now);

  /// Handles the list of requests that `engine` reports as held.
  void OnEngineReport(const BackendServerRecord& engine,
                      std::span<const HeldAttempt> held,
                      TimePoint now);

  /// Runs what is due in the owned shards, sends their summaries and requeues
  /// lost requests.
  void Tick(TimePoint now);

  /// Returns when Tick() must next be called; nullopt when nothing is due.
  [[nodiscard]] std::optional<TimePoint> NextWake() const {
    return shards_.NextWake();
  }

  /// Returns a summary of each owned shard.
  [[nodiscard]] std::vector<ShardSummary> Summaries(TimePoint now) const {
    return shards_.Summaries(now);
  }

 private:
  /// Delivers messages and carries out commands until none are left.
  void RunCommands(TimePoint now);
  bool SendToOwners(TimePoint now);
  bool RunShardCommands(TimePoint now);
  void RefuseOwnerless(TimePoint now);
  void SendToHost(const HostId& host, const DispatchMessage& message);
  void Send(const Endpoint& peer, const DispatchMessage& message);
  /// Retries a refused request in another data centre, or passes the refusal
  /// on.
  void HandleRefusal(const PlacementRefusal& refusal, TimePoint now);
  /// Sends a summary of each owned shard to the hosts that may send it
  /// requests.
  void SendSummaries(TimePoint now);
  /// Requests a placement in this data centre for requests that wait at a
  /// remote owner which stopped sending summaries or was replaced.
  void RequeueLost(TimePoint now);
  /// Requests a placement in this data centre for requests that wait at a
  /// remote owner for which `is_lost` returns true.
  void RequeueAtHome(const std::function<bool(const ShardOwnerAddress& owner,
                                              const ModelId& model)>& is_lost,
                     std::string_view reason,
                     TimePoint now);
  void Run(const PlacementGrant& grant, TimePoint now);
  void Run(const PlacementRefusal& refusal, TimePoint now);
  void Run(const CancelOnEngine& command, TimePoint now);
  void AcceptGrant(const PlacementGrant& grant,
                   const std::optional<Endpoint>& remote,
                   TimePoint now);

  EntryContext context_;
  PeerTransport& transport_;
  Handlers handlers_;
  PlacementClient client_;
  OwnedShards shards_;
  ShardDirectory directory_;
  RandomSource random_;
  std::optional<TimePoint> next_summaries_;
  /// Number of shards that were asked during the current attempt of a request.
  std::unordered_map<RequestId, std::uint32_t> shards_tried_;
  /// Addresses of hosts in other data centres that send requests to the shards
  /// owned here.
  std::map<HostId, Endpoint> remote_hosts_;
  /// Addresses of engines in other data centres, from their grants.
  std::map<BackendServerId, Endpoint> remote_servers_;
  bool running_commands_ = false;
  std::uint64_t last_cancel_number_ = 0;
  std::map<std::uint64_t, std::unique_ptr<HttpCall>> cancel_calls_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ENTRY_DISPATCH_ADAPTER_H_
