#ifndef BRIARLEAD_REQUESTS_COMPLETION_COMMANDS_H_
#define BRIARLEAD_REQUESTS_COMPLETION_COMMANDS_H_

#include <cstdint>
#include <string>
#include <variant>

#include "briarlead_core/identifiers.h"
#include "briarlead_core/time.h"

namespace briarlead {

/// Ask the dispatcher of the pool shard for a placement. `delivered_tokens` is
/// above zero when an interrupted stream is to be resumed.
struct RequestPlacement {
  std::uint32_t delivered_tokens = 0;
};

/// Send the prompt, and what was delivered already, to the prefill engine.
struct StartPrefill {
  std::uint32_t attempt = 0;
  BackendServerId server;
};

/// Have the decode engine import the KV cache and stream from `resume_from`.
struct StartDecode {
  std::uint32_t attempt = 0;
  BackendServerId server;
  std::string kv_transfer;  ///< Transfer parameters of the prefill engine.
  std::uint32_t resume_from = 0;
};

/// Close the engine calls of `attempt`; the engines free what it held.
struct AbortAttempt {
  std::uint32_t attempt = 0;
};

/// Where an attempt failed.
enum class AttemptStage { kPrefill, kTransfer, kDecode };

/// Tell the dispatcher that the KV result of `attempt` is ready.
struct ReportPrefillDone {
  std::uint32_t attempt = 0;
  std::uint64_t kv_bytes = 0;
};

/// Tell the dispatcher that the first token of `attempt` has come.
struct ReportFirstToken {
  std::uint32_t attempt = 0;
};

/// Tell the dispatcher how far the stream of `attempt` has come.
struct ReportProgress {
  std::uint32_t attempt = 0;
  std::uint32_t tokens = 0;  ///< Of this attempt.
};

/// Tell the dispatcher that `attempt` streamed to its end.
struct ReportFinished {
  std::uint32_t attempt = 0;
  std::uint32_t output_tokens = 0;  ///< Of this attempt.
};

/// Tell the dispatcher that `attempt` failed on `server`.
struct ReportFailed {
  std::uint32_t attempt = 0;
  AttemptStage stage = AttemptStage::kPrefill;
  BackendServerId server;
};

/// Tell the dispatcher that the request needs nothing more.
struct ReportCancelled {};

/// Send `text`, the token at `offset`, to the caller.
struct DeliverToken {
  std::uint32_t offset = 0;
  std::string text;
};

/// The answer is whole; end it.
struct CompleteAnswer {
  std::uint32_t output_tokens = 0;  ///< Of all attempts.
};

/// Give the caller its final answer: the request was given up on. No token has
/// been sent when this is issued, and nothing of it has a lasting effect.
struct GiveUp {
  std::string reason;
  Duration retry_after{0};
};

using CompletionCommand = std::variant<RequestPlacement,
                                       StartPrefill,
                                       StartDecode,
                                       AbortAttempt,
                                       ReportPrefillDone,
                                       ReportFirstToken,
                                       ReportProgress,
                                       ReportFinished,
                                       ReportFailed,
                                       ReportCancelled,
                                       DeliverToken,
                                       CompleteAnswer,
                                       GiveUp>;

}  // namespace briarlead

#endif  // BRIARLEAD_REQUESTS_COMPLETION_COMMANDS_H_
