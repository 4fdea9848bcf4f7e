// Replica: elections, votes and the leader's lease.

#include <algorithm>
#include <utility>

#include "briarlead_consensus/replica.h"

namespace briarlead::consensus {

bool Replica::HasLease(TimePoint now) const {
  if (role_ != Role::kLeader || commit_index_ < leader_->term_start_index())
    return false;
  const std::optional<TimePoint> end = LeaseEnd(std::max(now, now_));
  return end && std::max(now, now_) < *end;
}

bool Replica::HasAppliedOwnTerm() const {
  return role_ == Role::kLeader &&
         applied_index_ >= leader_->term_start_index();
}

std::optional<TimePoint> Replica::LeaseEnd(TimePoint now) const {
  if (role_ != Role::kLeader || leader_->lease_given_up)
    return std::nullopt;
  const std::optional<TimePoint> contact = leader_->MajorityContact(now);
  if (!contact)
    return std::nullopt;
  return *contact + settings_.LeaseDuration();
}

bool Replica::LeaderMayHoldLease() const {
  if (role_ == Role::kLeader) {
    const std::optional<TimePoint> end = LeaseEnd(now_);
    return end && now_ < *end;
  }
  return now_ - last_leader_contact_ < settings_.election_timeout_min;
}

void Replica::OnVoteRequest(const Message& message,
                            const VoteRequest& request) {
  VoteResponse response;
  response.pre_vote = request.pre_vote;
  response.request_term = message.term;
  // The leader's lease relies on the voters that answered it not voting for
  // another replica before election_timeout_min has passed.
  const bool withholds_vote = LeaderMayHoldLease() && !request.transfer;
  if (withholds_vote && !request.pre_vote)
    return;
  const bool up_to_date = request.last_term > log_.last_term() ||
                          (request.last_term == log_.last_term() &&
                           request.last_index >= log_.last_index());
  if (request.pre_vote) {
    response.granted =
        !withholds_vote && up_to_date && message.term > hard_state_.term;
    SendWhenSynced(message.from, response);
    return;
  }
  if (message.term > hard_state_.term)
    BecomeFollower(message.term, {});
  const bool vote_available =
      hard_state_.voted_for.empty() || hard_state_.voted_for == message.from;
  response.granted =
      message.term == hard_state_.term && vote_available && up_to_date;
  if (response.granted && hard_state_.voted_for.empty()) {
    hard_state_.voted_for = message.from;
    persist_queue_.OnHardStateChanged(hard_state_.term);
    ResetElectionTimer();
  }
  SendWhenSynced(message.from, response);
}

void Replica::OnVoteResponse(const Message& message,
                             const VoteResponse& response) {
  if (!response.granted)
    return;
  if (response.pre_vote) {
    if (role_ != Role::kPreCandidate ||
        response.request_term != hard_state_.term + 1) {
      return;
    }
    votes_.insert(message.from);
    if (HasQuorumOfVotes())
      StartElection(false);
    return;
  }
  if (role_ != Role::kCandidate || response.request_term != hard_state_.term)
    return;
  votes_.insert(message.from);
  CountVotes();
}

void Replica::OnTimeoutNow() {
  if (role_ != Role::kLeader && members().IsVoter(identity_.replica))
    StartElection(true);
}

void Replica::StartPreVote() {
  role_ = Role::kPreCandidate;
  leader_hint_ = {};
  votes_ = {identity_.replica};
  ResetElectionTimer();
  if (HasQuorumOfVotes()) {
    StartElection(false);
    return;
  }
  for (const ReplicaId& it : members().voters) {
    if (it == identity_.replica)
      continue;
    Message message = MakeMessage(
        it, VoteRequest{true, false, log_.last_index(), log_.last_term()});
    message.term = hard_state_.term + 1;
    commands_.emplace_back(SendMessage{std::move(message)});
  }
}

void Replica::StartElection(bool transfer) {
  role_ = Role::kCandidate;
  leader_hint_ = {};
  votes_.clear();
  ++hard_state_.term;
  hard_state_.voted_for = identity_.replica;
  persist_queue_.OnHardStateChanged(hard_state_.term);
  own_vote_token_ = persist_queue_.CoveringToken();
  snapshot_receiver_.Reset();
  ResetElectionTimer();
  for (const ReplicaId& it : members().voters) {
    if (it != identity_.replica) {
      SendWhenSynced(it, VoteRequest{false, transfer, log_.last_index(),
                                     log_.last_term()});
    }
  }
}

void Replica::CountVotes() {
  if (role_ != Role::kCandidate)
    return;
  if (persist_queue_.synced_token() >= own_vote_token_)
    votes_.insert(identity_.replica);
  if (HasQuorumOfVotes())
    BecomeLeader();
}

void Replica::BecomeLeader() {
  role_ = Role::kLeader;
  leader_hint_ = identity_.replica;
  leader_.emplace(identity_.replica, now_, log_.last_index() + 1);
  leader_->SetMembership(log_.membership(), log_.last_index());
  uncommitted_bytes_ = 0;
  for (LogIndex it = commit_index_ + 1; it <= log_.last_index(); ++it)
    uncommitted_bytes_ += log_.At(it).payload.size();
  // A leader can commit entries of older terms only together with an entry of
  // its own term.
  AppendToLog(LogEntry{});
}

void Replica::BecomeFollower(Term term, const ReplicaId& leader) {
  if (term > hard_state_.term) {
    hard_state_.term = term;
    hard_state_.voted_for = {};
    persist_queue_.OnHardStateChanged(term);
    snapshot_receiver_.Reset();
  }
  if (role_ == Role::kLeader) {
    for (const PendingRead& it : leader_->reads)
      commands_.emplace_back(ReadBarrierDone{it.token, false});
    leader_.reset();
    ResetElectionTimer();
  }
  role_ = Role::kFollower;
  leader_hint_ = leader;
}

void Replica::ResetElectionTimer() {
  election_due_ = now_ + random_.Between(settings_.election_timeout_min,
                                         settings_.election_timeout_max);
}

bool Replica::HasQuorumOfVotes() const {
  const std::vector<ReplicaId>& voters = members().voters;
  const auto n = std::count_if(
      voters.begin(), voters.end(),
      [this](const ReplicaId& it) { return votes_.contains(it); });
  return static_cast<std::size_t>(n) > voters.size() / 2;
}

}  // namespace briarlead::consensus
