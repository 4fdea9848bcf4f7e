#ifndef BRIARLEAD_ENTRY_ENGINE_PROTOCOL_H_
#define BRIARLEAD_ENTRY_ENGINE_PROTOCOL_H_

#include <cstdint>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/request_id.h"
#include "briarlead_http/briarlead_http.h"

namespace briarlead {

/// Identifies one attempt of a request on an engine.
struct EngineAttempt {
  RequestId request;
  std::uint32_t attempt = 0;
  Endpoint engine;
};

/// Returns the call that makes a prefill engine process a prompt and keep its
/// KV cache for the transfer.
HttpRequest MakePrefillCall(const EngineAttempt& attempt,
                            const PrefillRequest& request);

/// Returns the call that makes a decode engine import the KV cache and stream
/// the output.
HttpRequest MakeDecodeCall(const EngineAttempt& attempt,
                           const DecodeRequest& request);

/// Returns the call that cancels an attempt and frees what an engine holds for
/// it.
HttpRequest MakeCancelCall(const EngineAttempt& attempt);

}  // namespace briarlead

#endif  // BRIARLEAD_ENTRY_ENGINE_PROTOCOL_H_
