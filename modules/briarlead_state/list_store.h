#ifndef BRIARLEAD_STATE_LIST_STORE_H_
#define BRIARLEAD_STATE_LIST_STORE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

#include "briarlead_claims/content_digest.h"
#include "briarlead_core/error.h"
#include "briarlead_state/state_command.h"

namespace briarlead {

/// The two lists that are in force, and their revisions.
struct ListsInForce {
  /// Number of accepted changes. A change names the revision that it is based
  /// on.
  std::uint64_t revision = 0;
  /// Revision that last changed the list of customers.
  std::uint64_t customers_revision = 0;
  /// Revision that last changed the list of plans.
  std::uint64_t plans_revision = 0;
  std::string customers;
  std::string plans;

  friend bool operator==(const ListsInForce&, const ListsInForce&) = default;
};

/// An accepted change, as reported to operators.
struct AcceptedChange {
  std::uint64_t revision = 0;  ///< Revision that the change produced.
  std::string operator_name;
  std::uint64_t submitted_wall_ms = 0;

  friend bool operator==(const AcceptedChange&,
                         const AcceptedChange&) = default;
};

/// The decision on an ApplyLists.
enum class ApplyVerdict : std::uint8_t {
  kAccepted,  ///< Accepted now, or earlier if the change is a resend.
  kConflict,  ///< Another change with the same base revision was accepted.
  kInvalid,   ///< Contains no list, or a field that is too long.
  /// The change that was based on this revision is no longer retained. Not
  /// applied now, but possibly applied earlier.
  kTooOld,
};
inline constexpr ApplyVerdict kLastApplyVerdict = ApplyVerdict::kTooOld;

/// The outcome of an ApplyLists.
struct ApplyListsResult {
  ApplyVerdict verdict = ApplyVerdict::kInvalid;
  /// For kAccepted the change itself, for kConflict the one that was accepted
  /// instead.
  AcceptedChange change;
  std::uint64_t current_revision = 0;

  friend bool operator==(const ApplyListsResult&,
                         const ApplyListsResult&) = default;
};

/// The replicated lists. Both share one revision, and a change is a
/// compare-and-set on it, because each list is validated against the other.
/// Deterministic.
///
/// Exactly one accepted change is based on each revision, so the retained
/// changes are indexed by base revision. The entry there shows whether a change
/// is a resend or conflicts with another one, and with which. A change can't be
/// applied twice even when it is no longer retained, since a base revision
/// never becomes current again.
class ListStore {
 public:
  /// Number of accepted changes that are retained: enough for eight days at
  /// 31,000 changes a day.
  static constexpr std::size_t kMaxRetainedChanges = 262'144;

  /// `max_retained` must be the same on every replica.
  explicit ListStore(std::size_t max_retained = kMaxRetainedChanges);

  /// Applies the change if it is accepted.
  ApplyListsResult Apply(const ApplyLists& change);

  /// Returns the lists in force.
  [[nodiscard]] const ListsInForce& in_force() const { return in_force_; }

  /// Returns the number of accepted changes that are retained.
  [[nodiscard]] std::size_t retained() const { return accepted_.size(); }

  /// Serialises the whole store.
  [[nodiscard]] std::string EncodeSnapshot() const;
  /// Replaces the whole store by a snapshot. Error: kCorrupt; the store is then
  /// unchanged.
  Result<void> RestoreSnapshot(std::string_view bytes);

 private:
  /// An accepted change. Its position in `accepted_` determines its revision.
  struct RetainedChange {
    ContentDigest identity;
    std::string operator_name;
    std::uint64_t submitted_wall_ms = 0;
  };

  template <typename Archive>
  friend void serialize(Archive& archive, RetainedChange& it) {
    archive(it.identity, it.operator_name, it.submitted_wall_ms);
  }
  template <typename Archive>
  friend void serialize(Archive& archive, ListStore& it) {
    archive(it.in_force_);
    SerializeEach(archive, it.accepted_);
  }

  void Accept(const ApplyLists& change, const ContentDigest& identity);
  /// Returns the retained change that is based on `revision`.
  [[nodiscard]] AcceptedChange ChangeBasedOn(std::uint64_t revision) const;
  [[nodiscard]] std::uint64_t OldestRetainedBase() const {
    return in_force_.revision - accepted_.size();
  }

  std::size_t max_retained_;
  ListsInForce in_force_;
  std::deque<RetainedChange> accepted_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_STATE_LIST_STORE_H_
