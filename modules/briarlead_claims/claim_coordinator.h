#ifndef BRIARLEAD_CLAIMS_CLAIM_COORDINATOR_H_
#define BRIARLEAD_CLAIMS_CLAIM_COORDINATOR_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "briarlead_claims/claim_messages.h"
#include "briarlead_core/request_id.h"
#include "briarlead_core/time.h"

namespace briarlead {

/// The result of a non-idempotent call, as the caller is told.
enum class CallVerdict : std::uint8_t {
  /// The operation ran once, in this attempt or an earlier one; its answer is
  /// returned.
  kRan,
  /// The operation ran in an earlier attempt; its answer was too large to
  /// record.
  kRanAnswerNotKept,
  kUnknown,       ///< The operation may have run; it will not be run again.
  kStillRunning,  ///< Another attempt is running the operation; retry later.
  /// The operation was run neither by this attempt nor by an earlier one with
  /// the same key.
  kNotRun,
  /// This attempt was not run and never will be. Whether an earlier one with
  /// the same key ran could not be determined.
  kAttemptNotRun,
  /// The key was used before with a different request; this one was not run.
  kKeyReused,
};

/// Returns the name of `verdict` for logs, for example "not_run".
std::string_view ToString(CallVerdict verdict);

/// A non-idempotent call received from a caller.
struct ClaimedCall {
  RequestId id;                 ///< Of this attempt; also its AttemptToken.
  std::optional<ClaimKey> key;  ///< Not set when the caller gave no key.
  ContentDigest content;        ///< Digest of method, path and body.
  Duration timeout{};  ///< Longest wait for the backend server's answer.
};

/// Propose the claim to the control service. May be issued several times for
/// one attempt.
struct ProposeBegin {
  BeginClaim begin;
};
/// Send the call to a backend server. Issued at most once per call, whose
/// timeout starts now. Whoever executes the command must report its end by
/// OnCallNotSent(), OnCallAnswered() or OnCallFailed().
struct SendCall {
  RequestId id;
};
/// Propose the outcome of the call to the control service. Issued repeatedly
/// until OnFinishResult() is called or the finish window ends.
struct ProposeFinish {
  FinishClaim finish;
};
/// Answer the caller. Issued exactly once per call, unless the caller has gone.
struct AnswerCaller {
  RequestId id;
  CallVerdict verdict = CallVerdict::kUnknown;
  Duration retry_after{};  ///< Zero when a retry can't help.
  /// Set for kRan and, without a body, for kRanAnswerNotKept.
  RecordedAnswer answer;
};
using ClaimCommand =
    std::variant<ProposeBegin, SendCall, ProposeFinish, AnswerCaller>;

/// Time windows and limits of a ClaimCoordinator.
struct ClaimCoordinatorLimits {
  /// Longest wait for a claim. A call that has no claim by then is not sent.
  Duration begin_window = std::chrono::seconds(2);
  /// Time after which an unanswered proposal is sent again.
  Duration proposal_retry_interval = std::chrono::milliseconds(400);
  /// Time after a call's timeout during which a late answer is still recorded.
  Duration late_window = std::chrono::minutes(10);
  /// Time after which an outcome that is not acknowledged is dropped.
  Duration finish_window = std::chrono::minutes(10);
  /// Delay before a retry that is suggested to callers.
  Duration retry_after = std::chrono::seconds(2);
  /// Most calls tracked at once, including answered ones whose outcome is not
  /// recorded yet.
  std::size_t max_calls = 20'000;
};

/// Coordinates non-idempotent calls on an entry host, without I/O. A call with
/// a key is sent only after its claim is committed to the replicated
/// ClaimTable; its outcome is recorded afterwards, even if it arrives late. A
/// call without a key is sent once, without a claim, and never retried.
class ClaimCoordinator {
 public:
  explicit ClaimCoordinator(ClaimCoordinatorLimits limits = {});

  /// Starts a call from a caller. Its id must be new.
  void Start(const ClaimedCall& call, TimePoint now);

  /// Handles the result of a ProposeBegin. Results for unknown calls, or calls
  /// that no longer wait for a claim, are ignored.
  void OnBeginResult(const BeginResult& result, TimePoint now);

  /// Handles the result of a ProposeFinish.
  void OnFinishResult(const FinishResult& result);

  /// Reports that the control service can't be reached, or can't tell whether a
  /// proposal of `attempt` was committed. Shortens the wait before the proposal
  /// is sent again to a quarter of the usual interval.
  void OnControlUnavailable(const AttemptToken& attempt, TimePoint now);

  /// Reports proof that no byte of the call left this host and that none will.
  /// Also accepted after the caller was told kUnknown: the key is released, so
  /// that another attempt may run the operation.
  void OnCallNotSent(const RequestId& id, TimePoint now);

  /// Reports that the backend server's complete answer arrived, in time or
  /// late.
  void OnCallAnswered(const RequestId& id,
                      const RecordedAnswer& answer,
                      TimePoint now);

  /// Reports that the call failed after bytes of it had left this host.
  void OnCallFailed(const RequestId& id, TimePoint now);

  /// Reports that the caller has gone. It gets no answer. A call that was not
  /// sent yet is abandoned; a call that was sent continues.
  void OnCallerGone(const RequestId& id, TimePoint now);

  /// Handles the timers that are due at `now`.
  void Tick(TimePoint now);

  /// Returns the time at which Tick() is due next; nullopt without calls.
  [[nodiscard]] std::optional<TimePoint> NextDeadline() const;

  /// Returns the commands issued since the last call, in order.
  std::vector<ClaimCommand> TakeCommands();

  /// Returns the number of calls tracked.
  [[nodiscard]] std::size_t size() const { return calls_.size(); }

 private:
  enum class Stage {
    kClaiming,  ///< Waits for the claim.
    kRunning,   ///< SendCall was issued; waits for the answer.
    kTimedOut,  ///< The caller was told kUnknown; a late answer is accepted.
    kEnded,     ///< At most the outcome is still to be recorded.
  };
  struct Call {
    ClaimedCall call;
    Stage stage = Stage::kClaiming;
    TimePoint stage_deadline;
    TimePoint next_proposal;
    std::uint32_t begin_proposals = 0;
    bool answered = false;
    std::optional<FinishClaim> pending_finish;
    TimePoint finish_deadline;
  };
  using Calls = std::map<RequestId, Call>;

  void IssueBegin(Call& call, TimePoint now);
  void IssueFinish(Call& call, TimePoint now);
  void Send(Call& call, TimePoint now);
  /// Starts to propose `outcome`; does nothing for a call without a key.
  void RecordOutcome(Call& call,
                     RunOutcome outcome,
                     const RecordedAnswer& answer,
                     TimePoint now);
  void Answer(Call& call,
              CallVerdict verdict,
              Duration retry_after = {},
              const RecordedAnswer& answer = {});
  /// Answers `verdict` and records that the attempt was not run.
  void AbandonClaim(Call& call, CallVerdict verdict, TimePoint now);
  void OnStageTimeout(Call& call, TimePoint now);
  void TickCall(Call& call, TimePoint now);
  /// Returns whether SendCall was issued for the call and no end reported yet.
  [[nodiscard]] static bool AwaitsOutcome(const Call& call);
  /// Erases the call when it has ended and its outcome needs no recording.
  void EraseIfComplete(Calls::iterator it);
  [[nodiscard]] static TimePoint NextDeadlineOf(const Call& call);

  ClaimCoordinatorLimits limits_;
  Calls calls_;
  std::vector<ClaimCommand> commands_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_CLAIMS_CLAIM_COORDINATOR_H_
