#ifndef BRIARLEAD_HTTP_COMPLETION_WRITER_H_
#define BRIARLEAD_HTTP_COMPLETION_WRITER_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "briarlead_http/completion_request.h"

namespace briarlead {

/// Why an answer ended.
enum class FinishReason {
  kStop,    ///< The model ended it.
  kLength,  ///< It reached max_tokens.
};

/// Returns "stop" or "length".
std::string_view ToString(FinishReason reason);

/// What an answer used.
struct TokenUsage {
  std::uint32_t prompt_tokens = 0;
  std::uint32_t completion_tokens = 0;
};

/// Writes the answer to one CompletionRequest, as server-sent events or as one
/// JSON document.
class CompletionWriter {
 public:
  /// The event that ends every whole stream.
  static constexpr std::string_view kDone = "data: [DONE]\n\n";

  /// `id` names the answer, `created_unix_s` is its time of day.
  CompletionWriter(CompletionKind kind,
                   std::string_view id,
                   std::string_view model,
                   std::int64_t created_unix_s);

  /// Returns the event with the next piece of text.
  [[nodiscard]] std::string Chunk(std::string_view text);

  /// Returns the last events: the finish reason, the usage when
  /// `include_usage`, and kDone.
  [[nodiscard]] std::string Finish(FinishReason reason,
                                   const TokenUsage& usage,
                                   bool include_usage) const;

  /// Returns the event that tells of an error after the stream has begun.
  /// Nothing, not even kDone, may follow.
  [[nodiscard]] static std::string ErrorEvent(std::string_view message);

  /// Returns the one JSON document of an answer that isn't streamed.
  [[nodiscard]] std::string Whole(std::string_view text,
                                  FinishReason reason,
                                  const TokenUsage& usage) const;

 private:
  [[nodiscard]] std::string Head(std::string_view object) const;

  CompletionKind kind_;
  std::string id_json_;
  std::string model_json_;
  std::int64_t created_unix_s_;
  std::string chunk_prefix_;  ///< All of a chunk before its text.
  bool first_ = true;
};

/// Appends `text` as a JSON string with its quotes. Bytes that are not UTF-8
/// are replaced.
void AppendJsonString(std::string_view text, std::string& out);

}  // namespace briarlead

#endif  // BRIARLEAD_HTTP_COMPLETION_WRITER_H_
