#include "briarlead_entry/engine_protocol.h"

#include <string>
#include <utility>

namespace briarlead {

namespace {

constexpr Duration kConnectTimeout = std::chrono::seconds(1);

HttpRequest MakeCall(const EngineAttempt& attempt,
                     std::string path,
                     std::string body) {
  HttpRequest call;
  call.endpoint = attempt.engine;
  call.method = "POST";
  call.path = std::move(path);
  call.headers = {
      {"Content-Type", "application/json"},
      {std::string(kRequestIdHeader), ToString(attempt.request)},
      {std::string(kAttemptHeader), std::to_string(attempt.attempt)}};
  call.body = std::move(body);
  call.connect_timeout = kConnectTimeout;
  // No limit here: CompletionFlow bounds the wait for the first byte.
  call.first_byte_timeout = Duration::zero();
  return call;
}

}  // namespace

HttpRequest MakePrefillCall(const EngineAttempt& attempt,
                            const PrefillRequest& request) {
  return MakeCall(attempt, "/v1/completions", WritePrefillRequest(request));
}

HttpRequest MakeDecodeCall(const EngineAttempt& attempt,
                           const DecodeRequest& request) {
  return MakeCall(attempt, "/v1/completions", WriteDecodeRequest(request));
}

HttpRequest MakeCancelCall(const EngineAttempt& attempt) {
  return MakeCall(attempt, "/v1/cancel",
                  WriteCancel({attempt.request, attempt.attempt}));
}

}  // namespace briarlead
