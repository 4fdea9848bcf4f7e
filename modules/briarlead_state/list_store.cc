#include "briarlead_state/list_store.h"

#include <utility>

#include "briarlead_state/state_serialization.h"

namespace briarlead {
namespace {

bool IsWellFormed(const ApplyLists& change) {
  if (!change.customers && !change.plans)
    return false;
  return change.customers.value_or("").size() <= kMaxStoredListBytes &&
         change.plans.value_or("").size() <= kMaxStoredListBytes &&
         change.operator_name.size() <= kMaxOperatorTextBytes &&
         change.change_id.size() <= kMaxOperatorTextBytes;
}

/// Returns the digest that identifies a change. The operator and the change id
/// are part of it, so that two operators who submit the same contents make two
/// different changes.
ContentDigest IdentityOf(const ApplyLists& change) {
  const std::string base = std::to_string(change.base_revision);
  return DigestOf({base, change.customers ? "customers" : "",
                   change.customers.value_or(""), change.plans ? "plans" : "",
                   change.plans.value_or(""), change.operator_name,
                   change.change_id});
}

}  // namespace

ListStore::ListStore(std::size_t max_retained) : max_retained_(max_retained) {}

ApplyListsResult ListStore::Apply(const ApplyLists& change) {
  ApplyListsResult result;
  result.current_revision = in_force_.revision;
  if (!IsWellFormed(change))
    return result;
  const ContentDigest identity = IdentityOf(change);
  if (change.base_revision == in_force_.revision) {
    Accept(change, identity);
    result.verdict = ApplyVerdict::kAccepted;
    result.change = ChangeBasedOn(change.base_revision);
    result.current_revision = in_force_.revision;
    return result;
  }
  if (change.base_revision > in_force_.revision) {
    result.verdict = ApplyVerdict::kConflict;
    return result;
  }
  if (change.base_revision < OldestRetainedBase()) {
    result.verdict = ApplyVerdict::kTooOld;
    return result;
  }
  result.change = ChangeBasedOn(change.base_revision);
  const std::size_t offset = change.base_revision - OldestRetainedBase();
  result.verdict = accepted_[offset].identity == identity
                       ? ApplyVerdict::kAccepted
                       : ApplyVerdict::kConflict;
  return result;
}

void ListStore::Accept(const ApplyLists& change,
                       const ContentDigest& identity) {
  ++in_force_.revision;
  if (change.customers) {
    in_force_.customers = *change.customers;
    in_force_.customers_revision = in_force_.revision;
  }
  if (change.plans) {
    in_force_.plans = *change.plans;
    in_force_.plans_revision = in_force_.revision;
  }
  accepted_.push_back(
      {identity, change.operator_name, change.submitted_wall_ms});
  if (accepted_.size() > max_retained_)
    accepted_.pop_front();
}

AcceptedChange ListStore::ChangeBasedOn(std::uint64_t revision) const {
  const RetainedChange& change = accepted_[revision - OldestRetainedBase()];
  return {revision + 1, change.operator_name, change.submitted_wall_ms};
}

std::string ListStore::EncodeSnapshot() const {
  return EncodeBytes(*this);
}

Result<void> ListStore::RestoreSnapshot(std::string_view bytes) {
  BOOST_OUTCOME_TRY(ListStore restored, DecodeBytes<ListStore>(bytes));
  const ListsInForce& lists = restored.in_force_;
  const std::size_t retained = restored.accepted_.size();
  if (retained > lists.revision || retained > max_retained_ ||
      lists.customers_revision > lists.revision ||
      lists.plans_revision > lists.revision) {
    return Fail(ErrorCode::kCorrupt, "list revisions are inconsistent");
  }
  in_force_ = std::move(restored.in_force_);
  accepted_ = std::move(restored.accepted_);
  return outcome::success();
}

}  // namespace briarlead
