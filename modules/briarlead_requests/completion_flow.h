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

/// Time limits of one attempt. An engine that exceeds one has failed.
struct CompletionTimeouts {
  Duration prefill_base = std::chrono::seconds(10);
  Duration prefill_per_token = std::chrono::milliseconds(2);
  /// From the KV result to the first token: the import of the KV cache.
  Duration transfer = std::chrono::seconds(3);
  Duration token_gap = std::chrono::seconds(10);
};

/// The life of one completion on its entry host: placement, prefill, decode,
/// and, when an engine fails, a new attempt that goes on where the caller's
/// answer stopped. It sees to it that the caller gets each token once and in
/// order, and exactly one final answer: events of abandoned attempts and
/// tokens that were delivered before are dropped.
class CompletionFlow {
 public:
  /// Attempts after which a request without any token is given up on. A stream
  /// that has begun is resumed without limit.
  static constexpr std::uint32_t kMaxAttemptsBeforeFirstToken = 6;
  /// When a caller whose request failed on every attempt may come back.
  static constexpr Duration kRetryAfterFailures = std::chrono::seconds(2);
  /// How often the dispatcher is told how far a stream has come.
  static constexpr Duration kProgressInterval = std::chrono::seconds(1);

  /// Starts with the command to ask for a placement.
  /// @param prompt_tokens estimated length of the prompt, in tokens
  CompletionFlow(std::uint32_t prompt_tokens,
                 const CompletionTimeouts& timeouts);

  /// The dispatcher placed the request.
  void OnPlaced(std::uint32_t attempt,
                const BackendServerId& prefill,
                const BackendServerId& decode,
                TimePoint now);

  /// The dispatcher gave the request up. Final for a request without a token;
  /// a stream that has begun asks again after `retry_after`.
  void OnRefused(std::string_view reason, Duration retry_after, TimePoint now);

  /// The prefill engine answered with `kv_transfer`, its transfer parameters.
  void OnPrefillDone(std::uint32_t attempt,
                     std::string kv_transfer,
                     std::uint64_t kv_bytes,
                     TimePoint now);

  /// The call of the prefill engine failed.
  void OnPrefillFailed(std::uint32_t attempt);

  /// The decode engine sent the token at `offset`.
  void OnToken(std::uint32_t attempt,
               std::uint32_t offset,
               std::string_view text,
               TimePoint now);

  /// The decode engine ended the stream properly.
  void OnDecodeEnd(std::uint32_t attempt);

  /// The call of the decode engine failed or broke off.
  void OnDecodeFailed(std::uint32_t attempt);

  /// The caller has gone: everything is released.
  void OnCallerGone();

  /// The dispatcher of the shard changed or may have lost this request: asks
  /// again when no placement is held.
  void OnDispatcherLost();

  /// Fails what exceeded its time limit.
  void Tick(TimePoint now);

  /// Returns when Tick() must be called next, if nothing happens before.
  [[nodiscard]] std::optional<TimePoint> NextWake() const { return wake_; }

  /// Returns the commands since the last call, in order.
  std::vector<CompletionCommand> TakeCommands();

  /// Returns true after the final answer or the caller's departure.
  [[nodiscard]] bool done() const { return stage_ == Stage::kDone; }

  /// Returns true while a placement is held.
  [[nodiscard]] bool running() const {
    return stage_ == Stage::kPrefill || stage_ == Stage::kTransfer ||
           stage_ == Stage::kDecode;
  }

  [[nodiscard]] std::uint32_t attempt() const { return attempt_; }
  [[nodiscard]] std::uint32_t delivered_tokens() const { return delivered_; }
  [[nodiscard]] const BackendServerId& prefill() const { return prefill_; }
  [[nodiscard]] const BackendServerId& decode() const { return decode_; }

 private:
  enum class Stage {
    kQueued,      ///< Waits for the dispatcher.
    kBackingOff,  ///< Asks again at `wake_`.
    kPrefill,
    kTransfer,  ///< The decode engine imports the KV cache.
    kDecode,
    kDone,
  };

  /// Returns whether an event of `attempt` concerns the attempt under way.
  [[nodiscard]] bool Concerns(std::uint32_t attempt) const;
  void FailAttempt(AttemptStage stage, const BackendServerId& server);
  void AskAgain();
  void Finish();

  const std::uint32_t prompt_tokens_;
  const CompletionTimeouts timeouts_;
  Stage stage_ = Stage::kQueued;
  std::uint32_t attempt_ = 0;
  std::uint32_t failures_ = 0;
  std::uint32_t delivered_ = 0;
  /// Tokens that had been delivered when the attempt began.
  std::uint32_t delivered_before_ = 0;
  TimePoint last_progress_;
  BackendServerId prefill_;
  BackendServerId decode_;
  std::optional<TimePoint> wake_;
  std::vector<CompletionCommand> commands_;
};

}  // namespace briarlead

#endif  // BRIARLEAD_REQUESTS_COMPLETION_FLOW_H_
