#ifndef BRIARLEAD_HTTP_ENGINE_MESSAGES_H_
#define BRIARLEAD_HTTP_ENGINE_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/error.h"

namespace briarlead {

/// Header fields of each engine request.
inline constexpr std::string_view kRequestIdHeader = "X-Request-Id";
inline constexpr std::string_view kAttemptHeader = "X-Attempt";

/// The part of a request that prefill and decode engines both get.
struct EnginePrompt {
  std::string model;
  std::string prompt;
  /// What earlier attempts have delivered; follows the prompt.
  std::string delivered_text;
  std::uint32_t priority = 0;   ///< Lower goes first.
  std::string sampling = "{}";  ///< Further members, as one JSON object.
};

/// POST /v1/completions to a prefill engine.
struct PrefillRequest {
  EnginePrompt input;
};

/// Its answer.
struct PrefillResult {
  /// The text of "kv_transfer_params", for the decode engine.
  std::string kv_transfer_params;
  std::uint64_t kv_bytes = 0;
};

/// POST /v1/completions to a decode engine; answered with server-sent events.
struct DecodeRequest {
  EnginePrompt input;
  std::uint32_t max_tokens = 0;   ///< Of the whole answer.
  std::uint32_t resume_from = 0;  ///< Tokens that were delivered already.
  std::string kv_transfer_params;
};

/// Where a KV result lies, as the decode engine reads it.
struct KvTransferParams {
  std::string engine_id;
  std::string handle;
  Endpoint endpoint;
  std::uint64_t kv_bytes = 0;
};

/// One event of a decode engine's stream.
struct DecodeEvent {
  bool done = false;  ///< The stream is whole ("[DONE]").
  std::string text;
  std::uint32_t offset = 0;                  ///< Of this token in the answer.
  std::optional<std::string> finish_reason;  ///< Set in the last before done.
};

/// Writers and readers of the above. The readers fail with kInvalidArgument
/// and a message that names the member.
std::string WritePrefillRequest(const PrefillRequest& request);
Result<PrefillRequest> ParsePrefillRequest(std::string_view body);
std::string WritePrefillResult(const KvTransferParams& params);
Result<PrefillResult> ParsePrefillResult(std::string_view body);
std::string WriteDecodeRequest(const DecodeRequest& request);
Result<DecodeRequest> ParseDecodeRequest(std::string_view body);
Result<KvTransferParams> ParseKvTransferParams(std::string_view text);

/// Writes one event with its "data: " and blank line.
std::string WriteDecodeEvent(const DecodeEvent& event);

/// Reads the data of one event.
Result<DecodeEvent> ParseDecodeEvent(std::string_view data);

}  // namespace briarlead

#endif  // BRIARLEAD_HTTP_ENGINE_MESSAGES_H_
