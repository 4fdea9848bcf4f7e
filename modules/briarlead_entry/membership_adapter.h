#ifndef BRIARLEAD_ENTRY_MEMBERSHIP_ADAPTER_H_
#define BRIARLEAD_ENTRY_MEMBERSHIP_ADAPTER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string_view>

#include "briarlead_core/time.h"
#include "briarlead_dispatch/briarlead_dispatch.h"
#include "briarlead_entry/entry_context.h"
#include "briarlead_membership/briarlead_membership.h"
#include "briarlead_net/peer_transport.h"

namespace briarlead {

/// Connects the membership controller to the network and tells the other
/// components of the process about changes.
class MembershipAdapter {
 public:
  /// Called when the membership changed.
  struct Handlers {
    /// The hosts that may own shards changed.
    std::function<void(TimePoint now)> on_hosts_changed;
    /// A backend server was added, left, became silent or came back.
    std::function<void(TimePoint now)> on_servers_changed;
    /// Every process of `host` up to `incarnation` is dead.
    std::function<
        void(const HostId& host, std::uint64_t incarnation, TimePoint now)>
        on_host_dead;
    /// This host had been declared dead: other hosts gave up what it held.
    std::function<void(TimePoint now)> on_self_declared_dead;
  };

  MembershipAdapter(const EntryContext& context,
                    PeerTransport& transport,
                    Handlers handlers);

  /// Handles the announcement that a backend server sent to this host.
  void OnAnnouncement(const BackendServerRecord& server,
                      std::uint64_t sequence,
                      TimePoint now);

  /// Handles the payload of a membership datagram.
  void OnDatagram(std::string_view payload, TimePoint now);

  /// Runs what is due in the membership protocol.
  void Tick(TimePoint now);

  /// Tells all hosts that this one accepts no new requests.
  void StartLeaving(TimePoint now);

  /// Sets the revision of the lists in force on this host, for the gossip.
  void SetListsRevision(std::uint64_t revision);

  /// Sets the summaries of the pool shards that this host owns, for the gossip.
  void SetSummaries(std::span<const ShardSummary> shards);

  /// Returns the incarnation under which other hosts currently know this one.
  [[nodiscard]] std::uint64_t incarnation() const {
    return controller_.incarnation();
  }

 private:
  /// Carries out the commands of the controller and reports changes.
  void RunCommands(TimePoint now);
  void Run(const SendGossip& command, TimePoint now);
  void Run(const HostStateChanged& command, TimePoint now);
  void Run(const BackendServerStateChanged& command, TimePoint now);
  void Run(const OwnIncarnationChanged& command, TimePoint now);

  EntryContext context_;
  PeerTransport& transport_;
  Handlers handlers_;
  MembershipController controller_;
  /// Latest incarnation under which each host was seen alive.
  std::map<HostId, std::uint64_t> incarnations_;
  bool hosts_changed_ = false;
  bool servers_changed_ = false;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ENTRY_MEMBERSHIP_ADAPTER_H_
