#ifndef BRIARLEAD_STATE_STATE_COMMAND_H_
#define BRIARLEAD_STATE_STATE_COMMAND_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "briarlead_claims/claim_messages.h"
#include "briarlead_core/error.h"
#include "briarlead_state/engine_order.h"

namespace briarlead {

/// Maximum size of each of the two lists, in bytes.
inline constexpr std::size_t kMaxStoredListBytes = 2UL * 1024 * 1024;
/// Maximum length of an operator name and of a change id, in bytes.
inline constexpr std::size_t kMaxOperatorTextBytes = 128;
/// Maximum size of an encoded command, in bytes.
inline constexpr std::size_t kMaxCommandBytes = 2 * kMaxStoredListBytes + 4096;

/// The monotonic time of the leader that proposes a command. The replicated
/// clock only adds up differences between two times of the same term. It
/// therefore never runs ahead of real time and doesn't depend on synchronised
/// clocks between hosts.
struct LeaderTime {
  std::uint64_t term = 0;        ///< Term of the leader.
  std::uint64_t elapsed_ms = 0;  ///< Reading of the leader's monotonic clock.

  friend bool operator==(const LeaderTime&, const LeaderTime&) = default;
};

/// Advances the replicated clock and expires the claims that are due.
struct AdvanceClock {
  friend bool operator==(const AdvanceClock&, const AdvanceClock&) = default;
};

/// Replaces one list or both, provided that `base_revision` is the current
/// revision.
struct ApplyLists {
  std::uint64_t base_revision = 0;
  std::optional<std::string> customers;
  std::optional<std::string> plans;
  std::string operator_name;
  /// Distinguishes changes that are otherwise equal; may be empty.
  std::string change_id;
  /// Wall-clock time on the operator's machine, for display only.
  std::uint64_t submitted_wall_ms = 0;

  friend bool operator==(const ApplyLists&, const ApplyLists&) = default;
};

/// Replaces the list of routes, provided that `version` is higher than the
/// current version.
struct ReplaceRoutes {
  std::uint64_t version = 0;
  std::string text;

  friend bool operator==(const ReplaceRoutes&, const ReplaceRoutes&) = default;
};

using StateCommandBody = std::variant<AdvanceClock,
                                      ApplyLists,
                                      BeginClaim,
                                      FinishClaim,
                                      ReportHostDead,
                                      BecomeOrderIssuer,
                                      IssueOrder,
                                      FinishOrder,
                                      ReplaceRoutes>;

/// The payload of one entry of the replicated log.
struct StateCommand {
  LeaderTime time;
  StateCommandBody body;

  friend bool operator==(const StateCommand&, const StateCommand&) = default;
};

/// Serialises `command` for the replicated log.
std::string EncodeStateCommand(const StateCommand& command);

/// Parses the output of EncodeStateCommand(). Errors: kTooLarge, kCorrupt.
Result<StateCommand> DecodeStateCommand(std::string_view bytes);

}  // namespace briarlead

#endif  // BRIARLEAD_STATE_STATE_COMMAND_H_
