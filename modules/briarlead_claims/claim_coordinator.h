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

/// What a caller is told of its non-idempotent call.
enum class CallVerdict : std::uint8_t {
  kRan,               ///< The answer of the one run, now or recorded.
  kRanAnswerNotKept,  ///< It ran; its answer was too large to record.
  kUnknown,           ///< It may have run; it will not be run again.
  kStillRunning,      ///< Another attempt is running it; ask again later.
  /// The operation was not run, by this attempt or an earlier one with its key.
  kNotRun,
  /// This attempt was not run and never will be. Control could not be asked
  /// about earlier attempts with the same key.
  kAttemptNotRun,
  kKeyReused,  ///< The key was used with another request; this one not run.
};

/// Returns the name of `verdict` as in logs, for example "not_run".
std::string_view ToString(CallVerdict verdict);

/// One non-idempotent call that a caller sent.
struct ClaimedCall {
  RequestId id;                 ///< Of this attempt; doubles as its token.
  std::optional<ClaimKey> key;  ///< Not set: the caller gave no key.
  ContentDigest content;        ///< Of method, path and body.
  Duration timeout{};           ///< Longest wait for the backend server.
};

/// Asks control for the claim; may be given several times for one attempt.
struct ProposeBegin {
  BeginClaim begin;
};
/// Sends the call to a backend server; given at most once a call. The call's
/// timeout runs from here. One way or another it ends with OnCallNotSent(),
/// OnCallAnswered() or OnCallFailed().
struct SendCall {
  RequestId id;
};
/// Tells control the outcome; given until OnFinishResult() or the window ends.
struct ProposeFinish {
  FinishClaim finish;
};
/// Answers the caller; given exactly once a call whose caller is there.
struct AnswerCaller {
  RequestId id;
  CallVerdict verdict = CallVerdict::kUnknown;
  Duration retry_after{};  ///< Set where a retry may help.
  RecordedAnswer answer;   ///< Set for kRan.
};
using ClaimCommand =
    std::variant<ProposeBegin, SendCall, ProposeFinish, AnswerCaller>;

/// Times and bounds of a ClaimCoordinator.
struct ClaimCoordinatorLimits {
  /// Longest wait for a claim; no call leaves later than this.
  Duration begin_window = std::chrono::seconds(2);
  /// Time after which an unanswered question to control is asked again.
  Duration ask_interval = std::chrono::milliseconds(400);
  /// Time after its own timeout for which a call's late answer is taken.
  Duration late_window = std::chrono::minutes(10);
  /// Longest time for which an outcome is told to control again and again.
  Duration finish_window = std::chrono::minutes(10);
  /// What a caller is told to wait before a retry.
  Duration retry_after = std::chrono::seconds(2);
  /// Most calls at once, the ones with outcomes to record included.
  std::size_t max_calls = 20'000;
};

/// The entry host's side of non-idempotent calls, without I/O. A call with a
/// key leaves only after its claim is committed; its outcome is recorded
/// after, a late one too. A call without a key is sent once and never retried.
class ClaimCoordinator {
 public:
  explicit ClaimCoordinator(ClaimCoordinatorLimits limits = {});

  /// Takes a call from a caller; its id must be new.
  void Start(const ClaimedCall& call, TimePoint now);

  /// Takes control's answer to a ProposeBegin; unknown or old ones are dropped.
  void OnBeginResult(const BeginResult& result, TimePoint now);

  /// Takes control's answer to a ProposeFinish.
  void OnFinishResult(const FinishResult& result);

  /// Control can't say whether a question was committed, or can't be reached:
  /// asks again at the next Tick() instead of after the interval.
  void OnControlUnavailable(const AttemptToken& attempt, TimePoint now);

  /// Proof that no byte of the call left this host and that none will; also
  /// after the caller was told unknown, so that the key may run again.
  void OnCallNotSent(const RequestId& id, TimePoint now);

  /// The backend server's whole answer came, in time or late.
  void OnCallAnswered(const RequestId& id,
                      const RecordedAnswer& answer,
                      TimePoint now);

  /// The call broke off after bytes had left.
  void OnCallFailed(const RequestId& id, TimePoint now);

  /// The caller is gone: it gets no answer; a call that left goes on.
  void OnCallerGone(const RequestId& id, TimePoint now);

  /// Does what is due at `now`.
  void Tick(TimePoint now);

  /// Returns when Tick() is due next, if ever.
  [[nodiscard]] std::optional<TimePoint> NextDeadline() const;

  /// Hands over the commands in order, and forgets them.
  std::vector<ClaimCommand> TakeCommands();

  /// Returns the number of calls kept.
  [[nodiscard]] std::size_t size() const { return calls_.size(); }

 private:
  enum class Stage {
    kBeginning,  ///< Waits for the claim.
    kRunning,    ///< The call left; its answer is awaited.
    kLate,       ///< The caller was told unknown; a late answer is taken.
    kEnded,      ///< Only the outcome is left to record.
  };
  struct Call {
    ClaimedCall call;
    Stage stage = Stage::kBeginning;
    TimePoint stage_end;
    TimePoint next_ask;
    std::uint32_t asks = 0;
    bool answered = false;
    std::optional<FinishClaim> unrecorded;
    TimePoint record_end;
  };
  using Calls = std::map<RequestId, Call>;

  void AskBegin(Call& call, TimePoint now);
  void AskFinish(Call& call, TimePoint now);
  void Send(Call& call, TimePoint now);
  /// Starts to record `outcome`; does nothing for a call without a key.
  void Record(Call& call,
              RunOutcome outcome,
              const RecordedAnswer& answer,
              TimePoint now);
  void Answer(Call& call,
              CallVerdict verdict,
              Duration retry_after = {},
              const RecordedAnswer& answer = {});
  void GiveUpBeginning(Call& call, CallVerdict verdict, TimePoint now);
  void EndStage(Call& call, TimePoint now);
  void TickCall(Call& call, TimePoint now);
  /// Whether the call was sent, or given to be sent, and has not ended.
  [[nodiscard]] static bool AwaitsOutcome(const Call& call);
  /// Forgets the call when nothing of it is left to do.
  void Release(Calls::iterator it);
  [[nodiscard]] static TimePoint DeadlineOf(const Call& call);

  ClaimCoordinatorLimits limits_;
  Calls calls_;
  std::vector<ClaimCommand> commands_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_CLAIMS_CLAIM_COORDINATOR_H_
