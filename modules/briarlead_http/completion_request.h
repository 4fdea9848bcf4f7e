#ifndef BRIARLEAD_HTTP_COMPLETION_REQUEST_H_
#define BRIARLEAD_HTTP_COMPLETION_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "briarlead_core/error.h"
#include "briarlead_core/identifiers.h"

namespace briarlead {

/// Which of the two OpenAI-style endpoints a request came to.
enum class CompletionKind {
  kCompletions,  ///< /v1/completions
  kChat,         ///< /v1/chat/completions
};

/// A caller's request for a model's output.
struct CompletionRequest {
  CompletionKind kind = CompletionKind::kCompletions;
  ModelId model;
  /// The prompt, or the messages of a chat as one text.
  std::string prompt;
  std::optional<std::uint32_t> max_tokens;
  bool stream = false;
  bool include_usage = false;  ///< stream_options.include_usage
  std::string user;            ///< Empty when not given.
  /// The fields that steer sampling (temperature, top_p, stop, ...), as the
  /// text of one JSON object to pass on to the engine.
  std::string sampling = "{}";
};

/// Reads the body of a request. Fields that it doesn't know are ignored. Fails
/// with kInvalidArgument and a message that names the field.
Result<CompletionRequest> ParseCompletionRequest(std::string_view body,
                                                 CompletionKind kind);

/// Estimates how many tokens `text` is, from its length; at least 1.
std::uint32_t EstimateTokenCount(std::string_view text);

}  // namespace briarlead

#endif  // BRIARLEAD_HTTP_COMPLETION_REQUEST_H_
