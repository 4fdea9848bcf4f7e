#ifndef BRIARLEAD_CONSENSUS_REPLICA_H_
#define BRIARLEAD_CONSENSUS_REPLICA_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "briarlead_consensus/command.h"
#include "briarlead_consensus/consensus_types.h"
#include "briarlead_consensus/leader_state.h"
#include "briarlead_consensus/log_buffer.h"
#include "briarlead_consensus/message.h"
#include "briarlead_consensus/persist_queue.h"
#include "briarlead_consensus/replica_settings.h"
#include "briarlead_consensus/snapshot_receiver.h"
#include "briarlead_core/error.h"
#include "briarlead_core/random_source.h"
#include "briarlead_core/time.h"

namespace briarlead::consensus {

/// A membership change, which adds, promotes or removes one replica. Only one
/// change at a time can be in progress.
struct MembershipChange {
  enum class Kind { kAddLearner, kPromote, kRemove };

  Kind kind = Kind::kAddLearner;
  ReplicaId replica;
};

/// What a leader knows about one member, for status reports.
struct MemberStatus {
  ReplicaId replica;
  bool voter = false;
  LogIndex synced_index = 0;
  /// When the latest request that the member answered was sent; nullopt while
  /// it answered none.
  std::optional<TimePoint> contact;
};

/// One replica of a Raft log: elections, replication, membership changes and
/// leader leases, without any I/O. After each call that takes `now`, the caller
/// must execute the commands of TakeCommands() until it returns none.
///
/// Read the clock for `now` only after a message was received. Each call first
/// handles the timeouts that have expired at `now`, so that a process that was
/// suspended for long gives up its lease before it does anything else.
class Replica {
 public:
  /// Starts as a follower from the state that the store recovered. It gives no
  /// vote before election_timeout_min has passed, because a leader's lease may
  /// rely on a response that was sent before the restart.
  Replica(ReplicaSettings settings,
          RecoveredState recovered,
          RandomSource random,
          TimePoint now);

  /// Handles a message. Drops messages of other clusters or for other replicas.
  void OnMessage(const Message& message, TimePoint now);

  /// Handles the timeouts that have expired at `now`.
  void Tick(TimePoint now);

  /// Reports that the Persist command with `token`, and all before it, are
  /// synced.
  void OnPersisted(PersistToken token, TimePoint now);

  /// Appends `payload` to the log and returns its index. The proposal is
  /// accepted once an Apply command comes with this index and the current
  /// term(); if the command comes with another term, the proposal was not
  /// accepted. Until then the outcome is unknown.
  /// Errors: kUnavailable when this replica is not the leader (see
  /// leader_hint()), is handing over or has too many uncommitted bytes;
  /// kTooLarge.
  Result<LogIndex> Propose(std::string_view payload, TimePoint now);

  /// Proposes a change of the membership and returns its log index. Errors:
  /// kUnavailable when this replica is not the leader or its term has no
  /// committed entry yet; kConflict while another change is in progress or the
  /// learner to promote has not caught up; kInvalidArgument.
  Result<LogIndex> ProposeMembershipChange(const MembershipChange& change,
                                           TimePoint now);

  /// Transfers leadership to the voter `target`. A RoleChanged command reports
  /// success; if none comes within transfer_timeout, the transfer was
  /// abandoned.
  /// Errors: kUnavailable when this replica is not the leader or is already
  /// handing over; kInvalidArgument.
  Result<void> TransferLeadership(const ReplicaId& target, TimePoint now);

  /// Starts a barrier for a linearizable read. A ReadBarrierDone command with
  /// the returned token reports its outcome.
  /// Errors: kUnavailable when this replica is not the leader.
  Result<ReadToken> ReadBarrier(TimePoint now);

  /// Replaces the hosts to which a replica sends join requests when it is not a
  /// member or hears from no leader.
  void SetSeedHosts(std::vector<HostId> hosts) {
    settings_.seed_hosts = std::move(hosts);
  }

  /// Stores `data`, the state machine's state after the applied entry `index`,
  /// as a snapshot and drops older log entries. Errors: kInvalidArgument when
  /// the entry isn't applied or a snapshot at least as new exists; kTooLarge.
  Result<void> Compact(LogIndex index, std::string data, TimePoint now);

  /// Returns and removes the pending commands, in the order in which they must
  /// be executed.
  std::vector<Command> TakeCommands();

  /// Returns the time by which Tick() must be called.
  [[nodiscard]] TimePoint NextWake() const;

  [[nodiscard]] const Identity& identity() const { return identity_; }
  [[nodiscard]] Role role() const { return role_; }
  [[nodiscard]] Term term() const { return hard_state_.term; }
  /// Returns the last known leader of the current term; empty when unknown.
  [[nodiscard]] const ReplicaId& leader_hint() const { return leader_hint_; }
  [[nodiscard]] LogIndex commit_index() const { return commit_index_; }
  [[nodiscard]] LogIndex applied_index() const { return applied_index_; }
  [[nodiscard]] LogIndex last_index() const { return log_.last_index(); }
  [[nodiscard]] const Membership& members() const { return log_.membership(); }

