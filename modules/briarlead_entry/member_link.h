#ifndef BRIARLEAD_ENTRY_MEMBER_LINK_H_
#define BRIARLEAD_ENTRY_MEMBER_LINK_H_

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

/// Joins the membership controller to the network and tells the other parts of
/// the process what changed.
class MemberLink {
 public:
  struct Handlers {
    /// Hosts that may own shards came or went.
    std::function<void(TimePoint now)> on_hosts_changed;
    /// Backend servers came, left, fell silent or came back.
    std::function<void(TimePoint now)> on_servers_changed;
    /// Every process of the host up to `incarnation` is gone.
    std::function<
        void(const HostId& host, std::uint64_t incarnation, TimePoint now)>
        on_host_dead;
    /// This host had been called dead: others gave up what it held.
    std::function<void(TimePoint now)> on_self_called_dead;
  };

  MemberLink(const EntryContext& context,
             PeerTransport& transport,
             Handlers handlers);

  /// A backend server announced itself to this host.
  void OnAnnouncement(const BackendServerRecord& server,
                      std::uint64_t sequence,
                      TimePoint now);

  /// Takes the payload of a membership datagram.
  void OnDatagram(std::string_view payload, TimePoint now);

  void Tick(TimePoint now);

  /// Says to everyone that this host takes no new work.
  void StartLeaving(TimePoint now);

  /// Sets the revision of the lists that this host serves on.
  void SetListsRevision(std::uint64_t revision);

  /// Sets what this data centre offers, for the others.
  void SetSummaries(std::span<const ShardSummary> shards);

  /// Returns the incarnation under which this host is known now.
  [[nodiscard]] std::uint64_t incarnation() const {
    return controller_.incarnation();
  }

 private:
  void Pump(TimePoint now);
  void Run(const SendGossip& command, TimePoint now);
  void Run(const HostStateChanged& command, TimePoint now);
  void Run(const BackendServerStateChanged& command, TimePoint now);
  void Run(const OwnIncarnationChanged& command, TimePoint now);

  EntryContext context_;
  PeerTransport& transport_;
  Handlers handlers_;
  MembershipController controller_;
  /// Latest incarnation that each host was seen alive under.
  std::map<HostId, std::uint64_t> incarnations_;
  bool hosts_changed_ = false;
  bool servers_changed_ = false;
};

}  // namespace briarlead

#endif  // BRIARLEAD_ENTRY_MEMBER_LINK_H_
