#ifndef BRIARLEAD_REQUESTS_COMPLETION_COMMANDS_H_
#define BRIARLEAD_REQUESTS_COMPLETION_COMMANDS_H_

#include <cstdint>
#include <string>
#include <variant>

#include "briarlead_core/identifiers.h"
#include "briarlead_core/time.h"

namespace briarlead {

/// Ask the dispatcher of the pool shard for a placement. `delivered_tokens` is
/// the number of tokens that the caller has got; it is above zero when an
/// interrupted stream is to be resumed.
struct RequestPlacement {
  std::uint32_t delivered_tokens = 0;
};

/// Send the prompt and the text delivered so far to the prefill engine.
struct StartPrefill {
  std::uint32_t attempt = 0;
  BackendServerId server;
};

/// Have the decode engine import the KV cache and stream the tokens from offset
/// `resume_from` on.
struct StartDecode {
  std::uint32_t attempt = 0;
  BackendServerId server;
  std::string kv_transfer;  ///< Transfer parameters from the prefill engine.
  std::uint32_t resume_from = 0;
};

/// Close the engine calls of `attempt`; the engines then free its slots and
/// memory.
struct AbortAttempt {
  std::uint32_t attempt = 0;
};

/// The stage in which an attempt failed.
enum class AttemptStage { kPrefill, kTransfer, kDecode };

/// Tell the dispatcher that the KV result of `attempt` is ready.
struct ReportPrefillDone {
  std::uint32_t attempt = 0;
  std::uint64_t kv_bytes = 0;
};

/// Tell the dispatcher that the first token of `attempt` has arrived.
struct ReportFirstToken {
  std::uint32_t attempt = 0;
};

/// Tell the dispatcher how many tokens `attempt` has streamed.
struct ReportProgress {
  std::uint32_t attempt = 0;
  std::uint32_t tokens = 0;  ///< Of this attempt only.
};

/// Tell the dispatcher that the stream of `attempt` is complete.
struct ReportFinished {
  std::uint32_t attempt = 0;
  std::uint32_t output_tokens = 0;  ///< Of this attempt only.
};

/// Tell the dispatcher that `attempt` failed on `server`.
struct ReportFailed {
  std::uint32_t attempt = 0;
  AttemptStage stage = AttemptStage::kPrefill;
  BackendServerId server;
};

/// Tell the dispatcher that the request was cancelled: its caller has gone, or
/// it failed on too many attempts. It needs no further placement.
struct ReportCancelled {};

/// Send `text`, the token at `offset` of the answer, to the caller.
struct DeliverToken {
  std::uint32_t offset = 0;
  std::string text;
};

/// Finish the answer to the caller; all its tokens were delivered.
struct CompleteAnswer {
  std::uint32_t output_tokens = 0;  ///< Of all attempts.
};

/// Send the caller its final answer: the request was given up. No token was
/// delivered before, and the request has no lasting effect.
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
