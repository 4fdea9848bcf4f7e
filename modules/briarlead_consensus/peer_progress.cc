#include "briarlead_consensus/peer_progress.h"

#include <algorithm>
#include <utility>

namespace briarlead::consensus {

bool PeerProgress::MaySend(std::size_t max_in_flight) const {
  if (mode_ == FeedMode::kReplicate)
    return in_flight_.size() < max_in_flight;
  return !awaiting_answer_;
}

void PeerProgress::OnContact(TimePoint sent_at) {
  if (!contact_ || *contact_ < sent_at)
    contact_ = sent_at;
}

void PeerProgress::OnSent(LogIndex last, LogIndex commit_index) {
  sent_commit_ = commit_index;
  if (mode_ != FeedMode::kReplicate) {
    awaiting_answer_ = true;
    return;
  }
  if (last < next_)
    return;
  next_ = last + 1;
  in_flight_.push_back(last);
}

void PeerProgress::OnAccepted(LogIndex match) {
  match_ = std::max(match_, match);
  next_ = std::max(next_, match_ + 1);
  while (!in_flight_.empty() && in_flight_.front() <= match_)
    in_flight_.pop_front();
  if (mode_ == FeedMode::kSnapshot && match_ < snapshot_->index)
    return;
  mode_ = FeedMode::kReplicate;
  snapshot_.reset();
  awaiting_answer_ = false;
}

void PeerProgress::OnRefused(LogIndex prev_index, LogIndex try_next) {
  if (mode_ == FeedMode::kSnapshot || prev_index <= match_)
    return;
  if (mode_ == FeedMode::kProbe && prev_index != next_ - 1)
    return;
  next_ = std::max(match_ + 1, std::min(try_next, prev_index));
  mode_ = FeedMode::kProbe;
  awaiting_answer_ = false;
  in_flight_.clear();
}

void PeerProgress::StartSnapshot(std::shared_ptr<const Snapshot> snapshot) {
  mode_ = FeedMode::kSnapshot;
  snapshot_ = std::move(snapshot);
  snapshot_offset_ = 0;
  awaiting_answer_ = false;
  in_flight_.clear();
}

void PeerProgress::OnSnapshotBytes(LogIndex index, std::uint64_t next_offset) {
  // An answer that brings nothing new is a doubled one: a lost chunk is sent
  // again with the next heartbeat.
  if (!snapshot_ || snapshot_->index != index ||
      next_offset == snapshot_offset_) {
    return;
  }
  snapshot_offset_ = next_offset;
  awaiting_answer_ = false;
}

}  // namespace briarlead::consensus
