#ifndef BRIARLEAD_STATE_STATE_MACHINE_H_
#define BRIARLEAD_STATE_STATE_MACHINE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "briarlead_claims/claim_table.h"
#include "briarlead_core/error.h"
#include "briarlead_state/list_store.h"
#include "briarlead_state/order_table.h"
#include "briarlead_state/route_store.h"
#include "briarlead_state/state_command.h"

namespace briarlead {

/// The outcome of an AdvanceClock.
struct ClockAdvanced {
  std::uint64_t now_ms = 0;

  friend bool operator==(const ClockAdvanced&, const ClockAdvanced&) = default;
};

/// The outcome of a ReportHostDead.
struct HostDeadResult {
  HostId host;
  std::uint64_t claims_unknown = 0;  ///< Number of claims set to unknown.

  friend bool operator==(const HostDeadResult&,
                         const HostDeadResult&) = default;
};

/// The entry was not applied: it can't be decoded, or was applied before.
struct CommandRejected {
  Error error;

  friend bool operator==(const CommandRejected&,
                         const CommandRejected&) = default;
};

/// The outcome of one command. After CommandRejected, the alternatives are in
/// the order of StateCommandBody.
using StateOutcome = std::variant<CommandRejected,
                                  ClockAdvanced,
                                  ApplyListsResult,
                                  BeginResult,
                                  FinishResult,
                                  HostDeadResult,
                                  BecomeOrderIssuerResult,
                                  IssueOrderResult,
                                  FinishOrderResult,
                                  ReplaceRoutesResult>;

/// Limits of a StateMachine. They must be the same on every replica.
struct StateLimits {
  ClaimLimits claims;
  std::size_t max_retained_changes = ListStore::kMaxRetainedChanges;
};

/// The replicated state machine: lists, routes, claims and engine orders. The
/// same commands in the same order produce the same state and the same outcomes
/// on every replica. It does no I/O, uses no randomness, and takes the time
/// only from the commands.
class StateMachine {
 public:
  explicit StateMachine(const StateLimits& limits = {});

  /// Applies the log entry at `index`. An index that was applied before is
  /// rejected and changes nothing.
  StateOutcome Apply(std::uint64_t index, std::string_view command);

  /// Serialises the whole state.
  [[nodiscard]] std::string EncodeSnapshot() const;

  /// Replaces the whole state by a snapshot. Error: kCorrupt; the state is then
  /// unchanged.
  Result<void> RestoreSnapshot(std::string_view bytes);

  /// Returns the index of the last applied entry.
  [[nodiscard]] std::uint64_t applied_index() const { return applied_index_; }
  /// Returns the replicated clock, in milliseconds. It starts at zero with the
  /// first command.
  [[nodiscard]] std::uint64_t now_ms() const { return now_ms_; }
  [[nodiscard]] const ListStore& lists() const { return lists_; }
  [[nodiscard]] const ClaimTable& claims() const { return claims_; }
  [[nodiscard]] const OrderTable& orders() const { return orders_; }
  [[nodiscard]] const RouteStore& routes() const { return routes_; }

 private:
  /// Advances the replicated clock by the time since the last command of the
  /// same term.
  void Advance(const LeaderTime& time);
  StateOutcome ApplyBody(const AdvanceClock& body);
  StateOutcome ApplyBody(const ApplyLists& body);
  StateOutcome ApplyBody(const BeginClaim& body);
  StateOutcome ApplyBody(const FinishClaim& body);
  StateOutcome ApplyBody(const ReportHostDead& body);
  StateOutcome ApplyBody(const BecomeOrderIssuer& body);
  StateOutcome ApplyBody(const IssueOrder& body);
  StateOutcome ApplyBody(const FinishOrder& body);
  StateOutcome ApplyBody(const ReplaceRoutes& body);

  StateLimits limits_;
  std::uint64_t applied_index_ = 0;
  std::uint64_t now_ms_ = 0;
  LeaderTime last_time_;
  ListStore lists_;
  ClaimTable claims_;
  OrderTable orders_;
  RouteStore routes_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_STATE_STATE_MACHINE_H_
