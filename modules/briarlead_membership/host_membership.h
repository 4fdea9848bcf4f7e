#ifndef BRIARLEAD_MEMBERSHIP_HOST_MEMBERSHIP_H_
#define BRIARLEAD_MEMBERSHIP_HOST_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "briarlead_blackboard/host_table.h"
#include "briarlead_core/random_source.h"
#include "briarlead_core/time.h"
#include "briarlead_membership/gossip_message.h"
#include "briarlead_membership/membership_command.h"
#include "briarlead_membership/membership_settings.h"
#include "briarlead_membership/news_queue.h"

namespace briarlead {

/// A ping or ping request that is due.
struct DueProbe {
  GossipKind kind = GossipKind::kPing;
  Endpoint to;
  HostId to_id;  ///< Empty for a seed whose name is not known.
  std::uint64_t sequence = 0;
  HostId target;          ///< Of a ping request.
  Endpoint target_peers;  ///< Of a ping request.
};

/// The hosts of this host's own data centre: probes them (SWIM: ping, ping
/// through others, suspicion, refutation), merges what others say of them and
/// writes them to the blackboard.
class HostMembership {
 public:
  /// `self` is this host as it starts. `hosts`, `random` and `commands` must
  /// outlive this object.
  HostMembership(const MembershipSettings& settings,
                 const HostEntry& self,
                 HostTable& hosts,
                 RandomSource& random,
                 MembershipCommands& commands);

  [[nodiscard]] const HostEntry& self() const { return self_; }
  [[nodiscard]] NewsQueue<HostId>& news() { return news_; }

  /// Sets the revision of the lists that this host serves on.
  void SetListsRevision(std::uint64_t revision);

  /// Says that this host leaves: it takes no new work from now on.
  void StartLeaving();

  /// Takes an entry that another host sent.
  void Merge(const HostEntry& entry, TimePoint now);

  /// Takes that a message of `sender` has come, and its entry.
  void OnMessageFrom(const HostEntry& sender, TimePoint now);

  /// Adds an endpoint that is said to be a host of this data centre.
  void AddContact(const Endpoint& peers);

  /// Takes the answer to ping `sequence` from `answered_by`.
  void OnAck(std::uint64_t sequence, const HostId& answered_by);

  /// Works the timers; returns the probes to send.
  std::vector<DueProbe> Tick(TimePoint now);

  /// Returns what is known of `id`, or null; this host itself included.
  [[nodiscard]] const HostEntry* Find(const HostId& id) const;

  /// Returns the other hosts of the data centre that are not dead.
  [[nodiscard]] std::vector<HostEntry> Reachable() const;

  /// Returns the next of the known entries, one after the other.
  const HostEntry* NextInRotation();

  /// Grows whenever the set of hosts that may own shards may have changed.
  [[nodiscard]] std::uint64_t epoch() const { return epoch_; }

 private:
  struct Peer {
    HostEntry entry;
    TimePoint last_heard;     ///< Of a message of its own.
    TimePoint suspect_since;  ///< Set while it is suspect.
    TimePoint next_ping;      ///< Set while it is suspect.
    TimePoint dead_since;     ///< Set while it is dead.
  };
  struct Probe {
    HostId target;
    std::uint64_t sequence = 0;
    TimePoint sent;
    bool asked_others = false;
    bool answered = false;
  };

  void MergeSelf(const HostEntry& entry);
  void Apply(Peer& peer, const HostEntry& entry, TimePoint now);
  void Publish(const Peer& peer);
  void PublishSelf();
  void Suspect(const HostId& id, TimePoint now);
  void ForgiveAfterPause(TimePoint now);
  void ExpireSuspicions(TimePoint now);
  void ForgetDead(TimePoint now);
  void FinishProbe(TimePoint now);
  void StartProbe(TimePoint now, std::vector<DueProbe>& due);
  void AskOthers(TimePoint now, std::vector<DueProbe>& due);
  void PingSuspects(TimePoint now, std::vector<DueProbe>& due);
  void Rejoin(TimePoint now, std::vector<DueProbe>& due);
  std::optional<HostId> NextTarget();

  const MembershipSettings& settings_;
  HostEntry self_;
  HostTable& hosts_;
  RandomSource& random_;
  MembershipCommands& commands_;
  std::map<HostId, Peer> peers_;
  NewsQueue<HostId> news_;
  std::vector<Endpoint> contacts_;  ///< Seeds that others named.
  std::vector<HostId> probe_order_;
  std::optional<Probe> probe_;
  std::uint64_t next_sequence_ = 1;
  std::uint64_t epoch_ = 1;
  HostId rotation_;
  TimePoint last_tick_;
  TimePoint next_probe_;
  TimePoint next_rejoin_;
  bool has_ticked_ = false;
};

}  // namespace briarlead

#endif  // BRIARLEAD_MEMBERSHIP_HOST_MEMBERSHIP_H_
