#include "briarlead_consensus/replica.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace briarlead::consensus {

Replica::Replica(ReplicaSettings settings,
                 RecoveredState recovered,
                 RandomSource random,
                 TimePoint now)
    : settings_(std::move(settings)),
      identity_(std::move(recovered.identity)),
      hard_state_(std::move(recovered.hard_state)),
      log_(recovered.snapshot, std::move(recovered.entries)),
      persist_queue_(log_.last_index()),
      snapshot_receiver_(settings_.max_snapshot_bytes),
      random_(random),
      now_(now),
      last_leader_contact_(now),
      join_due_(now),
      pending_install_(std::move(recovered.snapshot)) {
  if (pending_install_)
    commit_index_ = pending_install_->index;
  ResetElectionTimer();
}

void Replica::OnMessage(const Message& message, TimePoint now) {
  AdvanceTime(now);
  if (message.cluster != identity_.cluster ||
      message.from == identity_.replica) {
    return;
  }
  if (std::holds_alternative<JoinRequest>(message.body)) {
    OnJoinRequest(message);
    return;
  }
  if (message.to != identity_.replica)
    return;
  if (const auto* request = std::get_if<VoteRequest>(&message.body)) {
    OnVoteRequest(message, *request);
    return;
  }
  if (message.term > hard_state_.term)
    BecomeFollower(message.term, {});
  if (const auto* response = std::get_if<VoteResponse>(&message.body)) {
    OnVoteResponse(message, *response);
    return;
  }
  if (message.term < hard_state_.term) {
    // The response's term makes an outdated leader step down.
    if (std::holds_alternative<AppendRequest>(message.body) ||
        std::holds_alternative<SnapshotChunk>(message.body)) {
      SendWhenSynced(message.from, AppendResponse{});
    }
    return;
  }
  if (const auto* request = std::get_if<AppendRequest>(&message.body))
    OnAppendRequest(message, *request);
  else if (const auto* response = std::get_if<AppendResponse>(&message.body))
    OnAppendResponse(message, *response);
  else if (const auto* chunk = std::get_if<SnapshotChunk>(&message.body))
    OnSnapshotChunk(message, *chunk);
  else if (const auto* part = std::get_if<SnapshotResponse>(&message.body))
    OnSnapshotResponse(message, *part);
  else if (std::holds_alternative<TimeoutNow>(message.body))
    OnTimeoutNow();
}

void Replica::Tick(TimePoint now) {
  AdvanceTime(now);
}

void Replica::OnPersisted(PersistToken token, TimePoint now) {
  AdvanceTime(now);
  persist_queue_.OnPersisted(token);
  for (Message& it : persist_queue_.TakeReleasedMessages())
    commands_.emplace_back(SendMessage{std::move(it)});
  CountVotes();
  AdvanceCommit();
}

Result<LogIndex> Replica::Propose(std::string_view payload, TimePoint now) {
  AdvanceTime(now);
  BOOST_OUTCOME_TRY(CheckIsActiveLeader());
  if (payload.size() > settings_.max_payload_bytes)
    return Fail(ErrorCode::kTooLarge, "the entry is too large for the log");
  if (uncommitted_bytes_ + payload.size() > settings_.max_uncommitted_bytes)
    return Fail(ErrorCode::kUnavailable, "too many entries are uncommitted");
  LogEntry entry;
  entry.kind = EntryKind::kCommand;
  entry.payload = payload;
  AppendToLog(std::move(entry));
  return log_.last_index();
}