  /// Returns whether this replica is the leader and holds a lease, so that no
  /// other replica can be leader at `now`.
  [[nodiscard]] bool HasLease(TimePoint now) const;

  /// Returns whether this replica is the leader and has applied an entry of its
  /// term, and with it all that earlier leaders committed.
  [[nodiscard]] bool HasAppliedOwnTerm() const;

  /// Returns whether this follower knows a leader and heard from one within
  /// election_timeout_max before `now`.
  [[nodiscard]] bool HeardLeader(TimePoint now) const {
    return !leader_hint_.empty() &&
           now - last_leader_contact_ < settings_.election_timeout_max;
  }

  /// Returns what this leader knows about each member; empty on other replicas.
  [[nodiscard]] std::vector<MemberStatus> MemberStatuses() const;

 private:
  // replica.cc
  /// Moves the replica's clock to `now` and handles expired timeouts.
  void AdvanceTime(TimePoint now);
  /// Handles the leader's timeouts: check-quorum, transfer and heartbeat.
  void RunLeaderTimers();
  void Send(const ReplicaId& to, MessageBody body);
  /// Sends the message once everything that was changed before is synced.
  void SendWhenSynced(const ReplicaId& to, MessageBody body);
  Message MakeMessage(const ReplicaId& to, MessageBody body) const;
  void AppendToLog(LogEntry entry);
  void EmitApplies();
  void EmitRoleChange();
  void SendJoinRequests();
  /// Fails unless this replica leads and isn't handing over.
  Result<void> CheckIsActiveLeader() const;

  // replica_election.cc
  void OnVoteRequest(const Message& message, const VoteRequest& request);
  void OnVoteResponse(const Message& message, const VoteResponse& response);
  void OnTimeoutNow();
  void StartPreVote();
  void StartElection(bool transfer);
  void CountVotes();
  void BecomeLeader();
  void BecomeFollower(Term term, const ReplicaId& leader);
  void ResetElectionTimer();
  /// Returns whether a leader, possibly this replica, may hold a lease. Until
  /// it has ended, this replica must not vote for another.
  [[nodiscard]] bool LeaderMayHoldLease() const;
  [[nodiscard]] bool HasQuorumOfVotes() const;
  /// Returns when this leader's lease ends; nullopt when it has none.
  [[nodiscard]] std::optional<TimePoint> LeaseEnd(TimePoint now) const;

  // replica_replication.cc
  void OnLeaderContact(const ReplicaId& leader);
  void OnAppendRequest(const Message& message, const AppendRequest& request);
  void RejectAppend(const ReplicaId& leader, const AppendRequest& request);
  void OnAppendResponse(const Message& message, const AppendResponse& response);
  void OnSnapshotChunk(const Message& message, const SnapshotChunk& chunk);
  void OnSnapshotResponse(const Message& message,
                          const SnapshotResponse& response);
  void OnJoinRequest(const Message& message);
  /// Sends a join request on to the leader. A new host may know only followers.
  void RelayJoinRequest(const Message& message);
  /// Switches `peer` to the snapshot when the log no longer has its next entry.
  void SwitchToSnapshotIfNeeded(PeerProgress& peer) const;
  /// Sends what `peer` lacks, as far as the limit on messages in flight allows.
  void ReplicateTo(const ReplicaId& id, PeerProgress& peer);
  void SendHeartbeat(const ReplicaId& id, PeerProgress& peer);
  void SendAppend(const ReplicaId& id,
                  PeerProgress& peer,
                  std::size_t max_entries);
  void SendChunk(const ReplicaId& id, PeerProgress& peer);
  void ReplicateToAll();
  void AdvanceCommit();
  /// Confirms the read barriers whose conditions are met.
  void CompleteReads();
  /// Sends TimeoutNow once the transfer's target has the whole log.
  void ContinueTransfer();

  ReplicaSettings settings_;
  Identity identity_;
  HardState hard_state_;
  LogBuffer log_;
  PersistQueue persist_queue_;
  SnapshotReceiver snapshot_receiver_;
  RandomSource random_;
  TimePoint now_;  ///< The latest `now` of any call; never goes back.

  Role role_ = Role::kFollower;
  ReplicaId leader_hint_;
  TimePoint last_leader_contact_;
  TimePoint election_due_;
  TimePoint join_due_;
  std::set<ReplicaId> votes_;
  /// This replica's vote for itself counts once this token is synced.
  PersistToken own_vote_token_ = 0;
  std::optional<LeaderState> leader_;  ///< Set while this replica leads.

  LogIndex commit_index_ = 0;
  LogIndex applied_index_ = 0;
  std::size_t uncommitted_bytes_ = 0;
  /// Snapshot for the next InstallSnapshot command.
  std::shared_ptr<const Snapshot> pending_install_;
  ReadToken last_read_token_ = 0;
  /// The latest RoleChanged command.
  std::optional<RoleChanged> emitted_role_;
  std::vector<Command> commands_;
};

}  // namespace briarlead::consensus

#endif  // BRIARLEAD_CONSENSUS_REPLICA_H_
