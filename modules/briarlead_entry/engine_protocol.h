#ifndef BRIARLEAD_ENTRY_ENGINE_PROTOCOL_H_
#define BRIARLEAD_ENTRY_ENGINE_PROTOCOL_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "briarlead_core/error.h"
#include "briarlead_core/rank.h"
#include "briarlead_core/request_id.h"
#include "briarlead_http/http_types.h"

namespace briarlead {

/// What an engine is asked for: the OpenAI completions call with the KV
/// transfer parameters of separate prefill and decode deployments.
struct EngineRequest {
  RequestId request;
  std::uint32_t attempt = 0;
  Rank rank = Rank::kPatient;
  std::string_view model;
  std::string_view prompt;
  std::string_view sampling = "{}";  ///< Further fields, a JSON object.
};

/// The answer of a prefill engine.
struct PrefillAnswer {
  std::string kv_transfer;  ///< "kv_transfer_params" as JSON text.
  std::uint64_t kv_bytes = 0;
};

/// One token of a decode engine's stream.
struct TokenEvent {
  std::uint32_t offset = 0;  ///< Number of the token, from 0.
  std::string text;
};

/// Returns the call that has a prefill engine read the prompt and keep its KV
/// cache for transfer. The endpoint is left to the caller.
HttpRequest MakePrefillCall(const EngineRequest& request);

/// Returns the call that has a decode engine import the KV cache that
/// `kv_transfer` names and stream up to `max_tokens` tokens in all, from the
/// token `resume_from` on.
HttpRequest MakeDecodeCall(const EngineRequest& request,
                           std::string_view kv_transfer,
                           std::uint32_t max_tokens,
                           std::uint32_t resume_from);

/// Returns the call that frees what an engine holds for an attempt.
HttpRequest MakeCancelCall(const RequestId& request, std::uint32_t attempt);

/// Error: kCorrupt.
Result<PrefillAnswer> ReadPrefillAnswer(std::string_view body);
/// Error: kCorrupt.
Result<TokenEvent> ReadTokenEvent(std::string_view data);

}  // namespace briarlead

#endif  // BRIARLEAD_ENTRY_ENGINE_PROTOCOL_H_
