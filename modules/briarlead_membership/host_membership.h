#ifndef BRIARLEAD_MEMBERSHIP_HOST_MEMBERSHIP_H_
#define BRIARLEAD_MEMBERSHIP_HOST_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "briarlead_blackboard/host_table.h"
#include "briarlead_core/random_source.h"
#include "briarlead_core/time.h"
#include "briarlead_membership/dissemination_queue.h"
#include "briarlead_membership/gossip_message.h"
#include "briarlead_membership/membership_command.h"
#include "briarlead_membership/membership_settings.h"

namespace briarlead {

/// A ping or ping request to send now.
struct DueProbe {
  GossipKind kind = GossipKind::kPing;
  Endpoint to;
  HostId to_id;  ///< Empty for an endpoint whose host is not known yet.
  std::uint64_t sequence = 0;
  HostId target;             ///< Of a ping request.
  Endpoint target_endpoint;  ///< Of a ping request.
};

/// Membership of the hosts in this host's own data centre. Probes the other
/// hosts as SWIM does (ping, indirect ping, suspicion, refutation), merges the
/// entries that they send, and publishes the result on the blackboard.
///
/// Of two entries for one host, the higher incarnation takes precedence. Within
/// an incarnation, a host that is known to be dead stays dead; otherwise the
/// higher (version, health) takes precedence.
class HostMembership {
 public:
  /// `self` is the initial entry of this host. The referenced objects, other
  /// than `self`, must outlive this one.
  HostMembership(const MembershipSettings& settings,
                 const HostEntry& self,
                 HostTable& hosts,
                 RandomSource& random,
                 MembershipCommands& commands);

  [[nodiscard]] const HostEntry& self() const { return self_; }
  [[nodiscard]] DisseminationQueue<HostId>& updates() { return updates_; }

  /// Sets the revision of the lists that this host applies.
  void SetListsRevision(std::uint64_t revision);

  /// Announces that this host is leaving and takes no new work from now on.
  void StartLeaving();

  /// Merges an entry that another host sent.
  void Merge(const HostEntry& entry, TimePoint now);

  /// Handles the arrival of a message from `sender`: merges its entry and
  /// updates the time at which it was last heard.
  void OnMessageFrom(const HostEntry& sender, TimePoint now);

  /// Adds the peer endpoint of a host of this data centre that another data
  /// centre has named. It is pinged like a seed until its host is known.
  void AddContact(const Endpoint& endpoint);

  /// Handles an ack of ping `sequence`. `answered_by` is the host that answered
  /// the ping, directly or through another host.
  void OnAck(std::uint64_t sequence, const HostId& answered_by);

  /// Handles the timers that are due. Returns the probes to send.
  std::vector<DueProbe> Tick(TimePoint now);

  /// Returns the entry of `id`, which may be this host itself, or null when the
  /// host is not known.
  [[nodiscard]] const HostEntry* Find(const HostId& id) const;

  /// Returns the other hosts of the data centre that are not dead.
  [[nodiscard]] std::vector<HostEntry> Reachable() const;

  /// Returns the known entries one per call, in turn; null when there are none.
  const HostEntry* NextRoundRobin();

  /// Increases whenever the set of hosts that may own shards may have changed.
  [[nodiscard]] std::uint64_t epoch() const { return epoch_; }

 private:
  struct Peer {
    HostEntry entry;
    TimePoint last_heard;     ///< Arrival of the last message from it.
    TimePoint suspect_since;  ///< Set while the host is suspect.
    TimePoint next_ping;      ///< Set while the host is suspect.
    TimePoint dead_since;     ///< Set while the host is dead.
  };
  struct Probe {
    HostId target;
    std::uint64_t sequence = 0;
    TimePoint sent;
    bool sent_indirect = false;
    bool answered = false;
  };

  void MergeSelf(const HostEntry& entry);
  void Apply(Peer& peer, const HostEntry& entry, TimePoint now);
  void Publish(const Peer& peer);
  void PublishSelf();
  void Suspect(const HostId& id, TimePoint now);
  void RestartSuspicionsAfterPause(TimePoint now);
  void ExpireSuspicions(TimePoint now);
  void ForgetDead(TimePoint now);
  void FinishProbe(TimePoint now);
  void StartProbe(TimePoint now, std::vector<DueProbe>& due);
  void SendIndirectProbes(TimePoint now, std::vector<DueProbe>& due);
  void PingSuspects(TimePoint now, std::vector<DueProbe>& due);
  void Rejoin(TimePoint now, std::vector<DueProbe>& due);
  std::optional<HostId> NextProbeTarget();

  const MembershipSettings& settings_;
  HostEntry self_;
  HostTable& hosts_;
  RandomSource& random_;
  MembershipCommands& commands_;
  std::map<HostId, Peer> peers_;
  DisseminationQueue<HostId> updates_;
  std::vector<Endpoint> contacts_;  ///< Endpoints from AddContact().
  std::vector<HostId> probe_order_;
  std::optional<Probe> probe_;
  std::uint64_t next_sequence_ = 1;
  std::uint64_t epoch_ = 1;
  HostId round_robin_position_;
  TimePoint last_tick_;
  TimePoint next_probe_;
  TimePoint next_rejoin_;
  bool has_ticked_ = false;
};

}  // namespace briarlead

#endif  // BRIARLEAD_MEMBERSHIP_HOST_MEMBERSHIP_H_
