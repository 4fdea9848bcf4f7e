#ifndef BRIARLEAD_ENTRY_ENGINE_PROTOCOL_H_
#define BRIARLEAD_ENTRY_ENGINE_PROTOCOL_H_

#include <cstdint>

#include "briarlead_core/endpoint.h"
#include "briarlead_core/request_id.h"
#include "briarlead_http/briarlead_http.h"

namespace briarlead {

/// One attempt of a request at an engine.
struct EngineAttempt {
  RequestId request;
  std::uint32_t attempt = 0;
  Endpoint engine;
};

/// Returns the call that has a prefill engine read a prompt and keep its KV
/// cache for transfer.
HttpRequest MakePrefillCall(const EngineAttempt& attempt,
                            const PrefillRequest& request);

/// Returns the call that has a decode engine import the KV cache and stream.
HttpRequest MakeDecodeCall(const EngineAttempt& attempt,
                           const DecodeRequest& request);

/// Returns the call that frees what an engine holds for an attempt.
HttpRequest MakeCancelCall(const EngineAttempt& attempt);

}  // namespace briarlead

#endif  // BRIARLEAD_ENTRY_ENGINE_PROTOCOL_H_
