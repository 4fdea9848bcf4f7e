#ifndef BRIARLEAD_CONSENSUS_LOG_BUFFER_H_
#define BRIARLEAD_CONSENSUS_LOG_BUFFER_H_

#include <cstddef>
#include <deque>
#include <memory>
#include <optional>
#include <span>
#include <vector>

#include "briarlead_consensus/consensus_types.h"

namespace briarlead::consensus {

/// The log of one replica in memory: the latest snapshot and the entries behind
/// and after it, with the memberships that they set.
class LogBuffer {
 public:
  /// Starts from what a store recovered.
  LogBuffer(std::shared_ptr<const Snapshot> snapshot,
            std::vector<LogEntry> entries);

  /// Returns the index before the first entry that is still here.
  [[nodiscard]] LogIndex base_index() const { return base_index_; }
  [[nodiscard]] LogIndex last_index() const {
    return base_index_ + entries_.size();
  }
  [[nodiscard]] Term last_term() const { return *TermAt(last_index()); }
  [[nodiscard]] const std::shared_ptr<const Snapshot>& snapshot() const {
    return snapshot_;
  }

  /// Returns the term of the entry at `index`; nullopt when it isn't here.
  [[nodiscard]] std::optional<Term> TermAt(LogIndex index) const;

  /// Returns the entry at `index`, which must be here.
  [[nodiscard]] const LogEntry& At(LogIndex index) const;

  /// Returns entries from `from` on, at least one and at most as many as the
  /// bounds allow.
  [[nodiscard]] std::vector<LogEntry> Slice(LogIndex from,
                                            std::size_t max_entries,
                                            std::size_t max_bytes) const;

  /// Returns every entry from `from` on.
  [[nodiscard]] std::vector<LogEntry> EntriesFrom(LogIndex from) const;

  /// Returns the lowest index of the run of entries of one term that ends at
  /// `index`, as far as it is here.
  [[nodiscard]] LogIndex FirstIndexOfTermAt(LogIndex index) const;

  /// Returns the highest index at or below `index` whose term is at most
  /// `term`.
  [[nodiscard]] LogIndex LastIndexOfTerm(LogIndex index, Term term) const;

  /// Adds an entry; its index must follow the last one.
  void Append(LogEntry entry);

  /// Removes every entry from `from` on.
  void TruncateFrom(LogIndex from);

  /// Takes `snapshot`, whose last entry is here, and drops entries more than
  /// `kept_behind` before its end.
  void Compact(std::shared_ptr<const Snapshot> snapshot,
               std::size_t kept_behind);

  /// Replaces the log by a leader's snapshot. Entries after it stay when the
  /// log holds its last entry.
  /// Returns whether it did.
  bool Install(std::shared_ptr<const Snapshot> snapshot);

  /// Returns the members by the latest entry that sets them.
  [[nodiscard]] const Membership& membership() const {
    return memberships_.back().membership;
  }
  /// Returns the index of the entry that set membership().
  [[nodiscard]] LogIndex membership_index() const {
    return memberships_.back().index;
  }
  /// Returns the members as of `index`.
  [[nodiscard]] const Membership& MembershipAt(LogIndex index) const;

 private:
  struct MembershipChange {
    LogIndex index = 0;
    Membership membership;
  };

  void DropEntriesTo(LogIndex index);

  std::shared_ptr<const Snapshot> snapshot_;
  LogIndex base_index_ = 0;
  Term base_term_ = 0;
  std::deque<LogEntry> entries_;
  std::vector<MembershipChange> memberships_{{}};
};

}  // namespace briarlead::consensus

#endif  // BRIARLEAD_CONSENSUS_LOG_BUFFER_H_
