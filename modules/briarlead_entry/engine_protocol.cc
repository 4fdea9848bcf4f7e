#include "briarlead_entry/engine_protocol.h"

#include <limits>
#include <optional>
#include <utility>

#include "briarlead_json/briarlead_json.h"

namespace briarlead {

namespace {

constexpr Duration kConnectTimeout = std::chrono::seconds(1);

HttpRequest MakeCompletionCall(const EngineRequest& request) {
  HttpRequest call;
  call.method = "POST";
  call.path = "/v1/completions";
  call.headers = {{"Content-Type", "application/json"},
                  {"X-Request-Id", ToString(request.request)},
                  {"X-Attempt", std::to_string(request.attempt)}};
  call.connect_timeout = kConnectTimeout;
  // The request's own flow bounds the wait.
  call.first_byte_timeout = Duration::zero();
  return call;
}

/// Begins the body with what both calls have; fields of `sampling` that the
/// project sets itself are left out.
JsonWriter BeginBody(const EngineRequest& request) {
  JsonWriter writer;
  writer.BeginObject()
      .Field("model", request.model)
      .Field("prompt", request.prompt)
      .Field("priority", static_cast<int>(request.rank));
  const Result<JsonValue> sampling = ParseJson(request.sampling);
  if (!sampling)
    return writer;
  for (const JsonMember& it : sampling.value().members())
    writer.Field(it.key, it.value);
  return writer;
}

std::optional<std::uint64_t> ReadUnsigned(const JsonValue& value,
                                          std::string_view key) {
  const JsonValue* member = value.Find(key);
  return member == nullptr ? std::nullopt : member->AsUnsigned();
}

}  // namespace

HttpRequest MakePrefillCall(const EngineRequest& request) {
  HttpRequest call = MakeCompletionCall(request);
  JsonWriter writer = BeginBody(request);
  writer.Field("max_tokens", 1)
      .Field("stream", false)
      .Key("kv_transfer_params")
      .BeginObject()
      .Field("do_remote_decode", true)
      .EndObject()
      .EndObject();
  call.body = writer.Take();
  return call;
}

HttpRequest MakeDecodeCall(const EngineRequest& request,
                           std::string_view kv_transfer,
                           std::uint32_t max_tokens,
                           std::uint32_t resume_from) {
  HttpRequest call = MakeCompletionCall(request);
  JsonWriter writer = BeginBody(request);
  writer.Field("max_tokens", max_tokens)
      .Field("stream", true)
      .Field("resume_from", resume_from);
  const Result<JsonValue> parameters = ParseJson(kv_transfer);
  if (parameters)
    writer.Field("kv_transfer_params", parameters.value());
  writer.EndObject();
  call.body = writer.Take();
  return call;
}

HttpRequest MakeCancelCall(const RequestId& request, std::uint32_t attempt) {
  HttpRequest call;
  call.method = "POST";
  call.path = "/v1/cancel";
  call.headers = {{"Content-Type", "application/json"}};
  JsonWriter writer;
  writer.BeginObject()
      .Field("request", ToString(request))
      .Field("attempt", attempt)
      .EndObject();
  call.body = writer.Take();
  return call;
}

Result<PrefillAnswer> ReadPrefillAnswer(std::string_view body) {
  const Result<JsonValue> document = ParseJson(body);
  if (!document)
    return Fail(ErrorCode::kCorrupt, document.error().message);
  const JsonValue* parameters = document.value().Find("kv_transfer_params");
  if (parameters == nullptr || parameters->kind() != JsonKind::kObject)
    return Fail(ErrorCode::kCorrupt, "no kv_transfer_params in the answer");
  PrefillAnswer answer;
  answer.kv_transfer = ToJson(*parameters);
  answer.kv_bytes = ReadUnsigned(*parameters, "kv_bytes").value_or(0);
  return answer;
}

Result<TokenEvent> ReadTokenEvent(std::string_view data) {
  const Result<JsonValue> document = ParseJson(data);
  if (!document)
    return Fail(ErrorCode::kCorrupt, document.error().message);
  const auto offset = ReadUnsigned(document.value(), "offset");
  const JsonValue* choices = document.value().Find("choices");
  if (!offset.has_value() ||
      *offset > std::numeric_limits<std::uint32_t>::max() ||
      choices == nullptr || choices->items().empty()) {
    return Fail(ErrorCode::kCorrupt, "a token needs offset and choices");
  }
  const JsonValue* text = choices->items().front().Find("text");
  if (text == nullptr || text->AsString() == nullptr)
    return Fail(ErrorCode::kCorrupt, "a token needs a text");
  return TokenEvent{static_cast<std::uint32_t>(*offset), *text->AsString()};
}

}  // namespace briarlead
