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

/// Maximum size of an encoded control message, in bytes.
inline constexpr std::size_t kMaxControlMessageBytes =
    2 * kMaxStoredListBytes + 64UL * 1024;

/// Requests the state of the claim with this key.
struct ReadClaim {
  ClaimKey key;
  friend bool operator==(const ReadClaim&, const ReadClaim&) = default;
};

/// Requests a ReachReport: where lists of at least `revision` are in force.
struct ReadReach {
  std::uint64_t revision = 0;
  friend bool operator==(const ReadReach&, const ReadReach&) = default;
};

/// Requests the lists in force.
struct ReadLists {
  friend bool operator==(const ReadLists&, const ReadLists&) = default;
};

/// Requests a ControlStatus.
struct ReadStatus {
  friend bool operator==(const ReadStatus&, const ReadStatus&) = default;
};

/// Reports which lists are in force on a host, and subscribes it to newer ones.
/// Sent when the host starts and then as a heartbeat.
struct ListsHeartbeat {
  HostId host;
  DataCentreId data_centre;
  std::uint64_t incarnation = 0;
  std::uint64_t revision = 0;  ///< In force on the host; zero without lists.
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

/// A request to a control process.
struct ControlRequest {
  std::uint64_t number = 0;  ///< Chosen by the sender; repeated in the answer.
  ControlRequestBody body;
  friend bool operator==(const ControlRequest&,
                         const ControlRequest&) = default;
};

/// The state of a claim.
struct ClaimStatus {
  ClaimState state = ClaimState::kUnclaimed;
  friend bool operator==(const ClaimStatus&, const ClaimStatus&) = default;
};

/// On how many hosts of one data centre a revision is in force.
struct DataCentreReach {
  DataCentreId data_centre;
  std::uint32_t hosts_known = 0;  ///< Including silent hosts.
  std::uint32_t hosts_heard = 0;  ///< Without silent hosts.
  std::uint32_t hosts_in_force =
      0;  ///< Of hosts_heard, with the revision in force.
  /// True when hosts_heard is not zero and the revision is in force on all of
  /// them.
  bool reached = false;
  friend bool operator==(const DataCentreReach&,
                         const DataCentreReach&) = default;
};

/// Where a revision is in force, by data centre and sorted by its name.
struct ReachReport {
  std::uint64_t revision = 0;
  std::vector<DataCentreReach> data_centres;
  friend bool operator==(const ReachReport&, const ReachReport&) = default;
};

/// The status of a control process.
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

/// Why a request was refused.
enum class RefusalReason : std::uint8_t {
  kNotLeader,     ///< Retry at the leader, if one is named.
  kBusy,          ///< Too many requests are pending.
  kUnavailable,   ///< No majority, or the leadership was lost.
  kInvalidLists,  ///< Validation failed; nothing was changed.
};
inline constexpr RefusalReason kLastRefusalReason =
    RefusalReason::kInvalidLists;

/// The request was refused. Retrying with the same contents is safe, since a
/// repeated command is recognised.
struct RequestRefused {
  RefusalReason reason = RefusalReason::kUnavailable;
  bool may_have_committed = false;
  HostId leader;                  ///< Empty when none is known.
  std::vector<Finding> findings;  ///< Set for kInvalidLists.
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

/// The answer to a request. Pushed lists have the number zero.
struct ControlAnswer {
  std::uint64_t number = 0;
  ControlAnswerBody body;
  friend bool operator==(const ControlAnswer&, const ControlAnswer&) = default;
};

using ControlMessage = std::variant<ControlRequest, ControlAnswer>;

/// Serialises `message` as the payload of a frame.
std::string EncodeControlMessage(const ControlMessage& message);

/// Parses the output of EncodeControlMessage(). Errors: kTooLarge, kCorrupt.
Result<ControlMessage> DecodeControlMessage(std::string_view bytes);

}  // namespace briarlead

#endif  // BRIARLEAD_STATE_CONTROL_MESSAGE_H_
