#ifndef BRIARLEAD_CLAIMS_CLAIM_MESSAGES_H_
#define BRIARLEAD_CLAIMS_CLAIM_MESSAGES_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "briarlead_claims/content_digest.h"
#include "briarlead_core/identifiers.h"
#include "briarlead_core/request_id.h"

namespace briarlead {

/// Identifies one non-idempotent operation by the client account and the key
/// that the caller chose.
struct ClaimKey {
  CustomerId customer;
  std::string idempotency_key;

  friend auto operator<=>(const ClaimKey&, const ClaimKey&) = default;
};

/// Identifies one attempt at an operation. Created by the entry host, so that
/// repeated proposals of the same attempt are recognised.
using AttemptToken = RequestId;

/// Longest idempotency key, in bytes. Requests with a longer one are invalid
/// and refused before a claim is proposed.
inline constexpr std::size_t kMaxIdempotencyKeyBytes = 255;

/// Longest answer body that is recorded, in bytes. An answer with a longer body
/// is recorded without it; see RecordedAnswer::kept.
inline constexpr std::size_t kMaxRecordedBodyBytes = 64UL * 1024;

/// The backend server's answer to the single run of an operation.
struct RecordedAnswer {
  std::uint16_t status = 0;  ///< HTTP status.
  std::string content_type;
  std::string body;
  bool kept = true;  ///< False if the answer was too large to be recorded.

  friend bool operator==(const RecordedAnswer&,
                         const RecordedAnswer&) = default;
};

/// Requests the exclusive right to run an operation. An entry of the replicated
/// log.
struct BeginClaim {
  ClaimKey key;
  ContentDigest content;  ///< Of method, path and body.
  AttemptToken attempt;
  /// Longest time from the grant of this claim to the end of the call, in
  /// milliseconds. If no outcome is recorded by then, it counts as unknown.
  std::uint32_t run_limit_ms = 0;

  friend bool operator==(const BeginClaim&, const BeginClaim&) = default;
};

/// The decision on a BeginClaim.
enum class BeginVerdict : std::uint8_t {
  kGranted,          ///< Only this attempt may send the call.
  kInProgress,       ///< Another attempt holds the claim.
  kFinished,         ///< The operation ran; the recorded answer is included.
  kUnknown,          ///< The operation may have run; it must not be run again.
  kContentMismatch,  ///< The key was used with a different request.
  /// No room for a new claim. The key is not claimed, so the operation was not
  /// run.
  kTableFull,
  kAbandoned,  ///< This attempt is already recorded as not run.
};
inline constexpr BeginVerdict kLastBeginVerdict = BeginVerdict::kAbandoned;

/// The result of a BeginClaim.
struct BeginResult {
  AttemptToken attempt;
  BeginVerdict verdict = BeginVerdict::kTableFull;
  std::uint32_t retry_after_ms = 0;  ///< Set for kInProgress.
  RecordedAnswer answer;             ///< Set for kFinished.

  friend bool operator==(const BeginResult&, const BeginResult&) = default;
};

/// The outcome of one attempt.
enum class RunOutcome : std::uint8_t {
  kRan,      ///< The backend server answered.
  kNotRun,   ///< Proven: no byte of the call left the entry host.
  kUnknown,  ///< The call was sent, and no answer arrived.
};
inline constexpr RunOutcome kLastRunOutcome = RunOutcome::kUnknown;

/// Records the outcome of an attempt. An entry of the replicated log.
struct FinishClaim {
  ClaimKey key;
  ContentDigest content;  ///< As in the BeginClaim.
  AttemptToken attempt;
  RunOutcome outcome = RunOutcome::kUnknown;
  RecordedAnswer answer;  ///< Set for kRan.

  friend bool operator==(const FinishClaim&, const FinishClaim&) = default;
};

/// The decision on a FinishClaim. After any of them, the outcome need not be
/// proposed again.
enum class FinishVerdict : std::uint8_t {
  kRecorded,
  kAlreadyKnown,  ///< The claim already has a final outcome.
  kNoSuchClaim,   ///< The attempt holds no claim.
};
inline constexpr FinishVerdict kLastFinishVerdict = FinishVerdict::kNoSuchClaim;

/// The result of a FinishClaim.
struct FinishResult {
  AttemptToken attempt;
  RunOutcome outcome = RunOutcome::kUnknown;  ///< As in the FinishClaim.
  FinishVerdict verdict = FinishVerdict::kNoSuchClaim;

  friend bool operator==(const FinishResult&, const FinishResult&) = default;
};

/// Reports that every process of `host` up to `incarnation` is dead, so that
/// the outcome of its claims in progress is unknown. An entry of the replicated
/// log.
struct ReportHostDead {
  HostId host;
  std::uint64_t incarnation = 0;

  friend bool operator==(const ReportHostDead&,
                         const ReportHostDead&) = default;
};

/// State of a claim. kUnclaimed stands for a key without a claim.
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
