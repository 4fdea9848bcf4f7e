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

/// The two lists in force and their revisions.
struct ListsInForce {
  /// Counts accepted changes; the revision that a change is based on.
  std::uint64_t revision = 0;
  std::uint64_t customers_revision = 0;  ///< That last changed the customers.
  std::uint64_t plans_revision = 0;      ///< That last changed the plans.
  std::string customers;
  std::string plans;

  friend bool operator==(const ListsInForce&, const ListsInForce&) = default;
};

/// An accepted change, as the operators are told of it.
struct AcceptedChange {
  std::uint64_t revision = 0;  ///< That the change made.
  std::string operator_name;
  std::uint64_t submitted_wall_ms = 0;

  friend bool operator==(const AcceptedChange&,
                         const AcceptedChange&) = default;
};

/// The answer to an ApplyLists.
enum class ApplyVerdict : std::uint8_t {
  kAccepted,  ///< Now, or before when the change is a resend.
  kConflict,  ///< Another change was based on the same revision, and won.
  kInvalid,   ///< No list, or one that is too large.
  /// Based on a revision so old that its change is no longer remembered; not
  /// applied now, but it may have been then.
  kTooOld,
};
inline constexpr ApplyVerdict kLastApplyVerdict = ApplyVerdict::kTooOld;

/// What became of an ApplyLists.
struct ApplyListsResult {
  ApplyVerdict verdict = ApplyVerdict::kInvalid;
  /// For kAccepted the change itself, for kConflict the one that won.
  AcceptedChange change;
  std::uint64_t current_revision = 0;

  friend bool operator==(const ApplyListsResult&,
                         const ApplyListsResult&) = default;
};

/// The replicated lists: changed by compare and set on the combined revision,
/// since each list is checked against the other. Deterministic.
///
/// Each revision has exactly one change that was based on it, so the memory
/// of accepted changes is indexed by base revision: a resend finds itself
/// there, a rival finds who won. A change can't be applied twice even when it
/// is forgotten, since its base revision never comes back.
class ListStore {
 public:
  /// Accepted changes that are remembered: over eight days of 31,000 a day.
  static constexpr std::size_t kMaxRememberedChanges = 262'144;

  /// `max_remembered` must be the same on every replica.
  explicit ListStore(std::size_t max_remembered = kMaxRememberedChanges);

  /// Decides on a change and applies it when accepted.
  ApplyListsResult Apply(const ApplyLists& change);

  /// Returns the lists in force.
  [[nodiscard]] const ListsInForce& in_force() const { return in_force_; }

  /// Returns the number of accepted changes that are remembered.
  [[nodiscard]] std::size_t remembered() const { return accepted_.size(); }

  [[nodiscard]] std::string EncodeSnapshot() const;
  /// Replaces everything; on kCorrupt nothing is changed.
  Result<void> RestoreSnapshot(std::string_view snapshot);

 private:
  /// An accepted change; its place says which revision it made.
  struct Remembered {
    ContentDigest identity;
    std::string operator_name;
    std::uint64_t submitted_wall_ms = 0;
  };

  template <typename Archive>
  friend void serialize(Archive& archive, Remembered& it) {
    archive(it.identity, it.operator_name, it.submitted_wall_ms);
  }
  template <typename Archive>
  friend void serialize(Archive& archive, ListStore& it) {
    archive(it.in_force_);
    SerializeEach(archive, it.accepted_);
  }

  void Accept(const ApplyLists& change, const ContentDigest& identity);
  [[nodiscard]] AcceptedChange ChangeBasedOn(std::uint64_t revision) const;
  [[nodiscard]] std::uint64_t OldestRememberedBase() const {
    return in_force_.revision - accepted_.size();
  }

  std::size_t max_remembered_;
  ListsInForce in_force_;
  std::deque<Remembered> accepted_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_STATE_LIST_STORE_H_
