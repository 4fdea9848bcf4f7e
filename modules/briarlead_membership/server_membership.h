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
#include "briarlead_membership/gossip_message.h"
#include "briarlead_membership/membership_command.h"
#include "briarlead_membership/membership_settings.h"
#include "briarlead_membership/news_queue.h"

namespace briarlead {

/// The announcements to pass on to one host.
struct DueRelay {
  HostId to;
  std::vector<HeardAnnouncement> heard;
};

/// The backend servers of this host's own data centre. Changes of a server go
/// to every host; that it is still there goes only to two hosts that watch it
/// and to the owner of its shard. Servers are put into groups by a hash of
/// their id; the watchers of a group are the first two hosts in its rendezvous
/// order, so that hosts agree on them without a message, and one may fail.
class ServerMembership {
 public:
  /// Few groups keep the number of hosts small to which one host passes
  /// announcements on; many spread the watching.
  static constexpr std::size_t kWatchGroups = 8;

  /// The referenced objects must outlive this one.
  ServerMembership(const MembershipSettings& settings,
                   const HostId& self,
                   const DataCentreId& data_centre,
                   Blackboard& blackboard,
                   MembershipCommands& commands);

  [[nodiscard]] NewsQueue<BackendServerId>& news() { return news_; }

  /// Takes an announcement that a backend server sent to this host. `version`
  /// grows with each announcement of one incarnation; an older one is ignored.
  void OnAnnouncement(const BackendServerRecord& record,
                      std::uint64_t version,
                      TimePoint now);

  /// Takes an entry that another host sent.
  void Merge(const ServerEntry& entry, TimePoint now);

  /// Takes an announcement that another host passed on.
  void Merge(const HeardAnnouncement& heard, TimePoint now);

  /// Works the timers; `hosts_epoch` is HostMembership::epoch().
  /// @returns the announcements to pass on.
  std::vector<DueRelay> Tick(std::uint64_t hosts_epoch, TimePoint now);

  /// Returns the entry of `id` as it goes into a message.
  [[nodiscard]] ServerEntry EntryOf(const BackendServerId& id,
                                    TimePoint now) const;

  /// Returns the hosts that watch `id`, as this host sees it.
  [[nodiscard]] std::span<const HostId> WatchersOf(
      const BackendServerId& id) const;

  [[nodiscard]] ServerDigest Digest(std::uint64_t salt) const;

  /// Returns servers of the groups in which `digest` differs, at most `count`,
  /// going on after those that the last call returned.
  std::vector<BackendServerId> NextDifferent(const ServerDigest& digest,
                                             std::size_t count);

 private:
  struct Tracked {
    ServerEntry entry;
    std::size_t id_hash = 0;
    BackendServerState announced_state = BackendServerState::kServing;
    std::uint64_t heard_version = 0;
    TimePoint heard_at;  ///< Last announcement that this host knows of.
    TimePoint silent_since;
  };
  /// Servers with one hash, and the hosts that watch them.
  struct WatchGroup {
    std::vector<HostId> watchers;
    bool is_watched_here = false;
    TimePoint watched_since;
  };
  struct Heard {
    HeardAnnouncement announcement;
    TimePoint at;
    bool was_passed_on = false;
  };

  void Apply(Tracked& tracked,
             const ServerEntry& entry,
             TimePoint heard_at,
             TimePoint now);
  void NoteHeard(Tracked& tracked, std::uint64_t version, TimePoint at);
  void Publish(const Tracked& tracked);
  /// Says that the server is there after all.
  void Revive(Tracked& tracked, TimePoint now);
  void UpdateWatchers(TimePoint now);
  const std::optional<HostId>& OwnerOf(const ModelId& model);
  void MarkSilent(TimePoint now);
  void Forget(TimePoint now);
  std::vector<DueRelay> Relays(TimePoint now);

  const MembershipSettings& settings_;
  HostId self_;
  DataCentreId data_centre_;
  Blackboard& blackboard_;
  MembershipCommands& commands_;
  std::map<BackendServerId, Tracked> servers_;
  std::map<BackendServerId, Heard> heard_;
  NewsQueue<BackendServerId> news_;
  BackendServerId sync_position_;
  std::array<WatchGroup, kWatchGroups> watch_groups_;
  std::map<ModelId, std::optional<HostId>> owners_;
  std::uint64_t watchers_epoch_ = 0;  ///< Of the hosts that gave the above.
  TimePoint last_tick_;
  TimePoint next_relay_;
  TimePoint next_forget_;
  bool has_ticked_ = false;
};

}  // namespace briarlead

#endif  // BRIARLEAD_MEMBERSHIP_SERVER_MEMBERSHIP_H_