Result<LogIndex> Replica::ProposeMembershipChange(
    const MembershipChange& change,
    TimePoint now) {
  AdvanceTime(now);
  BOOST_OUTCOME_TRY(CheckIsActiveLeader());
  // Until an entry of its own term is committed, a leader may not know of a
  // change that an earlier leader committed, and two changes could be in
  // progress at once.
  if (commit_index_ < leader_->term_start_index())
    return Fail(ErrorCode::kUnavailable, "the leader's term is not ready yet");
  if (log_.membership_index() > commit_index_)
    return Fail(ErrorCode::kConflict, "another change of members is under way");
  Membership next = log_.membership();
  const ReplicaId& id = change.replica;
  switch (change.kind) {
    case MembershipChange::Kind::kAddLearner:
      if (id.empty() || next.Contains(id))
        return Fail(ErrorCode::kInvalidArgument, "already a member");
      next.learners.push_back(id);
      break;
    case MembershipChange::Kind::kPromote:
      if (!next.IsLearner(id))
        return Fail(ErrorCode::kInvalidArgument, "not a learner");
      if (leader_->Find(id)->match() < commit_index_)
        return Fail(ErrorCode::kConflict, "the learner has not caught up");
      std::erase(next.learners, id);
      next.voters.push_back(id);
      break;
    case MembershipChange::Kind::kRemove:
      if (!next.Contains(id))
        return Fail(ErrorCode::kInvalidArgument, "not a member");
      if (id == identity_.replica)
        return Fail(ErrorCode::kInvalidArgument, "the leader must hand over");
      std::erase(next.learners, id);
      std::erase(next.voters, id);
      break;
  }
  LogEntry entry;
  entry.kind = EntryKind::kMembership;
  entry.membership = std::move(next);
  AppendToLog(std::move(entry));
  leader_->SetMembership(log_.membership(), log_.last_index());
  return log_.last_index();
}

Result<void> Replica::TransferLeadership(const ReplicaId& target,
                                         TimePoint now) {
  AdvanceTime(now);
  BOOST_OUTCOME_TRY(CheckIsActiveLeader());
  if (target == identity_.replica || !members().IsVoter(target))
    return Fail(ErrorCode::kInvalidArgument, "not another voter");
  leader_->transfer = {target, now_ + settings_.transfer_timeout};
  ContinueTransfer();
  return outcome::success();
}

Result<ReadToken> Replica::ReadBarrier(TimePoint now) {
  AdvanceTime(now);
  if (role_ != Role::kLeader)
    return Fail(ErrorCode::kUnavailable, "not the leader");
  PendingRead read;
  read.token = ++last_read_token_;
  read.requested_at = now_;
  read.index = std::max(commit_index_, leader_->term_start_index());
  leader_->reads.push_back(read);
  // Only the first pending read triggers a round of heartbeats; later ones wait
  // for the next round, so that many reads cause no additional messages.
  if (leader_->reads.size() == 1 && !HasLease(now_)) {
    for (auto& [id, peer] : leader_->peers())
      SendHeartbeat(id, peer);
  }
  return read.token;
}

Result<void> Replica::Compact(LogIndex index, std::string data, TimePoint now) {
  AdvanceTime(now);
  if (index > applied_index_)
    return Fail(ErrorCode::kInvalidArgument, "the entry is not applied");
  if (index <= log_.base_index() ||
      (log_.snapshot() && index <= log_.snapshot()->index)) {
    return Fail(ErrorCode::kInvalidArgument,
                "a snapshot at least as new exists");
  }
  if (data.size() > settings_.max_snapshot_bytes)
    return Fail(ErrorCode::kTooLarge, "the snapshot is too large");
  auto snapshot = std::make_shared<Snapshot>();
  snapshot->index = index;
  snapshot->term = *log_.TermAt(index);
  snapshot->membership = log_.MembershipAt(index);
  snapshot->data = std::move(data);
  log_.Compact(snapshot, settings_.trailing_entries);
  persist_queue_.OnSnapshot(std::move(snapshot), true);
  return outcome::success();
}

std::vector<Command> Replica::TakeCommands() {
  if (role_ == Role::kLeader) {
    ContinueTransfer();
    ReplicateToAll();
  }
  if (auto persist = persist_queue_.TakePersist(hard_state_, log_))
    commands_.emplace_back(std::move(*persist));
  EmitApplies();
  CompleteReads();
  EmitRoleChange();
  return std::exchange(commands_, {});
}

TimePoint Replica::NextWake() const {
  if (role_ == Role::kLeader)
    return leader_->next_heartbeat;
  if (members().IsVoter(identity_.replica))
    return election_due_;
  return members().Contains(identity_.replica) ? TimePoint::max() : join_due_;
}

std::vector<MemberStatus> Replica::MemberStatuses() const {
  std::vector<MemberStatus> statuses;
  if (role_ != Role::kLeader)
    return statuses;
  const auto add = [&](const ReplicaId& id, bool voter) {
    MemberStatus status{id, voter, persist_queue_.synced_index(), now_};
    if (const PeerProgress* peer = leader_->Find(id)) {
      status.synced_index = peer->match();
      status.contact = peer->contact();
    }
    statuses.push_back(std::move(status));
  };
  for (const ReplicaId& it : members().voters)
    add(it, true);
  for (const ReplicaId& it : members().learners)
    add(it, false);
  return statuses;
}

