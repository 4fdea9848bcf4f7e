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

/// The in-memory log of one replica: the latest snapshot, a number of entries
/// before its end, all entries after it, and the memberships that they set.
class LogBuffer {
 public:
  /// Starts from the state that a store recovered. `snapshot` may be null.
  LogBuffer(std::shared_ptr<const Snapshot> snapshot,
            std::vector<LogEntry> entries);

  /// Returns the index before the first entry that the buffer still has.
  [[nodiscard]] LogIndex base_index() const { return base_index_; }
  [[nodiscard]] LogIndex last_index() const {
    return base_index_ + entries_.size();
  }
  [[nodiscard]] Term last_term() const { return *TermAt(last_index()); }
  [[nodiscard]] const std::shared_ptr<const Snapshot>& snapshot() const {
    return snapshot_;
  }

  /// Returns the term of the entry at `index`; also known for base_index().
  /// Nullopt when `index` is outside the buffer.
  [[nodiscard]] std::optional<Term> TermAt(LogIndex index) const;

  /// Returns the entry at `index`, which must be in the buffer.
  [[nodiscard]] const LogEntry& At(LogIndex index) const;

  /// Returns entries from `from` on, up to the limits. The first entry is
  /// returned even if it exceeds them.
  [[nodiscard]] std::vector<LogEntry> Slice(LogIndex from,
                                            std::size_t max_entries,
                                            std::size_t max_bytes) const;

  /// Returns every entry from `from` on.
  [[nodiscard]] std::vector<LogEntry> EntriesFrom(LogIndex from) const;

  /// Returns the lowest index in the buffer such that all entries from it up to
  /// `index` have the same term.
  [[nodiscard]] LogIndex FirstIndexOfTermAt(LogIndex index) const;

  /// Returns the highest index that is at most `index` and whose entry's term
  /// is at most `term`; base_index() if no entry qualifies.
  [[nodiscard]] LogIndex LastIndexWithTermAtMost(LogIndex index,
                                                 Term term) const;

  /// Appends an entry, whose index must be last_index() + 1.
  void Append(LogEntry entry);

  /// Removes every entry from `from` on.
  void TruncateFrom(LogIndex from);

  /// Replaces the snapshot by `snapshot`, whose last entry must be in the
  /// buffer, and drops all entries before the last `trailing_entries` that it
  /// covers.
  void Compact(std::shared_ptr<const Snapshot> snapshot,
               std::size_t trailing_entries);

  /// Installs a leader's snapshot. If the log contains the snapshot's last
  /// entry, the entries after it are kept, otherwise all are dropped. Returns
  /// whether the log contained that entry.
  bool Install(std::shared_ptr<const Snapshot> snapshot);

  /// Returns the membership set by the latest membership entry, whether or not
  /// it is committed.
  [[nodiscard]] const Membership& membership() const {
    return memberships_.back().membership;
  }
  /// Returns the index of the entry that set membership().
  [[nodiscard]] LogIndex membership_index() const {
    return memberships_.back().index;
  }
  /// Returns the membership in effect at `index`.
  [[nodiscard]] const Membership& MembershipAt(LogIndex index) const;

 private:
  struct MembershipRecord {
    LogIndex index = 0;
    Membership membership;
  };

  void DropEntriesThrough(LogIndex index);

  std::shared_ptr<const Snapshot> snapshot_;
  LogIndex base_index_ = 0;
  Term base_term_ = 0;
  std::deque<LogEntry> entries_;
  std::vector<MembershipRecord> memberships_{{}};
};

}  // namespace briarlead::consensus

#endif  // BRIARLEAD_CONSENSUS_LOG_BUFFER_H_
