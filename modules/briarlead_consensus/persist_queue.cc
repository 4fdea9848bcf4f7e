#include "briarlead_consensus/persist_queue.h"

#include <algorithm>
#include <utility>

namespace briarlead::consensus {

void PersistQueue::OnHardStateChanged(Term term) {
  hard_state_dirty_ = true;
  std::erase_if(held_messages_, [term](const HeldMessage& it) {
    return it.message.term < term;
  });
}

void PersistQueue::OnAppended(LogIndex index) {
  dirty_from_ = dirty_from_ == 0 ? index : std::min(dirty_from_, index);
}

void PersistQueue::OnTruncated(LogIndex from) {
  synced_index_ = std::min(synced_index_, from - 1);
  issued_last_index_ = std::min(issued_last_index_, from - 1);
  truncate_from_ = truncate_from_ == 0 ? from : std::min(truncate_from_, from);
  if (dirty_from_ > from)
    dirty_from_ = from;
}

void PersistQueue::OnSnapshot(std::shared_ptr<const Snapshot> snapshot,
                              bool log_kept) {
  snapshot_ = std::move(snapshot);
  if (log_kept)
    return;
  synced_index_ = 0;
  issued_last_index_ = 0;
}

PersistToken PersistQueue::CoveringToken() const {
  if (IsDirty())
    return issued_token_ + 1;
  return synced_token_ < issued_token_ ? issued_token_ : 0;
}

void PersistQueue::HoldUntilSynced(Message message) {
  held_messages_.push_back({CoveringToken(), std::move(message)});
}

std::optional<Persist> PersistQueue::TakePersist(const HardState& hard_state,
                                                 const LogBuffer& log) {
  if (!IsDirty() || synced_token_ < issued_token_)
    return std::nullopt;
  Persist persist;
  persist.token = ++issued_token_;
  persist.hard_state = hard_state;
  persist.truncate_from = truncate_from_;
  if (snapshot_) {
    persist.truncate_from = 0;
    persist.entries = log.EntriesFrom(snapshot_->index + 1);
    persist.snapshot = std::move(snapshot_);
  } else if (dirty_from_ != 0) {
    persist.entries = log.EntriesFrom(dirty_from_);
  }
  issued_last_index_ = log.last_index();
  hard_state_dirty_ = false;
  dirty_from_ = 0;
  truncate_from_ = 0;
  snapshot_.reset();
  return persist;
}

void PersistQueue::OnPersisted(PersistToken token) {
  if (token <= synced_token_ || token > issued_token_)
    return;
  synced_token_ = token;
  synced_index_ = std::max(synced_index_, issued_last_index_);
}

std::vector<Message> PersistQueue::TakeReleasedMessages() {
  std::vector<Message> released;
  while (!held_messages_.empty() &&
         held_messages_.front().token <= synced_token_) {
    released.push_back(std::move(held_messages_.front().message));
    held_messages_.pop_front();
  }
  return released;
}

bool PersistQueue::IsDirty() const {
  return hard_state_dirty_ || dirty_from_ != 0 || truncate_from_ != 0 ||
         snapshot_ != nullptr;
}

}  // namespace briarlead::consensus
