#ifndef BRIARLEAD_ENTRY_DISPATCH_LINK_H_
#define BRIARLEAD_ENTRY_DISPATCH_LINK_H_

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
#include "briarlead_entry/placement_client.h"
#include "briarlead_entry/shard_directory.h"
#include "briarlead_entry/shard_host.h"
#include "briarlead_net/peer_transport.h"

namespace briarlead {

/// Joins the two sides of dispatch in one entry process, its own requests and
/// the shards that it owns, with those of the other hosts of the data centre.
class DispatchLink {
 public:
  /// What the owner of a link is told of its own requests.
  struct Handlers {
    std::function<void(const PlacementGrant& grant, TimePoint now)> on_grant;
    std::function<void(const PlacementRefusal& refusal, TimePoint now)>
        on_refusal;
  };

  DispatchLink(const EntryContext& context,
               PeerTransport& transport,
               Handlers handlers);

  /// Data centres that are asked for one attempt before it is given up.
  static constexpr std::uint32_t kMaxShardsTried = 3;

  /// Asks for a placement: at home while that shard has no wait, else in
  /// another data centre that can take the request sooner.
  void Ask(const PlacementRequest& placement, TimePoint now);

  /// Tells the owner of the request's shard an event of the request.
  void Report(const RequestId& request,
              const DispatchMessage& event,
              TimePoint now);

  /// Forgets a request that has ended.
  void Forget(const RequestId& request);

  /// Returns where a backend server is reached; nullopt for an unknown one.
  [[nodiscard]] std::optional<Endpoint> AddressOf(
      const BackendServerId& server) const;

  /// Handles a dispatch message of the host `sender`.
  void OnMessage(const PeerName& sender,
                 const DispatchMessage& message,
                 TimePoint now);

  /// Messages to the process at `peer` may have been lost.
  void OnLinkFailure(const Endpoint& peer, TimePoint now);

  /// Owners may have given up this host's requests: registers them again.
  void RegisterAll(TimePoint now);

  /// The blackboard's hosts changed: finds the owners of the shards.
  void OnHostsChanged(TimePoint now);

  /// An entry host died, or came back under a later incarnation.
  void OnHostDead(const HostId& host, std::uint64_t incarnation, TimePoint now);

  /// The blackboard's servers changed.
  void OnServersChanged(TimePoint now);

  /// An engine reported what it holds.
  void OnEngineReport(const BackendServerRecord& engine,
                      std::span<const HeldAttempt> held,
                      TimePoint now);

  void Tick(TimePoint now);

  /// Returns when Tick() must next be called; nullopt when nothing is due.
  [[nodiscard]] std::optional<TimePoint> NextWake() const {
    return shards_.NextWake();
  }

  [[nodiscard]] std::vector<ShardSummary> Summaries(TimePoint now) const {
    return shards_.Summaries(now);
  }

 private:
  /// Carries messages and commands until none are left.
  void Pump(TimePoint now);
  bool SendToOwners(TimePoint now);
  bool RunShardCommands(TimePoint now);
  void AnswerOwnerless(TimePoint now);
  void SendToHost(const HostId& host, const DispatchMessage& message);
  void Send(const Endpoint& peer, const DispatchMessage& message);
  void Refuse(const PlacementRefusal& refusal, TimePoint now);
  /// Sends the state of each owned shard to the hosts that may use it.
  void SendSummaries(TimePoint now);
  /// Brings back requests that wait in a data centre that fell silent.
  void BringBackLost(TimePoint now);
  /// Asks at home for requests that wait at an owner elsewhere that is lost.
  void BringBack(const std::function<bool(const ShardOwnerAddress& owner,
                                          const ModelId& model)>& is_lost,
                 std::string_view reason,
                 TimePoint now);
  void Run(const PlacementGrant& grant, TimePoint now);
  void Run(const PlacementRefusal& refusal, TimePoint now);
  void Run(const CancelOnEngine& command, TimePoint now);
  void TakeGrant(const PlacementGrant& grant,
                 const std::optional<Endpoint>& remote,
                 TimePoint now);

  EntryContext context_;
  PeerTransport& transport_;
  Handlers handlers_;
  PlacementClient client_;
  ShardHost shards_;
  ShardDirectory directory_;
  RandomSource random_;
  std::optional<TimePoint> next_summaries_;
  /// Data centres that were asked for the present attempt of a request.
  std::unordered_map<RequestId, std::uint32_t> shards_tried_;
  /// Where hosts of other data centres that use our shards are reached.
  std::map<HostId, Endpoint> remote_hosts_;
  /// Engines of other data centres, learnt from grants.
  std::map<BackendServerId, Endpoint> remote_servers_;
  bool pumping_ = false;
  std::uint64_t last_cancel_ = 0;
  std::map<std::uint64_t, std::unique_ptr<HttpCall>> cancels_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ENTRY_DISPATCH_LINK_H_
