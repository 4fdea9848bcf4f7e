#include "briarlead_consensus/peer_progress.h"

#include <algorithm>
#include <utility>

namespace briarlead::consensus {

bool PeerProgress::MaySend(std::size_t max_in_flight) const {
  if (mode_ == ReplicationMode::kReplicate)
    return in_flight_.size() < max_in_flight;
  return !awaiting_response_;
}

void PeerProgress::OnContact(TimePoint sent_at) {
  if (!contact_ || *contact_ < sent_at)
    contact_ = sent_at;
}

void PeerProgress::OnSent(LogIndex last, LogIndex commit_index) {
  sent_commit_ = commit_index;
  if (mode_ != ReplicationMode::kReplicate) {
    awaiting_response_ = true;
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
  if (mode_ == ReplicationMode::kSnapshot && match_ < snapshot_->index)
    return;
  mode_ = ReplicationMode::kReplicate;
  snapshot_.reset();
  awaiting_response_ = false;
}

void PeerProgress::OnRejected(LogIndex prev_index, LogIndex retry_from) {
  if (mode_ == ReplicationMode::kSnapshot || prev_index <= match_)
    return;
  if (mode_ == ReplicationMode::kProbe && prev_index != next_ - 1)
    return;
  next_ = std::max(match_ + 1, std::min(retry_from, prev_index));
  mode_ = ReplicationMode::kProbe;
  awaiting_response_ = false;
  in_flight_.clear();
}

void PeerProgress::StartSnapshot(std::shared_ptr<const Snapshot> snapshot) {
  mode_ = ReplicationMode::kSnapshot;
  snapshot_ = std::move(snapshot);
  snapshot_offset_ = 0;
  awaiting_response_ = false;
  in_flight_.clear();
}

void PeerProgress::OnSnapshotProgress(LogIndex index,
                                      std::uint64_t next_offset) {
  // A response with the same offset is a duplicate and must not trigger another
  // chunk. A lost chunk is sent again with the next heartbeat.
  if (!snapshot_ || snapshot_->index != index ||
      next_offset == snapshot_offset_) {
    return;
  }
  snapshot_offset_ = next_offset;
  awaiting_response_ = false;
}

}  // namespace briarlead::consensus
