// Replica: replication of entries and snapshots, the commit index, read
// barriers and leadership transfer.

#include <algorithm>
#include <utility>

#include "briarlead_consensus/replica.h"

namespace briarlead::consensus {

namespace {

/// Returns whether the entries follow `prev_index` without a gap and their
/// terms never decrease.
bool IsContiguous(const AppendRequest& request) {
  LogIndex index = request.prev_index;
  Term term = request.prev_term;
  for (const LogEntry& it : request.entries) {
    if (it.index != ++index || it.term < term)
      return false;
    term = it.term;
  }
  return true;
}

}  // namespace

void Replica::OnLeaderContact(const ReplicaId& leader) {
  if (role_ != Role::kFollower || leader_hint_ != leader)
    BecomeFollower(hard_state_.term, leader);
  last_leader_contact_ = now_;
  ResetElectionTimer();
}

void Replica::OnAppendRequest(const Message& message,
                              const AppendRequest& request) {
  if (!IsContiguous(request))
    return;
  OnLeaderContact(message.from);
  const bool known = request.prev_index < log_.base_index() ||
                     log_.TermAt(request.prev_index) == request.prev_term;
  if (!known) {
    RejectAppend(message.from, request);
    return;
  }
  for (const LogEntry& it : request.entries) {
    if (it.index <= log_.base_index() || log_.TermAt(it.index) == it.term)
      continue;
    if (it.index <= log_.last_index()) {
      log_.TruncateFrom(it.index);
      persist_queue_.OnTruncated(it.index);
    }
    log_.Append(it);
    persist_queue_.OnAppended(it.index);
  }
  const LogIndex match = request.prev_index + request.entries.size();
  commit_index_ =
      std::max(commit_index_, std::min(request.commit_index, match));
  AppendResponse response;
  response.accepted = true;
  response.prev_index = request.prev_index;
  response.match_index = match;
  response.sent_at = request.sent_at;
  SendWhenSynced(message.from, response);
}

void Replica::RejectAppend(const ReplicaId& leader,
                           const AppendRequest& request) {
  AppendResponse response;
  response.prev_index = request.prev_index;
  response.sent_at = request.sent_at;
  response.conflict_index = log_.last_index() + 1;
  if (const auto term = log_.TermAt(request.prev_index)) {
    response.conflict_term = *term;
    response.conflict_index = log_.FirstIndexOfTermAt(request.prev_index);
  }
  SendWhenSynced(leader, response);
}

void Replica::OnAppendResponse(const Message& message,
                               const AppendResponse& response) {
  if (role_ != Role::kLeader)
    return;
  PeerProgress* peer = leader_->Find(message.from);
  if (peer == nullptr ||
      std::max(response.match_index, response.prev_index) > log_.last_index()) {
    return;
  }
  peer->OnContact(response.sent_at);
  if (response.accepted) {
    peer->OnAccepted(response.match_index);
    AdvanceCommit();
    return;
  }
  LogIndex retry_from = response.conflict_index;
  if (response.conflict_term != 0) {
    const LogIndex possible_match = log_.LastIndexWithTermAtMost(
        response.prev_index, response.conflict_term);
    retry_from = std::max(retry_from, possible_match + 1);
  }
  peer->OnRejected(response.prev_index, retry_from);
}

void Replica::OnSnapshotChunk(const Message& message,
                              const SnapshotChunk& chunk) {
  OnLeaderContact(message.from);
  AppendResponse installed;
  installed.accepted = true;
  installed.match_index = chunk.index;
  installed.sent_at = chunk.sent_at;
  if (chunk.index <= commit_index_) {
    SendWhenSynced(message.from, installed);
    return;
  }
  std::shared_ptr<const Snapshot> snapshot = snapshot_receiver_.OnChunk(chunk);
  if (!snapshot) {
    SendWhenSynced(
        message.from,
        SnapshotResponse{chunk.index, snapshot_receiver_.next_offset(),
                         chunk.sent_at});
    return;
  }
  const bool log_kept = log_.Install(snapshot);
  persist_queue_.OnSnapshot(snapshot, log_kept);
  commit_index_ = snapshot->index;
  pending_install_ = std::move(snapshot);
  SendWhenSynced(message.from, installed);
}

void Replica::OnSnapshotResponse(const Message& message,
                                 const SnapshotResponse& response) {
  if (role_ != Role::kLeader)
    return;
  PeerProgress* peer = leader_->Find(message.from);
  if (peer == nullptr)
    return;
  peer->OnContact(response.sent_at);
  peer->OnSnapshotProgress(response.index, response.next_offset);
}

void Replica::OnJoinRequest(const Message& message) {
  if (message.to.host != identity_.replica.host)
    return;
  if (role_ != Role::kLeader) {
    RelayJoinRequest(message);
    return;
  }
  if (!members().Contains(message.from))
    commands_.emplace_back(JoinRequested{message.from});
}

void Replica::RelayJoinRequest(const Message& message) {
  const bool relayed = message.to.incarnation != 0;
  if (relayed || leader_hint_.empty())
    return;
  Message relay = message;
  relay.to = leader_hint_;
  commands_.emplace_back(SendMessage{std::move(relay)});
}

void Replica::ReplicateToAll() {
  for (auto& [id, peer] : leader_->peers())
    ReplicateTo(id, peer);
}

void Replica::SwitchToSnapshotIfNeeded(PeerProgress& peer) const {
  if (peer.mode() != ReplicationMode::kSnapshot &&
      !log_.TermAt(peer.next() - 1))
    peer.StartSnapshot(log_.snapshot());
}

void Replica::ReplicateTo(const ReplicaId& id, PeerProgress& peer) {
  SwitchToSnapshotIfNeeded(peer);
  if (peer.mode() == ReplicationMode::kSnapshot) {
    if (peer.MaySend(settings_.max_appends_in_flight))
      SendChunk(id, peer);
    return;
  }
  while (peer.MaySend(settings_.max_appends_in_flight)) {
    const bool has_new_commit = peer.mode() == ReplicationMode::kReplicate &&
                                peer.sent_commit() < commit_index_;
    if (peer.next() > log_.last_index() && !has_new_commit)
      return;
    SendAppend(id, peer, settings_.max_append_entries);
  }
}

void Replica::SendHeartbeat(const ReplicaId& id, PeerProgress& peer) {
  SwitchToSnapshotIfNeeded(peer);
  // A snapshot chunk that may have been lost is sent again only if the peer
  // answered lately. A peer that is down receives heartbeats only.
  const bool responsive =
      peer.contact() && now_ - *peer.contact() < settings_.election_timeout_max;
  if (responsive && peer.mode() == ReplicationMode::kSnapshot) {
    SendChunk(id, peer);
    return;
  }
  SendAppend(id, peer, 0);
}

void Replica::SendAppend(const ReplicaId& id,
                         PeerProgress& peer,
                         std::size_t max_entries) {
  AppendRequest request;
  request.prev_index = peer.mode() == ReplicationMode::kSnapshot
                           ? peer.snapshot()->index
                           : peer.next() - 1;
  const std::optional<Term> prev_term = log_.TermAt(request.prev_index);
  request.prev_term = prev_term ? *prev_term : peer.snapshot()->term;
  request.commit_index = commit_index_;
  request.sent_at = now_;
  if (max_entries > 0) {
    request.entries =
        log_.Slice(peer.next(), max_entries, settings_.max_append_bytes);
  }
  peer.OnSent(request.prev_index + request.entries.size(), commit_index_);
  Send(id, std::move(request));
}

void Replica::SendChunk(const ReplicaId& id, PeerProgress& peer) {
  const Snapshot& snapshot = *peer.snapshot();
  const std::uint64_t offset =
      std::min<std::uint64_t>(peer.snapshot_offset(), snapshot.data.size());
  SnapshotChunk chunk;
  chunk.index = snapshot.index;
  chunk.snapshot_term = snapshot.term;
  chunk.membership = snapshot.membership;
  chunk.total_size = snapshot.data.size();
  chunk.offset = offset;
  chunk.data = snapshot.data.substr(offset, settings_.snapshot_chunk_bytes);
  chunk.sent_at = now_;
  peer.OnChunkSent();
  Send(id, std::move(chunk));
}

void Replica::AdvanceCommit() {
  if (role_ != Role::kLeader)
    return;
  const LogIndex index = leader_->MajorityIndex(persist_queue_.synced_index());
  if (index <= commit_index_ || log_.TermAt(index) != hard_state_.term)
    return;
  for (LogIndex it = commit_index_ + 1; it <= index; ++it)
    uncommitted_bytes_ -= log_.At(it).payload.size();
  commit_index_ = index;
}

void Replica::CompleteReads() {
  if (role_ != Role::kLeader || leader_->reads.empty())
    return;
  const bool lease = HasLease(now_);
  const std::optional<TimePoint> contact = leader_->MajorityContact(now_);
  std::erase_if(leader_->reads, [&](const PendingRead& it) {
    const bool leadership_confirmed =
        lease || (contact && *contact >= it.requested_at);
    if (!leadership_confirmed || applied_index_ < it.index)
      return false;
    commands_.emplace_back(ReadBarrierDone{it.token, true});
    return true;
  });
}

void Replica::ContinueTransfer() {
  if (!leader_->transfer || leader_->transfer->timeout_now_sent)
    return;
  const ReplicaId target = leader_->transfer->target;
  const PeerProgress* peer = leader_->Find(target);
  if (peer == nullptr) {
    leader_->transfer.reset();
    return;
  }
  if (peer->match() != log_.last_index())
    return;
  // However late TimeoutNow arrives, the target's election doesn't wait for
  // this leader's lease to end. The lease is therefore given up for the rest of
  // the term.
  leader_->transfer->timeout_now_sent = true;
  leader_->lease_given_up = true;
  Send(target, TimeoutNow{});
}

}  // namespace briarlead::consensus
