#ifndef BRIARLEAD_STATE_CONTROL_MESSAGE_H_
#define BRIARLEAD_STATE_CONTROL_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "briarlead_claims/claim_messages.h"
#include "briarlead_core/error.h"
#include "briarlead_core/findings.h"
#include "briarlead_core/identifiers.h"
#include "briarlead_state/list_store.h"
#include "briarlead_state/state_command.h"
#include "briarlead_state/state_machine.h"

namespace briarlead {

/// Longest encoded control message, in bytes.
inline constexpr std::size_t kMaxControlMessageBytes =
    2 * kMaxStoredListBytes + 64UL * 1024;

/// Asks where the claim of a key stands.
struct ReadClaim {
  ClaimKey key;
  friend bool operator==(const ReadClaim&, const ReadClaim&) = default;
};

/// Asks where lists of at least `revision` are in force.
struct ReadReach {
  std::uint64_t revision = 0;
  friend bool operator==(const ReadReach&, const ReadReach&) = default;
};

/// Asks for the lists in force.
struct ReadLists {
  friend bool operator==(const ReadLists&, const ReadLists&) = default;
};

/// Asks for a ControlStatus.
struct ReadStatus {
  friend bool operator==(const ReadStatus&, const ReadStatus&) = default;
};

/// Says which lists a host serves on, and asks for newer ones now and when
/// they come. Sent at the start and as a heartbeat.
struct ListsHeartbeat {
  HostId host;
  DataCentreId data_centre;
  std::uint64_t incarnation = 0;
  std::uint64_t revision = 0;  ///< In force on the host; zero for none.
  friend bool operator==(const ListsHeartbeat&,
                         const ListsHeartbeat&) = default;
};

using ControlRequestBody = std::variant<ApplyLists,
                                        BeginClaim,
                                        FinishClaim,
                                        ReportHostDead,
                                        ReadClaim,
                                        ReadReach,
                                        ReadLists,
                                        ReadStatus,
                                        ListsHeartbeat>;

/// A question to a control process.
struct ControlRequest {
  std::uint64_t number = 0;  ///< The asker's own; the answer bears it.
  ControlRequestBody body;
  friend bool operator==(const ControlRequest&,
                         const ControlRequest&) = default;
};

/// Where a claim stands.
struct ClaimStatus {
  ClaimState state = ClaimState::kUnclaimed;
  friend bool operator==(const ClaimStatus&, const ClaimStatus&) = default;
};

/// How far a revision came in one data centre.
struct DataCentreReach {
  DataCentreId data_centre;
  std::uint32_t hosts_known = 0;     ///< Heard of lately or some time ago.
  std::uint32_t hosts_heard = 0;     ///< Heard of lately.
  std::uint32_t hosts_in_force = 0;  ///< Of those, serving the revision.
  /// Every host heard of lately serves the revision, and there is one.
  bool reached = false;
  friend bool operator==(const DataCentreReach&,
                         const DataCentreReach&) = default;
};

/// How far a revision came, by data centre in order of name.
struct ReachReport {
  std::uint64_t revision = 0;
  std::vector<DataCentreReach> data_centres;
  friend bool operator==(const ReachReport&, const ReachReport&) = default;
};

/// A control process's own account.
struct ControlStatus {
  HostId host;
  HostId leader;  ///< Empty when none is known.
  std::uint64_t term = 0;
  bool is_leader = false;
  std::uint64_t applied_index = 0;
  std::uint64_t lists_revision = 0;
  std::uint64_t claims = 0;
  std::uint64_t claims_in_progress = 0;
  std::uint64_t claim_bytes = 0;
  std::uint64_t open_orders = 0;
  std::uint64_t last_fencing = 0;
  std::uint64_t replicated_clock_ms = 0;
  friend bool operator==(const ControlStatus&, const ControlStatus&) = default;
};

/// Why a question got no answer.
enum class RefusalReason : std::uint8_t {
  kNotLeader,     ///< Ask the leader, if one is named.
  kBusy,          ///< Too many questions wait.
  kUnavailable,   ///< No majority, or leadership was lost meanwhile.
  kInvalidLists,  ///< The lists have findings; nothing was changed.
};
inline constexpr RefusalReason kLastRefusalReason =
    RefusalReason::kInvalidLists;

/// The question got no answer. Asking again with the same contents is safe:
/// every command is recognised when it comes a second time.
struct RequestRefused {
  RefusalReason reason = RefusalReason::kUnavailable;
  bool may_have_committed = false;
  HostId leader;                  ///< Empty when none is known.
  std::vector<Finding> findings;  ///< For kInvalidLists.
  friend bool operator==(const RequestRefused&,
                         const RequestRefused&) = default;
};

using ControlAnswerBody = std::variant<RequestRefused,
                                       ApplyListsResult,
                                       BeginResult,
                                       FinishResult,
                                       HostDeadResult,
                                       ClaimStatus,
                                       ReachReport,
                                       ListsInForce,
                                       ControlStatus>;

/// The answer to a question; lists that are pushed bear number zero.
struct ControlAnswer {
  std::uint64_t number = 0;
  ControlAnswerBody body;
  friend bool operator==(const ControlAnswer&, const ControlAnswer&) = default;
};

using ControlMessage = std::variant<ControlRequest, ControlAnswer>;

/// Returns the bytes of `message` for a frame.
std::string EncodeControlMessage(const ControlMessage& message);

/// Reads what EncodeControlMessage() gave; kTooLarge or kCorrupt otherwise.
Result<ControlMessage> DecodeControlMessage(std::string_view bytes);

}  // namespace briarlead

#endif  // BRIARLEAD_STATE_CONTROL_MESSAGE_H_
