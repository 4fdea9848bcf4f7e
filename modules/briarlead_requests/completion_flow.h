#ifndef BRIARLEAD_REQUESTS_COMPLETION_FLOW_H_
#define BRIARLEAD_REQUESTS_COMPLETION_FLOW_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "briarlead_core/identifiers.h"
#include "briarlead_core/time.h"
#include "briarlead_requests/completion_commands.h"

namespace briarlead {

/// Time limits of one attempt. An engine that exceeds a limit is treated as
/// failed.
struct CompletionTimeouts {
  Duration prefill_base = std::chrono::seconds(10);
  Duration prefill_per_token = std::chrono::milliseconds(2);
  /// From the prefill result to the first token; the decode engine imports the
  /// KV cache in this time.
  Duration transfer = std::chrono::seconds(3);
  /// Between one token and the next.
  Duration token_gap = std::chrono::seconds(10);
};

/// State machine of one completion request on its entry host: placement,
/// prefill, decode and, when an engine fails, a new attempt that resumes the
/// answer after the last delivered token.
///
/// The caller gets each token exactly once and in order, and exactly one final
/// answer: events of abandoned attempts, and tokens that were delivered before,
/// are dropped.
class CompletionFlow {
 public:
  /// Failed attempts after which a request is given up if no token was
  /// delivered. A stream that has begun is resumed without limit.
  static constexpr std::uint32_t kMaxAttemptsBeforeFirstToken = 6;
  /// Time after which a caller may retry a request that failed on every
  /// attempt.
  static constexpr Duration kRetryAfterFailures = std::chrono::seconds(2);
  /// Shortest time between two progress reports to the dispatcher.
  static constexpr Duration kProgressInterval = std::chrono::seconds(1);

  /// Issues the first RequestPlacement command.
  /// @param prompt_tokens estimated length of the prompt, in tokens
  CompletionFlow(std::uint32_t prompt_tokens,
                 const CompletionTimeouts& timeouts);

  /// The dispatcher placed `attempt` on a pair of engines.
  void OnPlaced(std::uint32_t attempt,
                const BackendServerId& prefill_server,
                const BackendServerId& decode_server,
                TimePoint now);

  /// The dispatcher refused the request. A request without a delivered token is
  /// given up; a stream that has begun requests a placement again after
  /// `retry_after`.
  void OnRefused(std::string_view reason, Duration retry_after, TimePoint now);

  /// The prefill engine answered with `kv_transfer`, its transfer parameters.
  void OnPrefillDone(std::uint32_t attempt,
                     std::string kv_transfer,
                     std::uint64_t kv_bytes,
                     TimePoint now);

  /// The call to the prefill engine failed.
  void OnPrefillFailed(std::uint32_t attempt);

  /// The decode engine sent the token at `offset` of the answer. A gap in the
  /// offsets fails the attempt.
  void OnToken(std::uint32_t attempt,
               std::uint32_t offset,
               std::string_view text,
               TimePoint now);

  /// The decode engine completed the stream.
  void OnDecodeEnd(std::uint32_t attempt);

  /// The call to the decode engine failed, or its stream broke off.
  void OnDecodeFailed(std::uint32_t attempt);

  /// The caller disconnected: aborts the attempt and cancels the request.
  void OnCallerGone();

  /// The dispatcher of the shard changed or may have lost this request:
  /// requests a placement again while the request is queued.
  void OnDispatcherLost();

  /// Fails an attempt that exceeded a time limit; requests a placement again
  /// when the backoff after a refusal is over.
  void Tick(TimePoint now);

  /// Returns when Tick() must be called if no other event comes before; nullopt
  /// while nothing is timed.
  [[nodiscard]] std::optional<TimePoint> NextWake() const { return next_wake_; }

  /// Returns the commands since the last call, in order.
  std::vector<CompletionCommand> TakeCommands();

  /// Returns true after the final answer or after the caller disconnected.
  [[nodiscard]] bool done() const { return stage_ == Stage::kDone; }

  /// Returns true while the request has a placement.
  [[nodiscard]] bool running() const {
    return stage_ == Stage::kPrefill || stage_ == Stage::kTransfer ||
           stage_ == Stage::kDecode;
  }

  [[nodiscard]] std::uint32_t attempt() const { return attempt_; }
  [[nodiscard]] std::uint32_t delivered_tokens() const {
    return delivered_tokens_;
  }
  [[nodiscard]] const BackendServerId& prefill_server() const {
    return prefill_server_;
  }
  [[nodiscard]] const BackendServerId& decode_server() const {
    return decode_server_;
  }

 private:
  enum class Stage {
    kQueued,      ///< Waits for a placement by the dispatcher.
    kBackingOff,  ///< Was refused; requests a placement again at `next_wake_`.
    kPrefill,
    kTransfer,  ///< The decode engine imports the KV cache.
    kDecode,
    kDone,
  };

  /// Returns whether `attempt` is the one that is running.
  [[nodiscard]] bool IsCurrentAttempt(std::uint32_t attempt) const;
  void FailAttempt(AttemptStage stage, const BackendServerId& server);
  /// Requests a placement for the rest of the answer.
  void Requeue();
  void Finish();

  const std::uint32_t prompt_tokens_;
  const CompletionTimeouts timeouts_;
  Stage stage_ = Stage::kQueued;
  std::uint32_t attempt_ = 0;
  std::uint32_t failed_attempts_ = 0;
  std::uint32_t delivered_tokens_ = 0;
  /// Tokens that had been delivered when the current attempt began.
  std::uint32_t delivered_at_attempt_start_ = 0;
  TimePoint last_progress_;
  BackendServerId prefill_server_;
  BackendServerId decode_server_;
  std::optional<TimePoint> next_wake_;
  std::vector<CompletionCommand> commands_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_REQUESTS_COMPLETION_FLOW_H_
