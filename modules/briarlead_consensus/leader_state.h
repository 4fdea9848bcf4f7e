#ifndef BRIARLEAD_CONSENSUS_LEADER_STATE_H_
#define BRIARLEAD_CONSENSUS_LEADER_STATE_H_

#include <map>
#include <optional>
#include <vector>

#include "briarlead_consensus/command.h"
#include "briarlead_consensus/consensus_types.h"
#include "briarlead_consensus/peer_progress.h"
#include "briarlead_core/time.h"

namespace briarlead::consensus {

/// A leadership transfer under way.
struct LeadershipTransfer {
  ReplicaId target;
  TimePoint deadline;
  /// The successor was told: the lease is given up for the rest of the term.
  bool told = false;
};

/// A read barrier that waits for proof of leadership or for entries.
struct PendingRead {
  ReadToken token = 0;
  TimePoint asked_at;
  LogIndex index = 0;  ///< Must be applied first.
};

/// What a replica knows only while it leads.
class LeaderState {
 public:
  /// `first_index` is the index of the no-op that starts the term.
  LeaderState(ReplicaId self, TimePoint now, LogIndex first_index);

  /// Follows a change of the members: begins to feed new ones, forgets others.
  void SetMembership(const Membership& membership, LogIndex last_index);

  /// Returns what is known of `id`; null when it is no member.
  [[nodiscard]] PeerProgress* Find(const ReplicaId& id);
  [[nodiscard]] const PeerProgress* Find(const ReplicaId& id) const;

  [[nodiscard]] std::map<ReplicaId, PeerProgress>& peers() { return peers_; }

  /// Returns the highest index that a majority of the voters has synced;
  /// `own_synced` is the leader's own.
  [[nodiscard]] LogIndex MajorityIndex(LogIndex own_synced) const;

  /// Returns the latest moment at which requests were sent that a majority of
  /// the voters answered; nullopt while a majority answered none.
  [[nodiscard]] std::optional<TimePoint> MajorityContact(TimePoint now) const;

  /// Returns when check-quorum began to run: the latest MajorityContact(), or
  /// the start of the leadership.
  [[nodiscard]] TimePoint QuorumSeen(TimePoint now) const;

  [[nodiscard]] LogIndex first_index() const { return first_index_; }

  std::optional<LeadershipTransfer> transfer;
  std::vector<PendingRead> reads;
  TimePoint next_heartbeat;
  /// The successor was told in this term, so there is no lease any more.
  bool lease_given_up = false;

 private:
  ReplicaId self_;
  TimePoint started_;
  LogIndex first_index_;
  std::vector<ReplicaId> voters_;
  std::map<ReplicaId, PeerProgress> peers_;
};

}  // namespace briarlead::consensus

#endif  // BRIARLEAD_CONSENSUS_LEADER_STATE_H_
