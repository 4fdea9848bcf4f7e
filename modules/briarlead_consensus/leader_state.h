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

/// A leadership transfer in progress.
struct LeadershipTransfer {
  ReplicaId target;
  TimePoint deadline;
  /// Set once TimeoutNow was sent to the target.
  bool timeout_now_sent = false;
};

/// A read barrier that waits until leadership is confirmed and `index` is
/// applied.
struct PendingRead {
  ReadToken token = 0;
  TimePoint requested_at;
  LogIndex index = 0;
};

/// State that a replica has only while it is the leader.
class LeaderState {
 public:
  /// `term_start_index` is the index of the no-op that starts the term.
  LeaderState(ReplicaId self, TimePoint now, LogIndex term_start_index);

  /// Applies a change of the membership: starts replication to new members and
  /// forgets removed ones.
  void SetMembership(const Membership& membership, LogIndex last_index);

  /// Returns the progress of `id`; null for the leader itself and non-members.
  [[nodiscard]] PeerProgress* Find(const ReplicaId& id);
  [[nodiscard]] const PeerProgress* Find(const ReplicaId& id) const;

  [[nodiscard]] std::map<ReplicaId, PeerProgress>& peers() { return peers_; }

  /// Returns the highest index that a majority of the voters has synced.
  /// `own_synced` is the leader's own synced index.
  [[nodiscard]] LogIndex MajorityIndex(LogIndex own_synced) const;

  /// Returns the latest time for which a majority of the voters answered a
  /// request sent then or later; nullopt if there is none. `now` stands for the
  /// leader itself.
  [[nodiscard]] std::optional<TimePoint> MajorityContact(TimePoint now) const;

  /// Returns MajorityContact(), but no earlier than the start of the
  /// leadership. The check-quorum timeout runs from this time.
  [[nodiscard]] TimePoint MajorityContactOrStart(TimePoint now) const;

  [[nodiscard]] LogIndex term_start_index() const { return term_start_index_; }

  std::optional<LeadershipTransfer> transfer;
  std::vector<PendingRead> reads;
  TimePoint next_heartbeat;
  /// Set once TimeoutNow was sent to any replica in this term: its election
  /// ignores the lease, so this leader must no longer rely on it.
  bool lease_given_up = false;

 private:
  ReplicaId self_;
  TimePoint started_;
  LogIndex term_start_index_;
  std::vector<ReplicaId> voters_;
  std::map<ReplicaId, PeerProgress> peers_;
};

}  // namespace briarlead::consensus

#endif  // BRIARLEAD_CONSENSUS_LEADER_STATE_H_