void Replica::AdvanceTime(TimePoint now) {
  now_ = std::max(now_, now);
  if (role_ == Role::kLeader) {
    RunLeaderTimers();
    return;
  }
  const bool member = members().Contains(identity_.replica);
  // A member that was removed while it was cut off doesn't know that it was, so
  // it asks to join when it hears from no leader. The leader ignores the
  // request if the replica still is a member.
  const bool leaderless =
      now_ - last_leader_contact_ >= settings_.leaderless_join_delay;
  if ((!member || leaderless) && now_ >= join_due_)
    SendJoinRequests();
  if (!member)
    return;
  if (members().IsVoter(identity_.replica) && now_ >= election_due_)
    StartPreVote();
}

void Replica::RunLeaderTimers() {
  if (now_ >=
      leader_->MajorityContactOrStart(now_) + settings_.election_timeout_max) {
    BecomeFollower(hard_state_.term, {});
    return;
  }
  if (leader_->transfer && now_ >= leader_->transfer->deadline) {
    const bool timeout_now_sent = leader_->transfer->timeout_now_sent;
    leader_->transfer.reset();
    if (timeout_now_sent) {
      BecomeFollower(hard_state_.term, {});
      return;
    }
  }
  if (now_ < leader_->next_heartbeat)
    return;
  leader_->next_heartbeat = now_ + settings_.heartbeat_interval;
  for (auto& [id, peer] : leader_->peers())
    SendHeartbeat(id, peer);
}

void Replica::Send(const ReplicaId& to, MessageBody body) {
  commands_.emplace_back(SendMessage{MakeMessage(to, std::move(body))});
}

void Replica::SendWhenSynced(const ReplicaId& to, MessageBody body) {
  persist_queue_.HoldUntilSynced(MakeMessage(to, std::move(body)));
  for (Message& it : persist_queue_.TakeReleasedMessages())
    commands_.emplace_back(SendMessage{std::move(it)});
}

Message Replica::MakeMessage(const ReplicaId& to, MessageBody body) const {
  Message message;
  message.cluster = identity_.cluster;
  message.from = identity_.replica;
  message.to = to;
  message.term = hard_state_.term;
  message.body = std::move(body);
  return message;
}

void Replica::AppendToLog(LogEntry entry) {
  entry.index = log_.last_index() + 1;
  entry.term = hard_state_.term;
  uncommitted_bytes_ += entry.payload.size();
  persist_queue_.OnAppended(entry.index);
  log_.Append(std::move(entry));
}

void Replica::EmitApplies() {
  if (pending_install_) {
    applied_index_ = pending_install_->index;
    commands_.emplace_back(
        InstallSnapshot{std::exchange(pending_install_, nullptr)});
  }
  while (applied_index_ < commit_index_) {
    const LogEntry& entry = log_.At(++applied_index_);
    commands_.emplace_back(
        Apply{entry.index, entry.term, entry.kind, entry.payload});
  }
}

void Replica::EmitRoleChange() {
  const bool same = emitted_role_ && emitted_role_->role == role_ &&
                    emitted_role_->term == hard_state_.term &&
                    emitted_role_->leader == leader_hint_;
  if (same)
    return;
  emitted_role_ = RoleChanged{role_, hard_state_.term, leader_hint_};
  commands_.emplace_back(*emitted_role_);
}

void Replica::SendJoinRequests() {
  join_due_ = now_ + settings_.join_interval;
  for (const HostId& it : settings_.seed_hosts) {
    if (it != identity_.replica.host)
      Send(ReplicaId{it, 0}, JoinRequest{});
  }
}

Result<void> Replica::CheckIsActiveLeader() const {
  if (role_ != Role::kLeader) {
    return Fail(ErrorCode::kUnavailable,
                leader_hint_.empty()
                    ? "not the leader; no leader is known"
                    : "not the leader; it is " + ToString(leader_hint_));
  }
  if (leader_->transfer || leader_->lease_given_up)
    return Fail(ErrorCode::kUnavailable, "the leader is handing over");
  return outcome::success();
}

}  // namespace briarlead::consensus
