#ifndef BRIARLEAD_CLAIMS_CLAIM_MESSAGES_H_
#define BRIARLEAD_CLAIMS_CLAIM_MESSAGES_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "briarlead_claims/content_digest.h"
#include "briarlead_core/identifiers.h"
#include "briarlead_core/request_id.h"

namespace briarlead {

/// Names one non-idempotent operation: who asks, and the caller's own key.
struct ClaimKey {
  CustomerId customer;
  std::string idempotency_key;

  friend auto operator<=>(const ClaimKey&, const ClaimKey&) = default;
};

/// Names one attempt at an operation. The entry host makes it, so that asking
/// again for the same attempt is recognised.
using AttemptToken = RequestId;

/// Longest key that a claim takes, in bytes; longer ones are the caller's
/// fault and are refused before a claim is asked for.
inline constexpr std::size_t kMaxIdempotencyKeyBytes = 255;

/// Longest body that is recorded, in bytes. A longer answer is recorded as
/// "ran, answer not kept".
inline constexpr std::size_t kMaxRecordedBodyBytes = 64UL * 1024;

/// What a backend server answered to the one run of an operation.
struct RecordedAnswer {
  std::uint16_t status = 0;  ///< HTTP status.
  std::string content_type;
  std::string body;
  bool kept = true;  ///< False: it ran, but its answer was too large to keep.

  friend bool operator==(const RecordedAnswer&,
                         const RecordedAnswer&) = default;
};

/// Asks for the right to run an operation. Carried by the replicated log.
struct BeginClaim {
  ClaimKey key;
  ContentDigest content;  ///< Of method, path and body.
  AttemptToken attempt;
  /// Longest time from this claim to the end of the call, in milliseconds. An
  /// attempt that has said nothing for longer counts as outcome unknown.
  std::uint32_t run_limit_ms = 0;

  friend bool operator==(const BeginClaim&, const BeginClaim&) = default;
};

/// The answer to a BeginClaim.
enum class BeginVerdict : std::uint8_t {
  kGranted,          ///< This attempt, and no other, may send the call.
  kInProgress,       ///< Another attempt holds the claim.
  kFinished,         ///< It ran; the recorded answer comes along.
  kUnknown,          ///< It may have run; it is not run again.
  kContentMismatch,  ///< The key was used with another request.
  kTableFull,        ///< No room for a new claim; never claimed, so not run.
  kAbandoned,        ///< This attempt was given up as not run before.
};
inline constexpr BeginVerdict kLastBeginVerdict = BeginVerdict::kAbandoned;

/// What became of a BeginClaim.
struct BeginResult {
  AttemptToken attempt;
  BeginVerdict verdict = BeginVerdict::kTableFull;
  std::uint32_t retry_after_ms = 0;  ///< Set for kInProgress.
  RecordedAnswer answer;             ///< Set for kFinished.

  friend bool operator==(const BeginResult&, const BeginResult&) = default;
};

/// What is known of the run of one attempt.
enum class RunOutcome : std::uint8_t {
  kRan,      ///< The backend server answered.
  kNotRun,   ///< Proved: no byte of the call left the entry host.
  kUnknown,  ///< Bytes left and no answer came.
};
inline constexpr RunOutcome kLastRunOutcome = RunOutcome::kUnknown;

/// Records the outcome of an attempt. Carried by the replicated log.
struct FinishClaim {
  ClaimKey key;
  ContentDigest content;  ///< As in the BeginClaim.
  AttemptToken attempt;
  RunOutcome outcome = RunOutcome::kUnknown;
  RecordedAnswer answer;  ///< Set for kRan.

  friend bool operator==(const FinishClaim&, const FinishClaim&) = default;
};

/// The answer to a FinishClaim; all of them end the asking.
enum class FinishVerdict : std::uint8_t {
  kRecorded,
  kAlreadyKnown,  ///< The claim has this or a firmer outcome.
  kNoSuchClaim,   ///< The attempt holds no claim.
};
inline constexpr FinishVerdict kLastFinishVerdict = FinishVerdict::kNoSuchClaim;

/// What became of a FinishClaim.
struct FinishResult {
  AttemptToken attempt;
  RunOutcome outcome = RunOutcome::kUnknown;  ///< As asked.
  FinishVerdict verdict = FinishVerdict::kNoSuchClaim;

  friend bool operator==(const FinishResult&, const FinishResult&) = default;
};

/// Says that every process of `host` up to `incarnation` is gone, so that its
/// claims in progress have an unknown outcome. Carried by the replicated log.
struct ReportHostDead {
  HostId host;
  std::uint64_t incarnation = 0;

  friend bool operator==(const ReportHostDead&,
                         const ReportHostDead&) = default;
};

/// Where a claim stands, for operators.
enum class ClaimState : std::uint8_t {
  kUnclaimed,
  kInProgress,
  kFinished,
  kUnknown,
  kNotRun,
};
inline constexpr ClaimState kLastClaimState = ClaimState::kNotRun;

}  // namespace briarlead

#endif  // BRIARLEAD_CLAIMS_CLAIM_MESSAGES_H_
