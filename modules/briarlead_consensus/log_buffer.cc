#include "briarlead_consensus/log_buffer.h"

#include <algorithm>
#include <utility>

namespace briarlead::consensus {

LogBuffer::LogBuffer(std::shared_ptr<const Snapshot> snapshot,
                     std::vector<LogEntry> entries)
    : snapshot_(std::move(snapshot)) {
  if (snapshot_) {
    base_index_ = snapshot_->index;
    base_term_ = snapshot_->term;
    memberships_ = {{snapshot_->index, snapshot_->membership}};
  }
  for (LogEntry& it : entries) {
    if (it.index > base_index_)
      Append(std::move(it));
  }
}

std::optional<Term> LogBuffer::TermAt(LogIndex index) const {
  if (index == base_index_)
    return base_term_;
  if (index < base_index_ || index > last_index())
    return std::nullopt;
  return At(index).term;
}

const LogEntry& LogBuffer::At(LogIndex index) const {
  return entries_[index - base_index_ - 1];
}

std::vector<LogEntry> LogBuffer::Slice(LogIndex from,
                                       std::size_t max_entries,
                                       std::size_t max_bytes) const {
  std::vector<LogEntry> slice;
  std::size_t bytes = 0;
  for (LogIndex it = from; it <= last_index(); ++it) {
    const LogEntry& entry = At(it);
    bytes += entry.payload.size();
    if (!slice.empty() && (slice.size() >= max_entries || bytes > max_bytes))
      break;
    slice.push_back(entry);
  }
  return slice;
}

std::vector<LogEntry> LogBuffer::EntriesFrom(LogIndex from) const {
  const LogIndex first = std::max(from, base_index_ + 1);
  if (first > last_index())
    return {};
  const auto begin =
      entries_.begin() + static_cast<std::ptrdiff_t>(first - base_index_ - 1);
  return {begin, entries_.end()};
}

LogIndex LogBuffer::FirstIndexOfTermAt(LogIndex index) const {
  const Term term = *TermAt(index);
  while (index > base_index_ + 1 && At(index - 1).term == term)
    --index;
  return index;
}

LogIndex LogBuffer::LastIndexWithTermAtMost(LogIndex index, Term term) const {
  index = std::min(index, last_index());
  while (index > base_index_ && At(index).term > term)
    --index;
  return index;
}

void LogBuffer::Append(LogEntry entry) {
  if (entry.kind == EntryKind::kMembership)
    memberships_.push_back({entry.index, entry.membership});
  entries_.push_back(std::move(entry));
}

void LogBuffer::TruncateFrom(LogIndex from) {
  while (last_index() >= from && !entries_.empty())
    entries_.pop_back();
  while (memberships_.size() > 1 && memberships_.back().index >= from)
    memberships_.pop_back();
}

void LogBuffer::Compact(std::shared_ptr<const Snapshot> snapshot,
                        std::size_t trailing_entries) {
  snapshot_ = std::move(snapshot);
  if (snapshot_->index > base_index_ + trailing_entries)
    DropEntriesThrough(snapshot_->index - trailing_entries);
}

bool LogBuffer::Install(std::shared_ptr<const Snapshot> snapshot) {
  snapshot_ = std::move(snapshot);
  if (TermAt(snapshot_->index) == snapshot_->term) {
    DropEntriesThrough(snapshot_->index);
    return true;
  }
  entries_.clear();
  base_index_ = snapshot_->index;
  base_term_ = snapshot_->term;
  memberships_ = {{snapshot_->index, snapshot_->membership}};
  return false;
}

const Membership& LogBuffer::MembershipAt(LogIndex index) const {
  auto it = memberships_.end() - 1;
  while (it != memberships_.begin() && it->index > index)
    --it;
  return it->membership;
}

void LogBuffer::DropEntriesThrough(LogIndex index) {
  while (base_index_ < index && !entries_.empty()) {
    base_term_ = entries_.front().term;
    ++base_index_;
    entries_.pop_front();
  }
  while (memberships_.size() > 1 && memberships_[1].index <= base_index_)
    memberships_.erase(memberships_.begin());
}

}  // namespace briarlead::consensus
