#ifndef BRIARLEAD_ACCOUNTS_KEY_LEASE_GRANT_H_
#define BRIARLEAD_ACCOUNTS_KEY_LEASE_GRANT_H_

namespace briarlead {

/// What a control host knows of its place in the control group at the time of
/// an answer.
struct LeaderState {
  bool leads = false;
  bool holds_lease = false;  ///< No other host can be leader now.
  /// An entry of the leader's own term is applied.
  bool has_applied_own_term = false;
};

/// Returns whether a control host may answer which list of routes is in force.
/// A new leader may not, until it has applied an entry of its own term: its
/// predecessor may have acknowledged a list that it hasn't applied yet.
constexpr bool MayGrantKeyLease(const LeaderState& state) {
  return state.leads && state.holds_lease && state.has_applied_own_term;
}

}  // namespace briarlead

#endif  // BRIARLEAD_ACCOUNTS_KEY_LEASE_GRANT_H_
