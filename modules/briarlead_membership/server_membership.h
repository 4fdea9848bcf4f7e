#ifndef BRIARLEAD_MEMBERSHIP_SERVER_MEMBERSHIP_H_
#define BRIARLEAD_MEMBERSHIP_SERVER_MEMBERSHIP_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "briarlead_blackboard/blackboard.h"
#include "briarlead_core/time.h"
#include "briarlead_membership/dissemination_queue.h"
#include "briarlead_membership/gossip_message.h"
#include "briarlead_membership/membership_command.h"
#include "briarlead_membership/membership_settings.h"

namespace briarlead {

/// The announcements to relay to one host.
struct RelayBatch {
  HostId to;
  std::vector<RelayedAnnouncement> announcements;
};

/// Membership of the backend servers in this host's own data centre. A change
/// of a server is disseminated to every host. Its regular announcements, which
/// only show that it is still running, are relayed to the owner of its shard
/// and to two watchers, the hosts that detect when it falls silent. Servers are
/// grouped by a hash of their id, and the watchers of a group are the first two
/// hosts in its rendezvous order: hosts agree on them without a message, and
/// one of them may fail.
class ServerMembership {
 public:
  /// Fewer groups reduce the number of hosts to which one host relays
  /// announcements; more groups spread the watching over more hosts.
  static constexpr std::size_t kWatchGroups = 8;

  /// The referenced objects must outlive this one.
  ServerMembership(const MembershipSettings& settings,
                   const HostId& self,
                   const DataCentreId& data_centre,
                   Blackboard& blackboard,
                   MembershipCommands& commands);

  [[nodiscard]] DisseminationQueue<BackendServerId>& updates() {
    return updates_;
  }

  /// Handles an announcement that a backend server sent to this host. `version`
  /// increases with each announcement of one incarnation; an older announcement
  /// is ignored.
  void OnAnnouncement(const BackendServerRecord& record,
                      std::uint64_t version,
                      TimePoint now);

  /// Merges an entry that another host sent.
  void Merge(const ServerEntry& entry, TimePoint now);

  /// Merges an announcement that another host relayed.
  void Merge(const RelayedAnnouncement& announcement, TimePoint now);

  /// Handles the timers that are due. `hosts_epoch` is HostMembership::epoch().
  /// @returns the announcements to relay.
  std::vector<RelayBatch> Tick(std::uint64_t hosts_epoch, TimePoint now);

  /// Returns the entry of `id` with its current age, to be put into a message;
  /// an empty entry when the server is not known.
  [[nodiscard]] ServerEntry EntryOf(const BackendServerId& id,
                                    TimePoint now) const;

  /// Returns the hosts that watch `id`, according to the hosts that this host
  /// knows.
  [[nodiscard]] std::span<const HostId> WatchersOf(
      const BackendServerId& id) const;

  /// Returns a digest of all known servers that are not silent.
  [[nodiscard]] ServerDigest Digest(std::uint64_t salt) const;

  /// Returns at most `count` servers of the groups in which `digest` differs
  /// from this host's own, continuing after the last server that the previous
  /// call returned.
  std::vector<BackendServerId> NextDifferingServers(const ServerDigest& digest,
                                                    std::size_t count);

 private:
  struct Tracked {
    ServerEntry entry;
    std::size_t id_hash = 0;
    BackendServerState announced_state = BackendServerState::kServing;
    std::uint64_t last_heard_version = 0;
    TimePoint last_heard;  ///< Time of the latest known announcement.
    TimePoint silent_since;
  };
  /// The hosts that watch the servers of one group.
  struct WatchGroup {
    std::vector<HostId> watchers;
    bool is_watched_here = false;
    TimePoint watched_since;
  };
  struct RecentAnnouncement {
    RelayedAnnouncement announcement;
    TimePoint received_at;
    bool was_relayed = false;
  };

  void Apply(Tracked& tracked,
             const ServerEntry& entry,
             TimePoint last_heard,
             TimePoint now);
  void UpdateLastHeard(Tracked& tracked, std::uint64_t version, TimePoint at);
  void Publish(const Tracked& tracked);
  /// Changes a server that was reported silent back to the state that it last
  /// announced, and disseminates that.
  void RefuteSilence(Tracked& tracked, TimePoint now);
  void UpdateWatchers(TimePoint now);
  const std::optional<HostId>& OwnerOf(const ModelId& model);
  void MarkSilent(TimePoint now);
  void ForgetSilent(TimePoint now);
  std::vector<RelayBatch> CollectRelays(TimePoint now);

  const MembershipSettings& settings_;
  HostId self_;
  DataCentreId data_centre_;
  Blackboard& blackboard_;
  MembershipCommands& commands_;
  std::map<BackendServerId, Tracked> servers_;
  std::map<BackendServerId, RecentAnnouncement> recent_announcements_;
  DisseminationQueue<BackendServerId> updates_;
  BackendServerId sync_position_;
  std::array<WatchGroup, kWatchGroups> watch_groups_;
  std::map<ModelId, std::optional<HostId>> owners_;
  std::uint64_t watchers_epoch_ = 0;  ///< `hosts_epoch` of the two above.
  TimePoint last_tick_;
  TimePoint next_relay_;
  TimePoint next_forget_;
  bool has_ticked_ = false;
};

}  // namespace briarlead

#endif  // BRIARLEAD_MEMBERSHIP_SERVER_MEMBERSHIP_H_
